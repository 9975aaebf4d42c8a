"""Connections over an in-memory transport."""

import asyncio

import pytest

from flamingoshelf.http1 import ConnectionLimits, ResponseHead
from flamingoshelf.http1._server_connection import ServerConnection
from flamingoshelf.utils import Pacer


class FakeTransport(asyncio.Transport):
    """Records written bytes; the test acts as the peer."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.is_aborted = False
        self.has_eof = False
        self.is_paused = False
        self.unsent_bytes = 0  # set by tests whose caller does not read
        protocol.connection_made(self)

    def write(self, data):
        assert not self.has_eof
        self.written += data

    def write_eof(self):
        self.has_eof = True

    def abort(self):
        if not self.is_aborted:
            self.is_aborted = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        return self.is_aborted

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def get_extra_info(self, name, default=None):
        return default

    def pop_written(self):
        """Return the bytes written since the last call."""
        data, self.written = self.written, b""
        return data


async def _answer_no_content(exchange):
    exchange.respond(ResponseHead(status=204))


class Server:
    """A server connection whose handler is set by the test."""

    def __init__(self):
        self.limits = ConnectionLimits(
            max_header_bytes=1024, max_body_bytes=100, header_timeout_s=3, idle_timeout_s=15
        )
        self.handle = _answer_no_content
        self.lost_connections: list[ServerConnection] = []
        self.connection = ServerConnection(
            handle=lambda exchange: self.handle(exchange),
            limits=lambda: self.limits,
            on_lost=self.lost_connections.append,
            pacer=Pacer(),
        )
        self.transport = FakeTransport(self.connection)

    async def receive(self, data):
        self.connection.data_received(data)
        await run_pending_callbacks()
        return self.transport.pop_written()


async def run_pending_callbacks():
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.fixture
async def server():
    server = Server()
    yield server
    server.transport.abort()
    await run_pending_callbacks()
