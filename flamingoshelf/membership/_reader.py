"""Reads of the VM list and the slot table from the platform."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.membership._absence import AbsenceTracker
from flamingoshelf.membership._gossip import Gossip
from flamingoshelf.membership._pause_detector import PauseDetector
from flamingoshelf.membership._table_view import TableView
from flamingoshelf.membership._view import VmView
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["PlatformReader"]

_READER_COUNT = 3
_READ_INTERVAL_S = 1.0
_MAX_AGE_S = 15.0
_CONFIRM_RETRY_S = 0.3
_MIN_CONFIRMING_PEERS = 2
_JOIN_RETRY_S = 0.5


class PlatformReader:
    """Keep the VM list and slot table fresh and check them after a pause.

    The `_READER_COUNT` nodes of lowest rank read every `_READ_INTERVAL_S` for the whole fleet, so
    that the load on the platform does not grow with the fleet. Other nodes read only if their copy
    was not confirmed for `_MAX_AGE_S`.

    Parameters
    ----------
    vms : VmView
        The VM list.
    tables : TableView
        The slot table.
    gossip : Gossip
        Pulls from peers if the platform does not answer.
    pause_detector : PauseDetector
        Detects pauses; its state is confirmed after list and table were checked.
    absence : AbsenceTracker
        Records the holders absent from each list.
    rank : callable
        Returns this node's rank among the readers; 0 is the first.
    random_source : random.Random
        Jitters the read interval.
    """

    def __init__(
        self,
        *,
        vms: VmView,
        tables: TableView,
        gossip: Gossip,
        pause_detector: PauseDetector,
        absence: AbsenceTracker,
        rank: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        self._vms = vms
        self._tables = tables
        self._gossip = gossip
        self._pause_detector = pause_detector
        self._absence = absence
        self._rank = rank
        self._random = random_source
        self._tasks = TaskGroup(owner="platform_reader")

    async def start(self) -> None:
        """Start reading."""
        self._tasks.start(self._read(), name="read")
        self._tasks.start(self._confirm(), name="confirm")
        self._tasks.start(self._join(), name="join")

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.stop()

    async def _read(self) -> None:
        while True:
            await asyncio.sleep(_READ_INTERVAL_S * self._random.uniform(0.8, 1.2))
            is_reader = self._rank() < _READER_COUNT
            if is_reader or self._vms.age_s > _MAX_AGE_S:
                await self._try_read("vm_list", self._read_list)
            if is_reader or self._tables.age_s > _MAX_AGE_S:
                await self._try_read("slot_table", self._read_table)

    async def _try_read(self, step: str, read: Callable[[], Awaitable[None]]) -> bool:
        try:
            await read()
        except FlamingoshelfError as error:
            logger.bind(step=step, peer=error.peer).warning("platform read failed: {}", error)
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
        """Check list and table once at the start and after each pause."""
        while True:
            resumed_s = await self._pause_detector.wait_until_confirmation_due()
            if await self._check():
                self._pause_detector.confirm(resumed_s)
            else:
                await asyncio.sleep(_CONFIRM_RETRY_S)

    async def _check(self) -> bool:
        has_list = await self._try_read("vm_list", self._read_list)
        has_table = await self._try_read("slot_table", self._read_table)
        return (has_list and has_table) or await self._check_with_peers()

    async def _check_with_peers(self) -> bool:
        """Return whether enough peers sent a list and table at least as new as this node's."""
        peers = self._gossip.successors
        confirming_count = 0
        for peer in peers:
            try:
                confirming_count += await self._gossip.pull(peer)
            except FlamingoshelfError as error:
                logger.bind(step="confirm", peer=peer).debug("pull failed: {}", error)
        return confirming_count >= _MIN_CONFIRMING_PEERS

    async def _join(self) -> None:
        """Exchange all entries with one peer, so that this run's entry replaces older ones."""
        while True:
            for peer in self._gossip.successors:
                try:
                    await self._gossip.join(peer)
                except FlamingoshelfError as error:
                    logger.bind(step="join", peer=peer).debug("entry exchange failed: {}", error)
                    continue
                return
            await asyncio.sleep(_JOIN_RETRY_S)
