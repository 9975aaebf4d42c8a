"""Claims and the stored objects that contain them."""

from collections.abc import Mapping
from enum import StrEnum

import attrs
import cbor2

__all__ = ["Claim", "ClaimOutcome", "ClaimState", "Generation", "decode_claim", "encode_claim"]


class ClaimState(StrEnum):
    """State of a claim. A released claim is no longer in its object."""

    CLAIMED = "claimed"
    DONE = "done"


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """Answer of the service, stored for repeated calls.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Headers that are replayed to a repeated call.
    body : bytes
        Body of the answer.
    is_kept : bool
        False if the answer was too large to store; `headers` and `body` are then empty.
    """

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_kept: bool = True

    def without_body(self) -> "ClaimOutcome":
        """Return the outcome with the status only."""
        return ClaimOutcome(status=self.status, is_kept=False)


@attrs.frozen(kw_only=True)
class Claim:
    """The right to send one call once.

    Parameters
    ----------
    claim_id : bytes
        Digest of workspace, route and idempotency key.
    fingerprint : bytes
        Digest of the call: method, target and body.
    nonce : bytes
        Identifies the attempt that wrote the claim.
    holder, incarnation : str
        Node that wrote the claim, and the run of its process.
    workspace, route : str
        For operators only; `claim_id` identifies the claim.
    time_s : float
        Time at which the claim was made, in seconds since 1970.
    outcome : ClaimOutcome or None
        The service's answer; None while it is not known.
    """

    claim_id: bytes
    fingerprint: bytes
    nonce: bytes
    holder: str
    incarnation: str
    workspace: str
    route: str
    time_s: float
    outcome: ClaimOutcome | None = None

    @property
    def state(self) -> ClaimState:
        """``CLAIMED`` until the outcome is recorded, then ``DONE``."""
        return ClaimState.CLAIMED if self.outcome is None else ClaimState.DONE


def encode_claim(claim: Claim) -> bytes:
    """Return `claim` without its id as CBOR."""
    outcome = None if claim.outcome is None else attrs.astuple(claim.outcome)
    fields = attrs.astuple(attrs.evolve(claim, outcome=None))[1:-1]
    return cbor2.dumps([*fields, outcome])


def decode_claim(claim_id: bytes, data: bytes) -> Claim:
    """Return the claim that `encode_claim` encoded as `data`."""
    *fields, outcome = cbor2.loads(data)
    names = [attribute.name for attribute in attrs.fields(Claim)][1:-1]
    return Claim(
        claim_id=claim_id,
        outcome=None if outcome is None else _decode_outcome(outcome),
        **dict(zip(names, fields, strict=True)),
    )


def _decode_outcome(fields: list[object]) -> ClaimOutcome:
    names = [attribute.name for attribute in attrs.fields(ClaimOutcome)]
    return ClaimOutcome(**dict(zip(names, fields, strict=True)))  # type: ignore[arg-type]


@attrs.frozen(kw_only=True)
class Generation:
    """Content of one stored object: the claims of one shard written in one period.

    Parameters
    ----------
    opened_at_s : float
        Time at which the generation was opened, in seconds since 1970.
    is_sealed : bool
        Whether the generation takes no new claims.
    claims : mapping of bytes to bytes
        Encoded claims by id.
    """

    opened_at_s: float
    is_sealed: bool = False
    claims: Mapping[bytes, bytes] = attrs.field(factory=dict)

    def encode(self) -> bytes:
        """Return the generation as CBOR."""
        return cbor2.dumps([self.opened_at_s, self.is_sealed, dict(self.claims)])

    @classmethod
    def decode(cls, value: bytes) -> "Generation":
        """Return the generation that `encode` encoded as `value`."""
        opened_at_s, is_sealed, claims = cbor2.loads(value)
        return cls(opened_at_s=opened_at_s, is_sealed=is_sealed, claims=claims)
