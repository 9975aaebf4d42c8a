"""Parts of a workspace's limit and the nodes that hold them."""

from typing import Protocol

from flamingoshelf.base import Duty

__all__ = ["PARTS", "DutyParts", "PartOwnership", "SlotParts"]

PARTS = 2


class PartOwnership(Protocol):
    """Which node holds which part of a workspace's limit."""

    def home(self, workspace: str, part: int) -> str | None:
        """Return the holder of a part as this node sees it."""

    def tenure(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""


class DutyParts(Protocol):
    """Ownership of exclusive duties that are split into parts."""

    def part_holder(self, duty: Duty, key: str, part: int) -> str | None:
        """Return the holder of one part of the duty, or None if the part is free."""

    def part_fencing_number(self, duty: Duty, key: str, part: int) -> int | None:
        """Return the fencing number of a part that this node holds now, or None."""


class SlotParts:
    """Parts by the slot table, in different data centres; implements `PartOwnership`.

    Parameters
    ----------
    ownership : DutyParts
        Holders of the parts of exclusive duties.
    """

    def __init__(self, *, ownership: DutyParts) -> None:
        self._ownership = ownership

    def home(self, workspace: str, part: int) -> str | None:
        """Return the holder of a part as this node sees it."""
        return self._ownership.part_holder(Duty.WORKSPACE_LIMIT, workspace, part)

    def tenure(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""
        return self._ownership.part_fencing_number(Duty.WORKSPACE_LIMIT, workspace, part)
