"""The newest slot table known to this node."""

import asyncio
from collections.abc import Callable

from flamingoshelf.exceptions import ObjectServiceError
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_store import StoredTable, TableStore
from flamingoshelf.utils import now_s

__all__ = ["TableView"]


class TableView:
    """Hold the newest slot table received from the object service or a peer.

    The version of the held table never decreases.

    Parameters
    ----------
    store : TableStore
        Stores the table in the object service.
    """

    def __init__(self, *, store: TableStore) -> None:
        self._store = store
        self._table = SlotTable()
        self._confirmed_s = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self._write_lock = asyncio.Lock()

    @property
    def table(self) -> SlotTable:
        """Newest slot table; version 0 if none was received yet."""
        return self._table

    @property
    def age_s(self) -> float:
        """Seconds since a node last read this version from the object service."""
        return now_s() - self._confirmed_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time a newer table is adopted."""
        self._listeners.append(listener)

    def adopt(self, table: SlotTable) -> None:
        """Replace the held table if `table` is newer."""
        if table.version <= self._table.version:
            return
        self._table = table
        self._confirmed_s = float("-inf")
        for listener in self._listeners:
            listener()

    def confirm(self, version: int, *, confirmed_s: float) -> None:
        """Record that `version` was the newest at `confirmed_s`, in seconds of the loop's clock."""
        if version == self._table.version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)

    async def refresh(self) -> StoredTable:
        """Read the table from the object service; raise the errors of `TableStore.read`."""
        requested_s = now_s()
        stored = await self._store.read()
        self.adopt(stored.table)
        self.confirm(stored.table.version, confirmed_s=requested_s)
        return stored

    async def change(self, plan: Callable[[SlotTable], SlotTable | None]) -> bool:
        """Read the table, write the table that `plan` derives from it, and adopt that.

        Return False, without writing, if `plan` returns None.

        Raises
        ------
        ConflictError
            Another node changed the table at the same time.
        OutcomeUnknownError
            The change may have been written.
        ObjectServiceError
            Nothing was written.
        """
        async with self._write_lock:
            base = await self.refresh()
            if base.table.version < self._table.version:
                message = f"stored version {base.table.version} is older than the known table"
                raise ObjectServiceError(message, step="slot_table")
            table = plan(base.table)
            if table is None:
                return False
            await self._store.replace(base, table)
            self.adopt(table)
            self.confirm(table.version, confirmed_s=now_s())
            return True
