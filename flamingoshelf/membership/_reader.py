"""Reads VM list and slot table at the platform, on few nodes for all."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._absence import AbsenceRecord
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._loop_guard import LoopGuard
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PlatformReader"]

_READER_COUNT = 3
_INTERVAL_S = 1.0
_MAX_AGE_S = 15.0
_CONFIRM_RETRY_S = 0.3
_CONFIRM_PEERS = 2
_JOIN_RETRY_S = 0.5


class PlatformReader:
    """Keeps list and table fresh and checks them after a pause.

    The first `_READER_COUNT` nodes read every second; the others only when they have heard of no
    reading for `_MAX_AGE_S`.

    Parameters
    ----------
    vms : VmView
        The VM list.
    tables : TableView
        The slot table.
    gossip : Gossip
        Asks peers when the platform does not answer.
    guard : LoopGuard
        Is opened once list and table were checked.
    absence : AbsenceRecord
        Is told what each list shows.
    rank : callable
        Returns this node's place among the readers.
    random_source : random.Random
        Spreads the readings.
    """

    def __init__(
        self,
        *,
        vms: VmView,
        tables: TableView,
        gossip: Gossip,
        guard: LoopGuard,
        absence: AbsenceRecord,
        rank: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self._vms = vms
        self._tables = tables
        self._gossip = gossip
        self._guard = guard
        self._absence = absence
        self._rank = rank
        self._random = random_source
        self._tasks = TaskGroup(owner="platform_reader")

    async def start(self) -> None:
        """Start to read."""
        self._tasks.start(self._read(), name="read")
        self._tasks.start(self._confirm(), name="confirm")
        self._tasks.start(self._join(), name="join")

    async def stop(self) -> None:
        """Stop to read."""
        await self._tasks.stop()

    async def _read(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_S * self._random.uniform(0.8, 1.2))
            is_reader = self._rank() < _READER_COUNT
            if is_reader or self._vms.age_s > _MAX_AGE_S:
                await self._try("vm_list", self._read_list)
            if is_reader or self._tables.age_s > _MAX_AGE_S:
                await self._try("slot_table", self._read_table)

    async def _try(self, step: str, read: Callable[[], Awaitable[None]]) -> bool:
        try:
            await read()
        except FlamingoshelfError as error:
            logger.bind(step=step, peer=error.peer).warning("not read: {}", error)
            return False
        return True

    async def _read_list(self) -> None:
        if await self._vms.refresh():
            self._absence.observe(
                self._tables.table.holders(),
                snapshot=self._vms.snapshot,
                read_s=self._vms.read_s,
                now_s=now_s(),
                base_list_version=self._tables.table.list_version,
            )

    async def _read_table(self) -> None:
        await self._tables.refresh()

    async def _confirm(self) -> None:
        """Check list and table after each pause, and once at the start."""
        while True:
            resumed_s = await self._guard.wait_closed()
            if await self._is_checked():
                self._guard.confirm(resumed_s)
            else:
                await asyncio.sleep(_CONFIRM_RETRY_S)

    async def _is_checked(self) -> bool:
        has_list = await self._try("vm_list", self._read_list)
        has_table = await self._try("slot_table", self._read_table)
        return (has_list and has_table) or await self._is_checked_by_peers()

    async def _is_checked_by_peers(self) -> bool:
        """Return whether enough peers told their newest list and table."""
        peers = self._gossip.successors
        checked = 0
        for peer in peers:
            try:
                checked += await self._gossip.pull(peer)
            except FlamingoshelfError as error:
                logger.bind(step="confirm", peer=peer).debug("no answer: {}", error)
        return checked >= _CONFIRM_PEERS

    async def _join(self) -> None:
        """Exchange all entries with one peer, so that this run's entry overrides older ones."""
        while True:
            for peer in self._gossip.successors:
                try:
                    await self._gossip.join(peer)
                except FlamingoshelfError as error:
                    logger.bind(step="join", peer=peer).debug("no answer: {}", error)
                    continue
                return
            await asyncio.sleep(_JOIN_RETRY_S)
