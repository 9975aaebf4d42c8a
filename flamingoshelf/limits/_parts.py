"""Parts of a workspace's limit and the nodes that hold them."""

from typing import Protocol

from flamingoshelf.base import Duty, Ownership

__all__ = ["PARTS", "KeyedParts", "PartOwnership"]

PARTS = 2


class PartOwnership(Protocol):
    """Which node holds which part of a workspace's limit."""

    def home(self, workspace: str, part: int) -> str | None:
        """Return the holder of a part as this node sees it."""

    def tenure(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""


class KeyedParts:
    """Makes each part an exclusive duty of its own; implements `PartOwnership`.

    Parameters
    ----------
    ownership : Ownership
        Holders of exclusive duties.
    """

    def __init__(self, *, ownership: Ownership) -> None:
        self._ownership = ownership

    def home(self, workspace: str, part: int) -> str | None:
        """Return the holder of a part as this node sees it."""
        holders = self._ownership.holders(Duty.WORKSPACE_LIMIT, _key(workspace, part))
        return next(iter(holders), None)

    def tenure(self, workspace: str, part: int) -> int | None:
        """Return the fencing number under which this node holds a part now, or None."""
        key = _key(workspace, part)
        if not self._ownership.holds(Duty.WORKSPACE_LIMIT, key):
            return None
        return self._ownership.fencing_number(Duty.WORKSPACE_LIMIT, key)


def _key(workspace: str, part: int) -> str:
    return f"{workspace}/{part}"
