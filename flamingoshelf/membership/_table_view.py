"""Newest slot table that this node has seen."""

import asyncio
from collections.abc import Callable

from flamingoshelf.exceptions import ObjectServiceError
from flamingoshelf.membership._slots import SlotTable
from flamingoshelf.membership._table_store import StoredTable, TableStore
from flamingoshelf.utils import now_s

__all__ = ["TableView"]


class TableView:
    """Newest table, from the object service or from a peer; only ever moves to a higher version.

    Parameters
    ----------
    store : TableStore
        The table in the object service.
    """

    def __init__(self, *, store: TableStore) -> None:
        self._store = store
        self._table = SlotTable()
        self._confirmed_s = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self._writing = asyncio.Lock()

    @property
    def table(self) -> SlotTable:
        """Newest table."""
        return self._table

    @property
    def age_s(self) -> float:
        """Seconds since somebody read this version at the object service."""
        return now_s() - self._confirmed_s

    def on_change(self, listener: Callable[[], None]) -> None:
        """Have `listener` called after each newer table."""
        self._listeners.append(listener)

    def adopt(self, table: SlotTable) -> None:
        """Take over a table that is newer."""
        if table.version <= self._table.version:
            return
        self._table = table
        self._confirmed_s = float("-inf")
        for listener in self._listeners:
            listener()

    def confirm(self, version: int, *, confirmed_s: float) -> None:
        """Record that somebody found `version` to be the newest at `confirmed_s`."""
        if version == self._table.version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)

    async def refresh(self) -> StoredTable:
        """Read the table at the object service; errors as in `TableStore.read`."""
        asked_s = now_s()
        stored = await self._store.read()
        self.adopt(stored.table)
        self.confirm(stored.table.version, confirmed_s=asked_s)
        return stored

    async def change(self, plan: Callable[[SlotTable], SlotTable | None]) -> bool:
        """Read the table, write what `plan` makes of it, and take it over.

        Returns False if `plan` returned None, that is, had nothing to change.

        Raises
        ------
        ConflictError
            Another node changed the table at the same time.
        OutcomeUnknownError
            The change may have been written.
        ObjectServiceError
            Nothing was written.
        """
        async with self._writing:
            base = await self.refresh()
            if base.table.version < self._table.version:
                message = f"version {base.table.version} is older than a table that was seen"
                raise ObjectServiceError(message, step="slot_table")
            table = plan(base.table)
            if table is None:
                return False
            await self._store.replace(base, table)
            self.adopt(table)
            self.confirm(table.version, confirmed_s=now_s())
            return True
