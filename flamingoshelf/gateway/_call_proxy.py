"""Makes calls to backend servers for nodes that don't reach these servers."""

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError, ProtocolError
from flamingoshelf.gateway._backend_response import (
    BackendResponse,
    NotRunError,
    ServerPausedError,
    WrongInstanceError,
)
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._proxy_messages import (
    ConfirmRun,
    ProxyCall,
    ProxyEnd,
    ProxyFailure,
    ProxyFailureKind,
    ProxyHead,
    RunConfirmed,
)
from flamingoshelf.http1 import BackendConnection, NoFreeConnectionError, ResponseHead
from flamingoshelf.nodes import NodeChannel
from flamingoshelf.paths import PathState, PathTable
from flamingoshelf.routing import ServerNotices
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["CallProxy"]

_MAX_SHORT_DIGITS = 4  # of the size of a body that is passed back as a whole, in bytes


class CallProxy:
    """Serves the channels that other nodes open to make calls.

    A call is made over this node's own path only, so none is passed on twice.

    Parameters
    ----------
    direct : DirectCalls
        Calls servers.
    runs : EngineRuns
        Confirms the runs of engines.
    paths : PathTable
        State of this node's paths.
    notices : ServerNotices
        Servers that leave, as far as this node knows.
    has_room : callable
        ``has_room(key)`` returns whether a server may be called for another node.
    """

    def __init__(
        self,
        *,
        direct: DirectCalls,
        runs: EngineRuns,
        paths: PathTable,
        notices: ServerNotices,
        has_room: Callable[[str], bool],
    ) -> None:
        self._direct = direct
        self._runs = runs
        self._paths = paths
        self._notices = notices
        self._has_room = has_room
        self._is_leaving = False
        self._running = 0

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    def leave(self) -> None:
        """Make no further calls, as this node is about to stop."""
        self._is_leaving = True

    async def serve(self, channel: NodeChannel) -> None:
        """Make the calls that arrive on a channel, one after another, until it closes."""
        tasks = TaskGroup(owner="proxy")
        running: _RunningCall | None = None
        try:
            while True:
                received = await channel.receive()
                match received:
                    case ProxyCall():
                        running = _RunningCall(channel=channel, call=received, runs=self._runs)
                        tasks.start(self._make(running), name=f"call.{received.server}")
                    case bytes() if running is not None:
                        running.add_body(received)
                    case ConfirmRun() if running is not None:
                        tasks.start(running.confirm(), name="confirm")
                    case _:
                        name = type(received).__name__
                        raise ProtocolError(f"unexpected {name}", step="proxy", peer=channel.peer)
        finally:
            await tasks.stop()

    async def _make(self, running: "_RunningCall") -> None:
        """Make one call, and tell the other node how it ended."""
        call, channel = running.call, running.channel
        began_s = now_s()
        outcome = "cancelled"
        self._running += 1
        try:
            failure = await self._forward(running)
            if failure is not None:
                await channel.send(failure)
            outcome = "whole" if failure is None else f"{failure.kind}: {failure.text}"
        except OutcomeUnknownError as error:
            outcome = error.message
        finally:
            running.close()
            self._running -= 1
            logger.bind(
                request_id=call.request_id,
                step="proxy",
                peer=call.server,
                node_for=channel.peer,
                path=call.target,
                status=running.status,
                outcome=outcome,
                after_s=round(now_s() - began_s, 4),
            ).info("call made for another node")

    async def _pass_back(self, channel: NodeChannel, response: BackendResponse) -> None:
        """Send an answer to the other node as it arrives; a short one as a whole."""
        head = ProxyHead(status=response.head.status, headers=tuple(response.head.headers))
        if _is_short(response.head):
            parts = []
            while part := await response.read():
                parts.append(part)
            await channel.send(attrs.evolve(head, body=b"".join(parts)))
            return
        await channel.send(head)
        while part := await response.read():
            await channel.send(part)
        await channel.send(ProxyEnd())

    async def _forward(self, running: "_RunningCall") -> ProxyFailure | None:
        """Pass a call on to its server and the answer back; return the failure if there is none.

        Raises
        ------
        OutcomeUnknownError
            The channel closed.
        """
        call, instance = running.call, running.call.instance
        body = await running.read_body()
        if self._is_leaving:
            return ProxyFailure(kind=ProxyFailureKind.UNREACHABLE, text="about to stop")
        if self._paths.state(instance.key) is not PathState.DIRECT:
            return ProxyFailure(kind=ProxyFailureKind.UNREACHABLE, text="no path to the server")
        if call.request_id is not None and self._notices.has_left(instance):
            return ProxyFailure(kind=ProxyFailureKind.LEAVING, text="the server leaves")
        if not self._has_room(instance.key):
            return ProxyFailure(kind=ProxyFailureKind.BUSY, text="no room for calls of others")
        try:
            async with self._direct.exchange(
                instance, call.head, body, request_id=call.request_id, on_sent=running.record_sent
            ) as response:
                running.status = response.head.status
                await self._pass_back(running.channel, response)
        except WrongInstanceError as error:
            return ProxyFailure(kind=ProxyFailureKind.WRONG_INSTANCE, text=error.message)
        except ServerPausedError as error:
            return ProxyFailure(
                kind=ProxyFailureKind.PAUSED,
                text=error.message,
                pause_s=error.pause_s,
                was_sent=error.was_sent,
            )
        except NotRunError as error:
            return ProxyFailure(kind=ProxyFailureKind.NOT_RUN, text=error.message)
        except NoFreeConnectionError as error:
            return ProxyFailure(kind=ProxyFailureKind.BUSY, text=error.message)
        except PeerUnreachableError as error:
            return ProxyFailure(kind=ProxyFailureKind.UNREACHABLE, text=error.message)
        except OutcomeUnknownError as error:
            return ProxyFailure(kind=ProxyFailureKind.UNKNOWN, text=error.message)
        return None


def _is_short(head: ResponseHead) -> bool:
    """Return whether an answer states that its body is short."""
    length = head.headers.get("Content-Length") or ""
    return length.isascii() and length.isdigit() and len(length) <= _MAX_SHORT_DIGITS


class _RunningCall:
    """A call that is being made for another node.

    Attributes
    ----------
    status : int or None
        Status of the server's answer.
    """

    def __init__(self, *, channel: NodeChannel, call: ProxyCall, runs: EngineRuns) -> None:
        self.channel = channel
        self.call = call
        self.status: int | None = None
        self._runs = runs
        self._body: list[bytes] = []
        self._missing_bytes = call.body_bytes
        self._has_body = asyncio.Event()
        # None if the call has ended without being sent.
        self._sent: asyncio.Future[BackendConnection | None] = (
            asyncio.get_running_loop().create_future()
        )
        if not self._missing_bytes:
            self._has_body.set()

    def add_body(self, part: bytes) -> None:
        """Add bytes of the body."""
        self._body.append(part)
        self._missing_bytes -= len(part)
        if self._missing_bytes <= 0:
            self._has_body.set()

    async def read_body(self) -> bytes:
        """Return the whole body, whose parts are kept no longer here."""
        await self._has_body.wait()
        body = b"".join(self._body)
        self._body.clear()
        return body

    def record_sent(self, connection: BackendConnection) -> None:
        """Record the connection that the call was written to."""
        self._sent.set_result(connection)

    def close(self) -> None:
        """Record that the call has ended."""
        if not self._sent.done():
            self._sent.set_result(None)

    async def confirm(self) -> None:
        """Tell the other node whether the server is the run that the call names."""
        connection = await asyncio.shield(self._sent)
        is_confirmed = (
            connection is not None
            and await self._runs.check(self.call.instance, connection).is_confirmed()
        )
        try:
            await self.channel.send(RunConfirmed(is_confirmed=is_confirmed))
        except OutcomeUnknownError as error:
            logger.bind(step="engine_run", peer=self.call.server).debug(
                "confirmation not sent: {}", error.message
            )
