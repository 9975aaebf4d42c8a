"""Parts of a workspace's limit and the nodes that hold them.

Each limit is split into `PART_COUNT` equal parts. The home of a part is the node that holds it.
"""

from typing import Protocol

from flamingoshelf.base import Duty

__all__ = ["PART_COUNT", "DutyParts", "PartOwnership", "SlotParts"]

PART_COUNT = 2


class PartOwnership(Protocol):
    """Ownership of the parts of workspace limits."""

    def home(self, workspace: str, part: int) -> str | None:
        """Return the node that holds a part, as far as this node knows, or None."""

    def held_fencing_number(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""


class DutyParts(Protocol):
    """Ownership of exclusive duties that are split into parts."""

    def part_holder(self, duty: Duty, key: str, part: int) -> str | None:
        """Return the holder of one part of the duty, or None if the part is free."""

    def part_fencing_number(self, duty: Duty, key: str, part: int) -> int | None:
        """Return the fencing number of a part that this node holds now, or None."""


class SlotParts:
    """Ownership of parts by the slot table; implements `PartOwnership`.

    The parts of a workspace are in different data centres.

    Parameters
    ----------
    ownership : DutyParts
        Holders of the parts of exclusive duties.
    """

    def __init__(self, *, ownership: DutyParts) -> None:
        self._ownership = ownership

    def home(self, workspace: str, part: int) -> str | None:
        """Return the node that holds a part, as far as this node knows, or None."""
        return self._ownership.part_holder(Duty.WORKSPACE_LIMIT, workspace, part)

    def held_fencing_number(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""
        return self._ownership.part_fencing_number(Duty.WORKSPACE_LIMIT, workspace, part)
