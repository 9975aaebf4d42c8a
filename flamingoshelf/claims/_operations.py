"""Operations on claims: messages between nodes, and their effect on a set of claims.

Applying an operation twice is safe: the nonce identifies the attempt that wrote a claim.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import attrs

from flamingoshelf.claims._records import Claim, ClaimOutcome, decode_claim, encode_claim
from flamingoshelf.nodes import message

__all__ = [
    "ClaimOperation",
    "ClaimReply",
    "ClaimReplyStatus",
    "FinishClaim",
    "ReleaseClaim",
    "TakeClaim",
    "apply_operations",
]

_MAX_BYTES_WITH_ANSWERS = 512 * 1024  # larger generations store further outcomes without answer


class ClaimReplyStatus(StrEnum):
    """Result of an operation."""

    HELD = "held"
    EXISTS = "exists"
    APPLIED = "applied"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"


@message
@attrs.frozen(kw_only=True)
class TakeClaim:
    """Write `claim` unless its id is claimed already.

    Parameters
    ----------
    claim : Claim
        Claim to write.
    replaces : bytes
        Nonce of a void claim to replace: its holder reported that it never sends the call.
    """

    claim: Claim
    replaces: bytes = b""

    @property
    def claim_id(self) -> bytes:
        """Id of the claim."""
        return self.claim.claim_id


@message
@attrs.frozen(kw_only=True)
class FinishClaim:
    """Record the outcome of the attempt `nonce`."""

    claim_id: bytes
    nonce: bytes
    outcome: ClaimOutcome


@message
@attrs.frozen(kw_only=True)
class ReleaseClaim:
    """Remove the claim of the attempt `nonce`, which never sends its call."""

    claim_id: bytes
    nonce: bytes


ClaimOperation = TakeClaim | FinishClaim | ReleaseClaim


@message
@attrs.frozen(kw_only=True)
class ClaimReply:
    """Reply to an operation, with the stored claim if it belongs to another attempt."""

    status: ClaimReplyStatus
    claim: Claim | None = None


def apply_operations(
    claims: Mapping[bytes, bytes], operations: Sequence[ClaimOperation]
) -> tuple[dict[bytes, bytes], list[ClaimReply]]:
    """Return the claims after `operations`, and the reply to each of them."""
    after = dict(claims)
    return after, [_apply(after, operation) for operation in operations]


def _apply(claims: dict[bytes, bytes], operation: ClaimOperation) -> ClaimReply:
    data = claims.get(operation.claim_id)
    found = None if data is None else decode_claim(operation.claim_id, data)
    match operation:
        case TakeClaim():
            return _take(claims, operation, found)
        case FinishClaim():
            return _finish(claims, operation, found)
        case ReleaseClaim():
            return _release(claims, operation, found)


def _take(claims: dict[bytes, bytes], take: TakeClaim, found: Claim | None) -> ClaimReply:
    if found is not None and found.nonce == take.claim.nonce:
        return ClaimReply(status=ClaimReplyStatus.HELD)
    if found is not None and (found.outcome is not None or found.nonce != take.replaces):
        return ClaimReply(status=ClaimReplyStatus.EXISTS, claim=found)
    claims[take.claim_id] = encode_claim(take.claim)
    return ClaimReply(status=ClaimReplyStatus.HELD)


def _finish(claims: dict[bytes, bytes], finish: FinishClaim, found: Claim | None) -> ClaimReply:
    if found is None or found.nonce != finish.nonce:
        return ClaimReply(status=ClaimReplyStatus.ABSENT)
    if found.outcome is None:
        outcome = finish.outcome
        size = sum(map(len, claims.values())) + len(outcome.body)
        if size > _MAX_BYTES_WITH_ANSWERS:
            outcome = outcome.without_body()
        claims[finish.claim_id] = encode_claim(attrs.evolve(found, outcome=outcome))
    return ClaimReply(status=ClaimReplyStatus.APPLIED)


def _release(claims: dict[bytes, bytes], release: ReleaseClaim, found: Claim | None) -> ClaimReply:
    if found is None or found.nonce != release.nonce or found.outcome is not None:
        return ClaimReply(status=ClaimReplyStatus.ABSENT)
    del claims[release.claim_id]
    return ClaimReply(status=ClaimReplyStatus.APPLIED)
