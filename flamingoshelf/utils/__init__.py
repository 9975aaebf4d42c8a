"""Validators, identifiers and task helpers that several packages use."""

from flamingoshelf.utils._ids import new_apply_id, new_incarnation, rendezvous_rank, stable_hash
from flamingoshelf.utils._numbers import finite_or_none, mean, median
from flamingoshelf.utils._pacing import Pacer
from flamingoshelf.utils._tasks import TaskGroup, boot_time_s, now_s, release_frames
from flamingoshelf.utils._validation import check_choice, check_name, check_positive, check_range

__all__ = [
    "Pacer",
    "TaskGroup",
    "boot_time_s",
    "check_choice",
    "check_name",
    "check_positive",
    "check_range",
    "finite_or_none",
    "mean",
    "median",
    "new_apply_id",
    "new_incarnation",
    "now_s",
    "release_frames",
    "rendezvous_rank",
    "stable_hash",
]
