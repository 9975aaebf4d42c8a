"""Reads the load reports of a dispatcher's engines."""

import asyncio

from flamingoshelf.backends import EngineClient
from flamingoshelf.dispatch._dispatcher import Dispatcher
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import now_s

__all__ = ["EngineWatch"]

_INTERVAL_S = 0.5
_LOAD_TIMEOUT_S = 1.0


class EngineWatch:
    """Asks every engine for its load at an interval.

    Parameters
    ----------
    dispatcher : Dispatcher
        Takes in the reports.
    engines : EngineClient
        Interface to the engines.
    """

    def __init__(self, *, dispatcher: Dispatcher, engines: EngineClient) -> None:
        self._dispatcher = dispatcher
        self._engines = engines
        self._first_round = asyncio.Event()

    async def wait_first_round(self) -> None:
        """Wait until every engine answered once or failed to."""
        await self._first_round.wait()

    async def run(self) -> None:
        """Read reports until cancelled."""
        while True:
            addresses = self._dispatcher.pool.addresses()
            await asyncio.gather(*(self._read(name, addresses[name]) for name in addresses))
            if addresses:
                self._first_round.set()
            await asyncio.sleep(_INTERVAL_S)

    async def _read(self, name: str, address: str) -> None:
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                load = await self._engines.load(address)
        except (FlamingoshelfError, TimeoutError):
            self._dispatcher.mark_down(name)
            return
        if name in self._dispatcher.pool.decode:
            account = self._dispatcher.decode_account(name)
            account.observe(load.held, load.used_pieces, now_s())
        else:
            self._dispatcher.prefill_account(name).is_down = False
