"""Group commit: the queued operations on a shard are written in one update."""

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

__all__ = ["ClaimWriter", "SHARD_COUNT", "BatchingPolicy", "shard_of"]

SHARD_COUNT = 64
_MAX_COMMIT_TRIES = 10
_MAX_CONFLICT_DELAY_S = 0.02
_OPERATION_TIMEOUT_S = 1.5


def shard_of(claim_id: bytes) -> int:
    """Return the number of the shard that holds `claim_id`."""
    return int.from_bytes(claim_id[:4], "big") % SHARD_COUNT


@attrs.frozen(kw_only=True)
class BatchingPolicy:
    """Batching of operations.

    Parameters
    ----------
    interval_s : float
        Minimum time between two updates of a shard by one node, in seconds.
    max_outcome_wait_s : float
        Maximum time that outcomes and releases wait for a new claim to share the update with,
        in seconds.
    max_batch : int
        Maximum number of operations in one update.
    """

    interval_s: float = 0.2
    max_outcome_wait_s: float = 0.2
    max_batch: int = 200


@attrs.frozen(kw_only=True, eq=False)
class _PendingOperation:
    operation: ClaimOperation
    reply: asyncio.Future[ClaimReply]
    queued_at_s: float


class _ShardWriter:
    """Queue of one shard and the task that commits it."""

    def __init__(
        self,
        *,
        journal: ClaimJournal,
        batching: BatchingPolicy,
        metrics: Metrics,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._journal = journal
        self._batching = batching
        self._metrics = metrics
        self._tasks = tasks
        self._random = random_source
        self._queue: list[_PendingOperation] = []
        self._claim_queued = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._written_at_s = -batching.interval_s

    async def submit(self, operation: ClaimOperation) -> ClaimReply:
        """Return the reply to `operation` once it is committed."""
        reply: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingOperation(operation=operation, reply=reply, queued_at_s=now_s()))
        if isinstance(operation, TakeClaim):
            self._claim_queued.set()
        if self._task is None or self._task.done():
            self._task = self._tasks.start(self._drain(), name="shard")
        return await reply

    def fail_pending(self) -> None:
        """Reply ``UNAVAILABLE`` to all queued operations."""
        pending, self._queue = self._queue, []
        self._set_replies(pending, [_UNAVAILABLE] * len(pending))

    async def _drain(self) -> None:
        while self._queue:
            await self._wait_for_batch()
            batch = self._queue[: self._batching.max_batch]
            self._queue = self._queue[self._batching.max_batch :]
            awaited = [pending for pending in batch if not pending.reply.done()]
            if awaited:
                await self._commit(awaited)

    async def _wait_for_batch(self) -> None:
        """Wait until the next update is due, then up to `max_outcome_wait_s` for a new claim."""
        delay_s = self._written_at_s + self._batching.interval_s - now_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if any(isinstance(pending.operation, TakeClaim) for pending in self._queue):
            self._claim_queued.clear()
            return
        try:
            async with asyncio.timeout(self._batching.max_outcome_wait_s):
                await self._claim_queued.wait()
        except TimeoutError:
            pass
        self._claim_queued.clear()

    async def _commit(self, batch: list[_PendingOperation]) -> None:
        try:
            replies = await self._commit_with_retries([pending.operation for pending in batch])
        except BaseException:
            self._set_replies(batch, [_UNAVAILABLE] * len(batch))
            raise
        self._set_replies(batch, replies)

    async def _commit_with_retries(self, operations: list[ClaimOperation]) -> list[ClaimReply]:
        for _ in range(_MAX_COMMIT_TRIES):
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
            await asyncio.sleep(self._random.random() * _MAX_CONFLICT_DELAY_S)
        return [_UNAVAILABLE] * len(operations)

    @staticmethod
    def _set_replies(batch: list[_PendingOperation], replies: list[ClaimReply]) -> None:
        for pending, reply in zip(batch, replies, strict=True):
            if not pending.reply.done():
                pending.reply.set_result(reply)


_UNAVAILABLE = ClaimReply(status=ClaimReplyStatus.UNAVAILABLE)


class ClaimWriter:
    """Commits operations on claims, from this node and from peers.

    Parameters
    ----------
    store : ObjectService
        Stores the claims.
    link : NodeLink
        Delivers the operations of peers.
    metrics : Metrics
        Counters of batches and conflicts.
    rule : RetentionRule
        Retention and size limits of the stored objects.
    batching : BatchingPolicy
        Batching of operations.
    wall_time_s : callable
        Returns the seconds since 1970.
    random_source : random.Random
        Source of the random delay after a conflict.
    """

    def __init__(
        self,
        *,
        store: ObjectService,
        link: NodeLink,
        metrics: Metrics,
        rule: RetentionRule,
        batching: BatchingPolicy,
        wall_time_s: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._rule = rule
        self._batching = batching
        self._wall_time_s = wall_time_s
        self._random = random_source
        self._tasks = TaskGroup(owner="claims")
        self._shards: dict[int, _ShardWriter] = {}
        self._is_stopped = False
        link.register(TakeClaim, self._answer_operation)
        link.register(FinishClaim, self._answer_operation)
        link.register(ReleaseClaim, self._answer_operation)

    async def stop(self) -> None:
        """Stop all tasks; queued operations are not committed."""
        self._is_stopped = True
        await self._tasks.stop()
        for shard in self._shards.values():
            shard.fail_pending()

    async def submit(self, operation: ClaimOperation) -> ClaimReply:
        """Commit `operation`; reply ``UNAVAILABLE`` on failure or after `_OPERATION_TIMEOUT_S`."""
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

    async def _answer_operation(self, peer: str, operation: ClaimOperation) -> ClaimReply:
        return await self.submit(operation)

    def _new_shard(self, shard: int) -> _ShardWriter:
        journal = ClaimJournal(
            store=self._store, shard=shard, rule=self._rule, wall_time_s=self._wall_time_s
        )
        return _ShardWriter(
            journal=journal,
            batching=self._batching,
            metrics=self._metrics,
            tasks=self._tasks,
            random_source=self._random,
        )
