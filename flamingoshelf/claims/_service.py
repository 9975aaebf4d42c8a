"""Claims API for the endpoints that serve callers."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.base import Duty, NodeLink, Ownership
from flamingoshelf.claims._attempts import (
    Attempt,
    AttemptRegistry,
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

__all__ = ["ClaimService", "ClaimRequest", "HeldClaim"]

_CLAIM_TIMEOUT_S = 2.0
_BATCHING_NODE_TIMEOUT_S = 0.8
_BATCHING_NODE_BACKOFF_S = 2.0
_STATUS_TIMEOUT_S = 0.5
_MAX_TAKE_TRIES = 3
_RETRY_DELAYS_S = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
_RECORDING_TIMEOUT_S = 600.0
_MAX_PENDING_RECORDINGS = 2000
_STOP_TIMEOUT_S = 5.0
_DIGEST_BYTES = 16
_NONCE_BYTES = 12
_MAX_ROUTE_CHARS = 64


@attrs.frozen(kw_only=True)
class ClaimRequest:
    """A call that needs a claim.

    Parameters
    ----------
    workspace : str
        Workspace of the caller; empty on routes open to all callers.
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
        """Digest of workspace, route and idempotency key."""
        return _digest(self.workspace, self.route, self.key)

    @property
    def fingerprint(self) -> bytes:
        """Digest of method, target and body."""
        body_digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES).hexdigest()
        return _digest(self.method, self.target, body_digest)


@attrs.frozen(kw_only=True)
class HeldClaim:
    """A claim that this node holds: the right to send one call, and the state of its attempt."""

    claim: Claim
    attempt: Attempt


class ClaimService:
    """Takes, finishes and releases claims.

    Operations on a shard go through one node, the shard's batching node, so that many of them
    become one update. If that node fails, they are committed directly.

    Parameters
    ----------
    writer : ClaimWriter
        Commits operations at this node.
    attempts : AttemptRegistry
        Status of this node's attempts.
    link : NodeLink
        Messages between nodes.
    ownership : Ownership
        Ranks the nodes for `Duty.CLAIM_SHARD`; the first one is the batching node.
    metrics : Metrics
        Counters of claims.
    wall_time_s : callable
        Returns the seconds since 1970.
    """

    def __init__(
        self,
        *,
        writer: ClaimWriter,
        attempts: AttemptRegistry,
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
        self._pending_recordings = 0
        self._tasks = TaskGroup(owner="claim_book")

    async def start(self) -> None:
        """Do nothing; tasks start on demand."""

    async def stop(self) -> None:
        """Finish pending recordings within `_STOP_TIMEOUT_S`, then stop all tasks."""
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self._tasks.drain()
        except TimeoutError:
            logger.bind(step="stop").warning(
                "shutdown timed out; {} claim outcomes or releases not recorded",
                self._pending_recordings,
            )
        await self._tasks.stop()
        await self._writer.stop()

    async def claim(self, request: ClaimRequest) -> HeldClaim | ClaimOutcome | Refusal:
        """Return a claim for the call, the recorded outcome of an earlier call, or a refusal.

        The call may be sent only with a `HeldClaim`.
        """
        claim = self._new_claim(request)
        attempt = self._attempts.start_attempt(claim.nonce)
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
            self._attempts.end_attempt(attempt)
        return found

    def finish(self, held: HeldClaim, outcome: ClaimOutcome) -> None:
        """Record the service's answer in the background."""
        held.attempt.outcome = outcome
        held.attempt.trigger("finish")
        operation = FinishClaim(
            claim_id=held.claim.claim_id, nonce=held.claim.nonce, outcome=outcome
        )
        self._record(operation, held.attempt)

    def release(self, held: HeldClaim) -> None:
        """Release the claim of a call that was never sent, in the background."""
        self._void(held.claim, held.attempt)

    def mark_outcome_unknown(self, held: HeldClaim) -> None:
        """Mark the outcome as unknown: the call may have been executed."""
        held.attempt.trigger("lose")
        self._attempts.end_attempt(held.attempt)

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
        """Return None once `claim` is held, otherwise the result for the caller.

        If another claim with the same id is stored, the status of its attempt decides: a void
        claim is replaced in the next try, an unknown status is looked up again, and any other
        status gives the result.
        """
        replaces = b""
        result: ClaimOutcome | Refusal | None = None
        for _ in range(_MAX_TAKE_TRIES):
            reply = await self._submit(TakeClaim(claim=claim, replaces=replaces))
            if reply.status is ClaimReplyStatus.HELD:
                return None
            if reply.claim is None:
                return claim_unavailable()
            status = await self._request_status(reply.claim)
            if status.status is AttemptStatus.VOID:
                self._metrics.count_event("claims_taken_over")
                replaces = reply.claim.nonce
                continue
            result = _result_of_repeat(claim, reply.claim, status)
            if status.status is not AttemptStatus.UNKNOWN:
                return result
        return result or claim_unavailable()

    async def _request_status(self, found: Claim) -> AttemptStatusReply:
        """Return the status of the attempt that wrote `found`; ``UNKNOWN`` without a reply."""
        if found.outcome is not None:
            return AttemptStatusReply(status=AttemptStatus.FINISHED, outcome=found.outcome)
        request = AttemptStatusRequest(nonce=found.nonce)
        try:
            reply: AttemptStatusReply = await self._link.request(
                found.holder, request, timeout_s=_STATUS_TIMEOUT_S
            )
        except FlamingoshelfError as error:
            logger.bind(step=error.step, peer=error.peer).info(
                "claim status request failed: {}", error
            )
            return AttemptStatusReply(status=AttemptStatus.UNKNOWN)
        return reply

    async def _submit(self, operation: ClaimOperation) -> ClaimReply:
        """Commit through the shard's batching node, or directly if that node fails.

        The nonce makes it safe to commit an operation twice.
        """
        batching_node = self._batching_node(operation.claim_id)
        if batching_node != self._link.node_name:
            try:
                reply: ClaimReply = await self._link.request(
                    batching_node, operation, timeout_s=_BATCHING_NODE_TIMEOUT_S
                )
                if reply.status is not ClaimReplyStatus.UNAVAILABLE:
                    return reply
            except FlamingoshelfError:
                self._avoided_until_s[batching_node] = now_s() + _BATCHING_NODE_BACKOFF_S
            self._metrics.count_event("claims_written_directly")
        return await self._writer.submit(operation)

    def _batching_node(self, claim_id: bytes) -> str:
        candidates = self._ownership.candidates(Duty.CLAIM_SHARD, str(shard_of(claim_id)))
        first = candidates[0] if candidates else self._link.node_name
        is_avoided = self._avoided_until_s.get(first, 0.0) > now_s()
        return self._link.node_name if is_avoided else first

    def _void(self, claim: Claim, attempt: Attempt) -> None:
        """Mark `attempt` as never sent and release its claim in the background."""
        attempt.trigger("void")
        operation = ReleaseClaim(claim_id=claim.claim_id, nonce=claim.nonce)
        self._record(operation, attempt)

    def _record(self, operation: FinishClaim | ReleaseClaim, attempt: Attempt) -> None:
        """Submit `operation` in the background, unless too many are pending."""
        if self._pending_recordings >= _MAX_PENDING_RECORDINGS:
            self._metrics.count_event("claims_not_recorded")
            self._attempts.end_attempt(attempt)
            return
        self._pending_recordings += 1
        self._tasks.start(self._record_with_retries(operation, attempt), name="record")

    async def _record_with_retries(
        self, operation: FinishClaim | ReleaseClaim, attempt: Attempt
    ) -> None:
        deadline_s = now_s() + _RECORDING_TIMEOUT_S
        tries = 0
        try:
            while (await self._submit(operation)).status is ClaimReplyStatus.UNAVAILABLE:
                if now_s() > deadline_s:
                    self._metrics.count_event("claims_not_recorded")
                    return
                await asyncio.sleep(_RETRY_DELAYS_S[min(tries, len(_RETRY_DELAYS_S) - 1)])
                tries += 1
        finally:
            self._pending_recordings -= 1
            self._attempts.end_attempt(attempt)


def _result_of_repeat(
    claim: Claim, found: Claim, status: AttemptStatusReply
) -> ClaimOutcome | Refusal:
    """Return the result for the caller of `claim`, whose id `found` already claims."""
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
