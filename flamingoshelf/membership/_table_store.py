"""Storage of the slot table in the object service."""

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
_RESOLVE_ATTEMPTS = 5
_RESOLVE_RETRY_S = 0.2


@attrs.frozen(kw_only=True)
class StoredTable:
    """A slot table and the version of the object that stores it."""

    table: SlotTable
    object_version: int


class TableStore:
    """Read and conditionally replace the slot table in the object service.

    Parameters
    ----------
    store : ObjectService
        The platform's object service.
    """

    def __init__(self, *, store: ObjectService) -> None:
        self._store = store
        self._cached = StoredTable(table=SlotTable(), object_version=0)

    async def read(self) -> StoredTable:
        """Return the stored table, or an empty table with object version 0 if none is stored."""
        stored = await self._store.get(SLOTS_KEY)
        if stored is None:
            return StoredTable(table=SlotTable(), object_version=0)
        if stored.version != self._cached.object_version:
            table = SlotTable.decode(stored.value)
            self._cached = StoredTable(table=table, object_version=stored.version)
        return self._cached

    async def replace(self, base: StoredTable, table: SlotTable) -> None:
        """Write `table` if `base` is still the stored table.

        Raises
        ------
        ConflictError
            Another table was written after `base`.
        OutcomeUnknownError
            `table` may or may not have been written.
        ObjectServiceError
            Nothing was written.
        """
        value = table.encode()
        try:
            await self._store.put(SLOTS_KEY, value, expected_version=base.object_version)
        except OutcomeUnknownError:
            await self._resolve_outcome(table, value)

    async def _resolve_outcome(self, table: SlotTable, value: bytes) -> None:
        """Read the object to find out whether a write took effect whose response was lost.

        An equal stored table counts as success, whichever node wrote it. While the object still
        has its old version, the write may yet take effect, so the outcome stays unknown.

        Raises
        ------
        ConflictError
            Another table of this version or a higher one is stored.
        OutcomeUnknownError
            The write may yet take effect, or the object could not be read.
        """
        for attempt in range(_RESOLVE_ATTEMPTS):
            try:
                stored = await self._store.get(SLOTS_KEY)
            except FlamingoshelfError as error:
                if attempt == _RESOLVE_ATTEMPTS - 1:
                    raise OutcomeUnknownError(error.message, step="slot_table") from error
                await asyncio.sleep(_RESOLVE_RETRY_S)
                continue
            if stored is not None and stored.value == value:
                return
            found_version = 0 if stored is None else SlotTable.decode(stored.value).version
            if found_version < table.version:
                raise OutcomeUnknownError("the write has not taken effect yet", step="slot_table")
            raise ConflictError(f"version {found_version} is stored instead", step="slot_table")
