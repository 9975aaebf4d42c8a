"""Claims: at most one execution for each idempotency key.

A call that must not be repeated is sent only after a claim for its key is stored in the
platform's object service. See ``docs/design/claims.md``.
"""

from flamingoshelf.claims._attempts import AttemptRegistry, AttemptStatus
from flamingoshelf.claims._idempotency_key import parse_idempotency_key
from flamingoshelf.claims._journal import ClaimJournal, RetentionRule
from flamingoshelf.claims._operations import (
    ClaimReply,
    ClaimReplyStatus,
    FinishClaim,
    ReleaseClaim,
    TakeClaim,
)
from flamingoshelf.claims._records import Claim, ClaimOutcome, ClaimState
from flamingoshelf.claims._service import ClaimRequest, ClaimService, HeldClaim
from flamingoshelf.claims._writer import SHARD_COUNT, BatchingPolicy, ClaimWriter, shard_of

__all__ = [
    "AttemptStatus",
    "AttemptRegistry",
    "Claim",
    "ClaimService",
    "ClaimJournal",
    "ClaimOutcome",
    "ClaimReply",
    "ClaimReplyStatus",
    "ClaimRequest",
    "ClaimState",
    "ClaimWriter",
    "FinishClaim",
    "HeldClaim",
    "ReleaseClaim",
    "RetentionRule",
    "SHARD_COUNT",
    "TakeClaim",
    "BatchingPolicy",
    "parse_idempotency_key",
    "shard_of",
]
