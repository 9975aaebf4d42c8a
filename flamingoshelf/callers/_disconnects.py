"""Work that ends when its caller goes away."""

import asyncio
from collections.abc import Awaitable
from typing import Protocol, TypeVar

__all__ = ["while_connected"]

ValueT = TypeVar("ValueT")

_POLL_S = 0.1


class _Connection(Protocol):
    async def is_disconnected(self) -> bool: ...


async def while_connected(request: _Connection, work: Awaitable[ValueT]) -> ValueT | None:
    """Return the result of `work`, or cancel it and return None if the caller went away."""
    working = asyncio.ensure_future(work)
    vanishing = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait((working, vanishing), return_when=asyncio.FIRST_COMPLETED)
        return working.result() if working.done() else None
    finally:
        working.cancel()
        vanishing.cancel()


async def _wait_for_disconnect(request: _Connection) -> None:
    while not await request.is_disconnected():
        await asyncio.sleep(_POLL_S)
