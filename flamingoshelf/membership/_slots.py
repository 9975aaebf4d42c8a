"""The slot table: which node holds which part of the exclusive duties.

The table has `COLUMNS` columns of `PARTS` slots. A duty and a key are hashed to one column. A duty
that is split over several holders uses the column's slots as its parts; other duties use only the
first slot.
"""

from collections.abc import Iterable, Mapping

import attrs
import cbor2

from flamingoshelf.exceptions import ProtocolError
from flamingoshelf.utils import stable_hash

__all__ = ["COLUMNS", "PARTS", "Slot", "SlotTable", "column_of", "slot_index"]

COLUMNS = 384
PARTS = 3


@attrs.frozen(kw_only=True)
class Slot:
    """Assignment of one slot.

    Parameters
    ----------
    holder : str
        VM name of the holder; an empty string if the slot is free.
    incarnation : str
        Run of the holder's process that may exercise the duty.
    version : int
        Version of the table at which the slot was assigned; serves as fencing number.
    """

    holder: str = ""
    incarnation: str = ""
    version: int = 0


_FREE_SLOT = Slot()


@attrs.frozen(kw_only=True)
class SlotTable:
    """All slots at one version; immutable.

    Parameters
    ----------
    version : int
        Number of the table, raised by one with each change; 0 if no table exists yet.
    list_version : int
        Newest version of the VM list on which a change was based.
    slots : tuple of Slot
        ``COLUMNS * PARTS`` slots.
    """

    version: int = 0
    list_version: int = 0
    slots: tuple[Slot, ...] = (_FREE_SLOT,) * (COLUMNS * PARTS)

    def holders(self) -> set[str]:
        """Return the names of the VMs that hold at least one slot."""
        return {slot.holder for slot in self.slots if slot.holder}

    def held_by(self, holder: str) -> list[int]:
        """Return the indexes of the slots that a VM holds."""
        return [index for index, slot in enumerate(self.slots) if slot.holder == holder]

    def with_holders(
        self, changes: Mapping[int, tuple[str, str]], *, list_version: int
    ) -> "SlotTable":
        """Return the table's next version with the given (holder, incarnation) by index."""
        version = self.version + 1
        slots = list(self.slots)
        for index, (holder, incarnation) in changes.items():
            slots[index] = Slot(holder=holder, incarnation=incarnation, version=version)
        return SlotTable(
            version=version,
            list_version=max(list_version, self.list_version),
            slots=tuple(slots),
        )

    def encode(self) -> bytes:
        """Return the table as CBOR.

        Slots refer to a list of distinct (holder, incarnation) pairs, to keep the encoding small.
        """
        pairs = sorted({(slot.holder, slot.incarnation) for slot in self.slots})
        pair_indexes = {pair: pair_index for pair_index, pair in enumerate(pairs)}
        slots = [[pair_indexes[slot.holder, slot.incarnation], slot.version] for slot in self.slots]
        return cbor2.dumps([self.version, self.list_version, [list(p) for p in pairs], slots])

    @classmethod
    def decode(cls, data: bytes) -> "SlotTable":
        """Return the table encoded in `data`.

        Raises
        ------
        ProtocolError
            `data` is not a table of this layout.
        """
        try:
            version, list_version, pairs, slots = cbor2.loads(data)
            decoded = tuple(_decode_slots(pairs, slots))
            if len(decoded) != COLUMNS * PARTS:
                raise ValueError(f"{len(decoded)} slots found; {COLUMNS * PARTS} expected")
            return cls(version=int(version), list_version=int(list_version), slots=decoded)
        except Exception as error:
            raise ProtocolError(f"invalid slot table: {error!r}", step="slot_table") from error


def _decode_slots(pairs: list[list[str]], slots: list[list[int]]) -> Iterable[Slot]:
    for pair_index, version in slots:
        holder, incarnation = pairs[pair_index]
        yield Slot(holder=holder, incarnation=incarnation, version=version)


def column_of(duty: str, key: str) -> int:
    """Return the column to which a duty and a key are hashed.

    Examples
    --------
    >>> 0 <= column_of("workspace_limit", "harbour-shop") < COLUMNS
    True
    """
    return stable_hash(duty, key) % COLUMNS


def slot_index(column: int, part: int) -> int:
    """Return the index in `SlotTable.slots` of a part of a column.

    Examples
    --------
    >>> slot_index(2, 1)
    7
    """
    return column * PARTS + part
