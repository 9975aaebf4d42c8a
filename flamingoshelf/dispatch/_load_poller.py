"""Polling of the load reports of a dispatcher's engines."""

import asyncio

from flamingoshelf.backends import EngineClient
from flamingoshelf.dispatch._dispatcher import Dispatcher
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.utils import now_s

__all__ = ["LoadPoller"]

_POLL_INTERVAL_S = 0.5
_LOAD_TIMEOUT_S = 1.0


class LoadPoller:
    """Polls the load of every engine at a fixed interval and marks engines down or up.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher that receives the reports.
    engines : EngineClient
        Interface to the engines.
    """

    def __init__(self, *, dispatcher: Dispatcher, engines: EngineClient) -> None:
        self._dispatcher = dispatcher
        self._engines = engines
        self._first_poll_done = asyncio.Event()

    async def wait_for_first_poll(self) -> None:
        """Wait until every engine was polled once, successfully or not."""
        await self._first_poll_done.wait()

    async def run(self) -> None:
        """Poll the engines until cancelled."""
        while True:
            addresses = self._dispatcher.pool.addresses()
            await asyncio.gather(*(self._poll_engine(name, addresses[name]) for name in addresses))
            if addresses:
                self._first_poll_done.set()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_engine(self, name: str, address: str) -> None:
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
