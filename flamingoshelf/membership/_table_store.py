"""Reads and changes the slot table in the object service."""

import asyncio

import attrs

from flamingoshelf.base import ObjectService
from flamingoshelf.exceptions import (
    ConflictError,
    FlamingoshelfError,
    OutcomeUnknownError,
)
from flamingoshelf.membership._slots import SlotTable

__all__ = ["SLOTS_KEY", "StoredTable", "TableStore"]

SLOTS_KEY = "ownership/slots"
_READ_ATTEMPTS = 5
_READ_RETRY_S = 0.2


@attrs.frozen(kw_only=True)
class StoredTable:
    """A table and the version of the object that holds it."""

    table: SlotTable
    object_version: int


class TableStore:
    """The slot table in the object service.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    """

    def __init__(self, *, store: ObjectService) -> None:
        self._store = store
        self._last = StoredTable(table=SlotTable(), object_version=0)

    async def read(self) -> StoredTable:
        """Return the newest table; an empty one if there is none yet."""
        stored = await self._store.get(SLOTS_KEY)
        if stored is None:
            return StoredTable(table=SlotTable(), object_version=0)
        if stored.version != self._last.object_version:
            table = SlotTable.decode(stored.value)
            self._last = StoredTable(table=table, object_version=stored.version)
        return self._last

    async def replace(self, base: StoredTable, table: SlotTable) -> None:
        """Write `table` in the place of `base`.

        Raises
        ------
        ConflictError
            Another table was written after `base`.
        OutcomeUnknownError
            It could not be learned whether `table` was written.
        ObjectServiceError
            Nothing was written.
        """
        value = table.encode()
        try:
            await self._store.put(SLOTS_KEY, value, expected_version=base.object_version)
        except OutcomeUnknownError:
            await self._resolve(table, value)

    async def _resolve(self, table: SlotTable, value: bytes) -> None:
        """Find out by reading whether a write whose answer was lost took effect.

        Two equal tables are one change, whoever wrote them. While the object still has its old
        version, the write may yet arrive, so that the outcome stays unknown.
        """
        for attempt in range(_READ_ATTEMPTS):
            try:
                stored = await self._store.get(SLOTS_KEY)
            except FlamingoshelfError as error:
                if attempt == _READ_ATTEMPTS - 1:
                    raise OutcomeUnknownError(error.message, step="slot_table") from error
                await asyncio.sleep(_READ_RETRY_S)
                continue
            if stored is not None and stored.value == value:
                return
            found = 0 if stored is None else SlotTable.decode(stored.value).version
            if found < table.version:
                raise OutcomeUnknownError("not written yet", step="slot_table")
            raise ConflictError(f"version {found} found", step="slot_table")
