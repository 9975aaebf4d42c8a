"""Group commit: the operations on one shard that wait together become one update."""

import asyncio
import random
from collections.abc import Callable

import attrs

from flamingoshelf.base import NodeLink, ObjectService
from flamingoshelf.claims._journal import ClaimJournal, RetentionRule
from flamingoshelf.claims._operations import (
    ClaimOperation,
    ClaimReply,
    ClaimReplyStatus,
    FinishClaim,
    ReleaseClaim,
    TakeClaim,
)
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError
from flamingoshelf.refusals import RetryReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["ClaimWriter", "SHARD_COUNT", "WritePace", "shard_of"]

SHARD_COUNT = 64
_MAX_TRIES = 10
_CONFLICT_PAUSE_S = 0.02
_OPERATION_TIMEOUT_S = 1.5


def shard_of(claim_id: bytes) -> int:
    """Return the number of the shard that holds `claim_id`."""
    return int.from_bytes(claim_id[:4], "big") % SHARD_COUNT


@attrs.frozen(kw_only=True)
class WritePace:
    """How operations are gathered.

    Parameters
    ----------
    interval_s : float
        Shortest time between two updates of a shard by one node.
    outcome_wait_s : float
        Time that an outcome or a release waits for a claim to be written with.
    max_batch : int
        Most operations in one update.
    """

    interval_s: float = 0.2
    outcome_wait_s: float = 0.2
    max_batch: int = 200


@attrs.frozen(kw_only=True, eq=False)
class _Waiting:
    operation: ClaimOperation
    reply: asyncio.Future[ClaimReply]
    since_s: float


class _ShardWriter:
    """Queue and task of one shard."""

    def __init__(
        self,
        *,
        journal: ClaimJournal,
        pace: WritePace,
        metrics: Metrics,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._journal = journal
        self._pace = pace
        self._metrics = metrics
        self._tasks = tasks
        self._random = random_source
        self._queue: list[_Waiting] = []
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._written_at_s = -pace.interval_s

    async def submit(self, operation: ClaimOperation) -> ClaimReply:
        """Return the reply to `operation` once it is committed."""
        reply: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(operation=operation, reply=reply, since_s=now_s()))
        if isinstance(operation, TakeClaim):
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = self._tasks.start(self._drain(), name="shard")
        return await reply

    def give_up(self) -> None:
        """Reply ``UNAVAILABLE`` to what waits."""
        waiting, self._queue = self._queue, []
        self._settle(waiting, [_UNAVAILABLE] * len(waiting))

    async def _drain(self) -> None:
        while self._queue:
            await self._gather()
            batch = self._queue[: self._pace.max_batch]
            self._queue = self._queue[self._pace.max_batch :]
            live = [waiting for waiting in batch if not waiting.reply.done()]
            if live:
                await self._commit(live)

    async def _gather(self) -> None:
        pause_s = self._written_at_s + self._pace.interval_s - now_s()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        if any(isinstance(waiting.operation, TakeClaim) for waiting in self._queue):
            self._urgent.clear()
            return
        try:
            async with asyncio.timeout(self._pace.outcome_wait_s):
                await self._urgent.wait()
        except TimeoutError:
            pass
        self._urgent.clear()

    async def _commit(self, batch: list[_Waiting]) -> None:
        try:
            replies = await self._commit_with_retries([waiting.operation for waiting in batch])
        except BaseException:
            self._settle(batch, [_UNAVAILABLE] * len(batch))
            raise
        self._settle(batch, replies)

    async def _commit_with_retries(self, operations: list[ClaimOperation]) -> list[ClaimReply]:
        for _ in range(_MAX_TRIES):
            try:
                replies = await self._journal.commit(operations)
            except ConflictError:
                self._metrics.count_retry(RetryReason.STORE_CONFLICT)
            except OutcomeUnknownError:
                self._metrics.count_retry(RetryReason.STORE_AMBIGUOUS)
            except ObjectServiceError:
                break
            else:
                self._written_at_s = now_s()
                self._metrics.count_event("claim_batches")
                self._metrics.count_event("claim_operations", len(operations))
                return replies
            await asyncio.sleep(self._random.random() * _CONFLICT_PAUSE_S)
        return [_UNAVAILABLE] * len(operations)

    @staticmethod
    def _settle(batch: list[_Waiting], replies: list[ClaimReply]) -> None:
        for waiting, reply in zip(batch, replies, strict=True):
            if not waiting.reply.done():
                waiting.reply.set_result(reply)


_UNAVAILABLE = ClaimReply(status=ClaimReplyStatus.UNAVAILABLE)


class ClaimWriter:
    """Commits operations on claims, those of this node and those that peers send.

    Parameters
    ----------
    store : ObjectService
        Holds the claims.
    link : NodeLink
        Brings the operations of peers.
    metrics : Metrics
        Counters of batches and conflicts.
    rule : RetentionRule
        Bounds of the objects in time and size.
    pace : WritePace
        How operations are gathered.
    wall_time_s : callable
        Returns the seconds since 1970.
    random_source : random.Random
        Source of the pause after a conflict.
    """

    def __init__(
        self,
        *,
        store: ObjectService,
        link: NodeLink,
        metrics: Metrics,
        rule: RetentionRule,
        pace: WritePace,
        wall_time_s: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._rule = rule
        self._pace = pace
        self._wall_time_s = wall_time_s
        self._random = random_source
        self._tasks = TaskGroup(owner="claims")
        self._shards: dict[int, _ShardWriter] = {}
        self._is_stopped = False
        link.register(TakeClaim, self._answer)
        link.register(FinishClaim, self._answer)
        link.register(ReleaseClaim, self._answer)

    async def stop(self) -> None:
        """End all tasks; what waits is not committed."""
        self._is_stopped = True
        await self._tasks.stop()
        for shard in self._shards.values():
            shard.give_up()

    async def submit(self, operation: ClaimOperation) -> ClaimReply:
        """Commit `operation`; reply ``UNAVAILABLE`` if that can't be had within a bound."""
        if self._is_stopped:
            return _UNAVAILABLE
        shard = shard_of(operation.claim_id)
        if shard not in self._shards:
            self._shards[shard] = self._new_shard(shard)
        try:
            async with asyncio.timeout(_OPERATION_TIMEOUT_S):
                return await self._shards[shard].submit(operation)
        except TimeoutError:
            return _UNAVAILABLE

    async def _answer(self, peer: str, operation: ClaimOperation) -> ClaimReply:
        return await self.submit(operation)

    def _new_shard(self, shard: int) -> _ShardWriter:
        journal = ClaimJournal(
            store=self._store, shard=shard, rule=self._rule, wall_time_s=self._wall_time_s
        )
        return _ShardWriter(
            journal=journal,
            pace=self._pace,
            metrics=self._metrics,
            tasks=self._tasks,
            random_source=self._random,
        )
