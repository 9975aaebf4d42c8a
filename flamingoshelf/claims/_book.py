"""Claims as the callers' endpoints use them."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.base import Duty, NodeLink, Ownership
from flamingoshelf.claims._attempts import (
    Attempt,
    Attempts,
    AttemptStatus,
    AttemptStatusReply,
    AttemptStatusRequest,
)
from flamingoshelf.claims._operations import (
    ClaimOperation,
    ClaimReply,
    ClaimReplyStatus,
    FinishClaim,
    ReleaseClaim,
    TakeClaim,
)
from flamingoshelf.claims._records import Claim, ClaimOutcome
from flamingoshelf.claims._refusals import (
    answer_not_kept,
    body_differs,
    claim_in_progress,
    claim_outcome_unknown,
    claim_unavailable,
)
from flamingoshelf.claims._writer import ClaimWriter, shard_of
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.refusals import Refusal, RefusalReason
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["ClaimBook", "ClaimRequest", "HeldClaim"]

_CLAIM_TIMEOUT_S = 2.0
_FUNNEL_TIMEOUT_S = 0.8
_FUNNEL_AVOIDANCE_S = 2.0
_STATUS_TIMEOUT_S = 0.5
_MAX_LOOKS = 3
_RETRY_S = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
_RECORDING_LIMIT_S = 600.0
_MAX_RECORDINGS = 2000
_STOP_LIMIT_S = 5.0
_DIGEST_BYTES = 16
_NONCE_BYTES = 12
_MAX_ROUTE_CHARS = 64


@attrs.frozen(kw_only=True)
class ClaimRequest:
    """A call for which a claim is asked.

    Parameters
    ----------
    workspace : str
        Workspace that the call runs for; empty on routes open to all.
    route : str
        Path prefix of the route.
    key : str
        The caller's idempotency key.
    method, target : str
        Method and target of the call.
    body : bytes
        Body of the call.
    """

    workspace: str
    route: str
    key: str
    method: str
    target: str
    body: bytes

    @property
    def claim_id(self) -> bytes:
        """Digest that differs between workspaces, between routes and between keys."""
        return _digest(self.workspace, self.route, self.key)

    @property
    def fingerprint(self) -> bytes:
        """Digest of what the call does."""
        body_digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES).hexdigest()
        return _digest(self.method, self.target, body_digest)


@attrs.frozen(kw_only=True)
class HeldClaim:
    """The right to send one call; `attempt` says how far it got."""

    claim: Claim
    attempt: Attempt


class ClaimBook:
    """Takes, finishes and releases claims, through the node that gathers those of the shard.

    Parameters
    ----------
    writer : ClaimWriter
        Commits operations at this node.
    attempts : Attempts
        What this node knows of its attempts.
    link : NodeLink
        Way to the other nodes.
    ownership : Ownership
        Names the node that gathers the operations on a shard.
    metrics : Metrics
        Counters of claims.
    wall_time_s : callable
        Returns the seconds since 1970.
    """

    def __init__(
        self,
        *,
        writer: ClaimWriter,
        attempts: Attempts,
        link: NodeLink,
        ownership: Ownership,
        metrics: Metrics,
        wall_time_s: Callable[[], float],
    ) -> None:
        self._writer = writer
        self._attempts = attempts
        self._link = link
        self._ownership = ownership
        self._metrics = metrics
        self._wall_time_s = wall_time_s
        self._avoided_until_s: dict[str, float] = {}
        self._recordings = 0
        self._tasks = TaskGroup(owner="claim_book")

    async def start(self) -> None:
        """Do nothing; tasks start with the first claim."""

    async def stop(self) -> None:
        """Record what is known, for a bounded time, and end all tasks."""
        try:
            async with asyncio.timeout(_STOP_LIMIT_S):
                await self._tasks.drain()
        except TimeoutError:
            logger.bind(step="stop").warning("{} claims are not recorded", self._recordings)
        await self._tasks.stop()
        await self._writer.stop()

    async def claim(self, request: ClaimRequest) -> HeldClaim | ClaimOutcome | Refusal:
        """Return the claim of a call, the recorded outcome of an earlier one, or a refusal.

        Nothing may be sent without a `HeldClaim`.
        """
        claim = self._new_claim(request)
        attempt = self._attempts.begin(claim.nonce)
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_S):
                found = await self._take(claim)
        except TimeoutError:
            found = claim_unavailable()
        except BaseException:
            self._void(claim, attempt)
            raise
        if found is None:
            attempt.trigger("hold")
            self._metrics.count_event("claims_taken")
            return HeldClaim(claim=claim, attempt=attempt)
        if isinstance(found, Refusal) and found.reason is RefusalReason.CLAIM_UNAVAILABLE:
            self._void(claim, attempt)
        else:
            attempt.trigger("void")
            self._attempts.end(attempt)
        return found

    def finish(self, held: HeldClaim, outcome: ClaimOutcome) -> None:
        """Record the service's answer; returns at once."""
        held.attempt.outcome = outcome
        held.attempt.trigger("finish")
        operation = FinishClaim(
            claim_id=held.claim.claim_id, nonce=held.claim.nonce, outcome=outcome
        )
        self._record(operation, held.attempt)

    def release(self, held: HeldClaim) -> None:
        """Give the claim of a call that was never sent back; returns at once."""
        self._void(held.claim, held.attempt)

    def lose(self, held: HeldClaim) -> None:
        """State that the call may have been carried out."""
        held.attempt.trigger("lose")
        self._attempts.end(held.attempt)

    def _new_claim(self, request: ClaimRequest) -> Claim:
        return Claim(
            claim_id=request.claim_id,
            fingerprint=request.fingerprint,
            nonce=secrets.token_bytes(_NONCE_BYTES),
            holder=self._link.node_name,
            incarnation=self._link.incarnation,
            workspace=request.workspace,
            route=request.route[:_MAX_ROUTE_CHARS],
            time_s=self._wall_time_s(),
        )

    async def _take(self, claim: Claim) -> ClaimOutcome | Refusal | None:
        """Return None once `claim` is held."""
        replaces = b""
        verdict: ClaimOutcome | Refusal | None = None
        for _ in range(_MAX_LOOKS):
            reply = await self._submit(TakeClaim(claim=claim, replaces=replaces))
            if reply.status is ClaimReplyStatus.HELD:
                return None
            if reply.claim is None:
                return claim_unavailable()
            status = await self._status_of(reply.claim)
            if status.status is AttemptStatus.VOID:
                self._metrics.count_event("claims_taken_over")
                replaces = reply.claim.nonce
                continue
            verdict = _judge(claim, reply.claim, status)
            if status.status is not AttemptStatus.UNKNOWN:
                return verdict
        return verdict or claim_unavailable()

    async def _status_of(self, found: Claim) -> AttemptStatusReply:
        """Return how the attempt that wrote `found` stands."""
        if found.outcome is not None:
            return AttemptStatusReply(status=AttemptStatus.FINISHED, outcome=found.outcome)
        request = AttemptStatusRequest(nonce=found.nonce)
        try:
            reply: AttemptStatusReply = await self._link.request(
                found.holder, request, timeout_s=_STATUS_TIMEOUT_S
            )
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=error.peer).info("no status of a claim: {}", error)
            return AttemptStatusReply(status=AttemptStatus.UNKNOWN)
        return reply

    async def _submit(self, operation: ClaimOperation) -> ClaimReply:
        """Commit through the shard's node; directly if that gives no answer.

        The nonce makes it safe to commit an operation twice.
        """
        gatherer = self._gatherer(operation.claim_id)
        if gatherer != self._link.node_name:
            try:
                reply: ClaimReply = await self._link.request(
                    gatherer, operation, timeout_s=_FUNNEL_TIMEOUT_S
                )
                if reply.status is not ClaimReplyStatus.UNAVAILABLE:
                    return reply
            except FlamingoshelfError:
                self._avoided_until_s[gatherer] = now_s() + _FUNNEL_AVOIDANCE_S
            self._metrics.count_event("claims_written_directly")
        return await self._writer.submit(operation)

    def _gatherer(self, claim_id: bytes) -> str:
        candidates = self._ownership.candidates(Duty.CLAIM_SHARD, str(shard_of(claim_id)))
        first = candidates[0] if candidates else self._link.node_name
        is_avoided = self._avoided_until_s.get(first, 0.0) > now_s()
        return self._link.node_name if is_avoided else first

    def _void(self, claim: Claim, attempt: Attempt) -> None:
        attempt.trigger("void")
        operation = ReleaseClaim(claim_id=claim.claim_id, nonce=claim.nonce)
        self._record(operation, attempt)

    def _record(self, operation: FinishClaim | ReleaseClaim, attempt: Attempt) -> None:
        if self._recordings >= _MAX_RECORDINGS:
            self._metrics.count_event("claims_not_recorded")
            self._attempts.end(attempt)
            return
        self._recordings += 1
        self._tasks.start(self._record_with_retries(operation, attempt), name="record")

    async def _record_with_retries(
        self, operation: FinishClaim | ReleaseClaim, attempt: Attempt
    ) -> None:
        give_up_at_s = now_s() + _RECORDING_LIMIT_S
        tries = 0
        try:
            while (await self._submit(operation)).status is ClaimReplyStatus.UNAVAILABLE:
                if now_s() > give_up_at_s:
                    self._metrics.count_event("claims_not_recorded")
                    return
                await asyncio.sleep(_RETRY_S[min(tries, len(_RETRY_S) - 1)])
                tries += 1
        finally:
            self._recordings -= 1
            self._attempts.end(attempt)


def _judge(claim: Claim, found: Claim, status: AttemptStatusReply) -> ClaimOutcome | Refusal:
    if found.fingerprint != claim.fingerprint:
        return body_differs(found)
    if status.status is AttemptStatus.RUNNING:
        return claim_in_progress(found)
    if status.outcome is None:
        return claim_outcome_unknown(found)
    if not status.outcome.is_kept:
        return answer_not_kept(status.outcome)
    return status.outcome


def _digest(*parts: str) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()
