"""A TCP proxy that injects faults between two real processes."""

import asyncio
from enum import StrEnum

from flamingoshelf.utils import TaskGroup

__all__ = ["FaultProxy", "ProxyMode"]

_CHUNK_BYTES = 65_536
_STALL_POLL_S = 0.02


class ProxyMode(StrEnum):
    """How the proxy treats traffic.

    ``PASS`` forwards it; ``REFUSE`` closes new connections at once; ``STALL`` delays both
    directions until the mode changes; ``LOSE_ANSWERS`` forwards requests and drops answers.
    """

    PASS = "pass"
    REFUSE = "refuse"
    STALL = "stall"
    LOSE_ANSWERS = "lose_answers"


class FaultProxy:
    """Proxy that forwards connections to one address.

    Parameters
    ----------
    listen_address, target_address : str
        ``ip:port`` at which the proxy listens and to which it forwards.
    delay_s : float
        One-way delay of every chunk, in seconds.

    Attributes
    ----------
    mode : ProxyMode
        Current treatment of traffic.
    refused_sources : set of str
        IP addresses whose new connections are closed at once.
    """

    def __init__(self, *, listen_address: str, target_address: str, delay_s: float = 0.0) -> None:
        self._listen_address = listen_address
        self._target_address = target_address
        self.delay_s = delay_s
        self.mode = ProxyMode.PASS
        self.refused_sources: set[str] = set()
        self._server: asyncio.Server | None = None
        self._tasks = TaskGroup(owner="proxy")
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address at which the proxy listens."""
        return self._listen_address

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self._listen_address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await self._tasks.stop()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if self.mode is ProxyMode.REFUSE or source in self.refused_sources:
            writer.transport.abort()
            return
        host, _, port = self._target_address.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        self._tasks.start(self._forward(reader, target_writer, is_answer=False), name="request")
        self._tasks.start(self._forward(target_reader, writer, is_answer=True), name="answer")

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._wait_to_forward()
                if is_answer and self.mode is ProxyMode.LOSE_ANSWERS:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_to_forward(self) -> None:
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        while self.mode is ProxyMode.STALL:
            await asyncio.sleep(_STALL_POLL_S)
