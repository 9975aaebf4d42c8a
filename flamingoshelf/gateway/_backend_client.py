"""Calls to backend servers: over this node's own path, or through another node."""

import asyncio
import random
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
from loguru import logger

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._backend_response import (
    BackendResponse,
    EvacuatedError,
    NotRunError,
    SendProgress,
    read_all,
)
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.gateway._proxied_calls import PeerPassedError, ProxiedCall, ProxiedCalls
from flamingoshelf.gateway._proxy_messages import ProxyFailureKind
from flamingoshelf.gateway._wire import BackendCall, KvHandle, WireFormat
from flamingoshelf.http1 import (
    BackendConnection,
    NoFreeConnectionError,
    RequestHead,
    SlowConnectionError,
)
from flamingoshelf.paths import PathService, PathState, PathTable
from flamingoshelf.routing import BackendInstance
from flamingoshelf.server_limits import StatedLimits
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["BackendClient"]

_RELEASE_HANDLE_TIMEOUT_S = 0.5  # lifetime of a handle; later it has expired anyway
_MAX_HANDLE_BYTES = 16 * 1024  # a handle has some hundred bytes
_MAX_CALL_BYTES = 1024 * 1024  # a report lists each run in some tens of bytes
# A failed connection attempt leaves time for another server; a check takes milliseconds if
# connections are refused.
_VERDICT_WAIT_S = 0.05
_CONNECTION_WAIT_S = 0.1  # before a waiting call asks again whether other nodes reach the server
_MAX_PEERS_PER_CALL = 2  # nodes that a call is offered to, of which one at most sends it

OnSent = Callable[[BackendConnection | ProxiedCall], None]


class BackendClient:
    """Sends requests to backend servers.

    A server that this node doesn't reach is called through a node that does.

    Parameters
    ----------
    direct : DirectCalls
        Calls over this node's own connections.
    proxied : ProxiedCalls
        Calls through other nodes.
    paths : PathService
        Checks paths that have failed.
    path_table : PathTable
        State of the paths.
    wire : WireFormat
        Encodes heads and decodes handles.
    limits : StatedLimits
        Limits that servers state.
    random_source : random.Random
        Source of the random choice among equally busy nodes.
    """

    def __init__(
        self,
        *,
        direct: DirectCalls,
        proxied: ProxiedCalls,
        paths: PathService,
        path_table: PathTable,
        wire: WireFormat,
        limits: StatedLimits,
        random_source: random.Random,
    ) -> None:
        self._direct = direct
        self._proxied = proxied
        self._paths = paths
        self._path_table = path_table
        self._wire = wire
        self._limits = limits
        self._random = random_source
        self._tasks = TaskGroup(owner="backend_client")

    async def stop(self) -> None:
        """Cancel background calls."""
        await self._tasks.stop()

    @asynccontextmanager
    async def send(
        self,
        request: AdmittedRequest,
        call: BackendCall,
        *,
        fresh: bool = False,
        on_sent: OnSent = lambda connection: None,
        progress: SendProgress | None = None,
        is_patient: bool = False,
    ) -> AsyncGenerator[BackendResponse, None]:
        """Send a request; leaving the context before the end of the body cancels it at the server.

        With `fresh`, a new connection is opened even if there are idle ones. `on_sent` is called
        with the connection that the request was written to. `progress` tells, also after a
        cancellation, whether a server may have received the request. With `is_patient`, it waits as
        long as its caller does while new connections are slow and all open ones are in use.

        Raises
        ------
        NotRunError
            The server did not run the request.
        SlowConnectionError
            New connections are slow, and all open ones are in use; nothing was sent.
        PeerUnreachableError
            Nothing was sent.
        OutcomeUnknownError
            The server may have run the request, but gave no valid answer.
        """
        began_s = now_s()

        def encode() -> RequestHead:
            left = attrs.evolve(call, remaining_s=call.remaining_s - (now_s() - began_s))
            return self._wire.encode_request(request.head, left, body_bytes=len(request.body))

        async with AsyncExitStack() as stack:
            yield await self._open(
                stack,
                call.instance,
                encode,
                request.body,
                request_id=request.request_id,
                fresh=fresh,
                on_sent=on_sent,
                progress=progress or SendProgress(),
                is_patient=is_patient,
            )

    async def prefill(self, request: AdmittedRequest, call: BackendCall) -> KvHandle:
        """Run a prefill and return its KV cache handle; errors as in `send`."""
        async with self.send(request, call) as response:
            body = await response.read_all(limit=_MAX_HANDLE_BYTES)
            if response.head.status != 200 or body is None:
                raise OutcomeUnknownError(
                    f"status {response.head.status}", step="prefill", peer=call.instance.key
                )
            try:
                return self._wire.decode_handle(body, call.instance)
            except ValueError as error:
                raise OutcomeUnknownError(
                    f"no handle: {error}", step="prefill", peer=call.instance.key
                ) from error

    async def call(
        self,
        instance: BackendInstance,
        head: RequestHead,
        body: bytes,
        *,
        step: str,
        timeout_s: float,
        is_order: bool = False,
    ) -> tuple[int, bytes]:
        """Send a call that originates at this node; return status and body of the response.

        With `is_order`, it isn't sent through another node, and over a new connection only: a
        response names no call of a node, so on a used one it may be that to an earlier order.

        Raises
        ------
        PeerUnreachableError
            The call was not sent.
        OutcomeUnknownError
            The call may have taken effect, but no complete answer arrived in time.
        """
        sent_s = now_s()
        try:
            async with asyncio.timeout(timeout_s), AsyncExitStack() as stack:
                if is_order:
                    if not self._uses_own_path(instance.key):
                        raise PeerUnreachableError("no path", step=step, peer=instance.key)
                    exchange = self._direct.exchange(
                        instance, head, body, request_id=None, fresh=True
                    )
                    response = await stack.enter_async_context(exchange)
                else:
                    response = await self._open(
                        stack,
                        instance,
                        lambda: head,
                        body,
                        request_id=None,
                        progress=SendProgress(),
                    )
                content = await read_all(response.connection, limit=_MAX_CALL_BYTES)
                if content is None:
                    reason = f"its answer has more than {_MAX_CALL_BYTES} bytes"
                    raise OutcomeUnknownError(reason, step=step, peer=instance.key)
                return response.head.status, content
        except TimeoutError as error:
            self._paths.record_silence(instance, since_s=sent_s)
            reason = f"no answer within {timeout_s} s"
            raise OutcomeUnknownError(reason, step=step, peer=instance.key) from error

    def release_handle(self, handle: KvHandle, instance: BackendInstance) -> None:
        """Release a KV cache handle in the background.

        That of an engine at its limit, or in an evacuated data centre, expires by itself soon.
        """
        if self._limits.limit(instance.run) is not None:
            logger.bind(step="free_handle", peer=instance.key).debug(
                "handle not released; the engine limits its requests"
            )
            return
        self._tasks.start(self._send_handle_release(handle, instance), name="free_handle")

    async def _send_handle_release(self, handle: KvHandle, instance: BackendInstance) -> None:
        head = self._wire.encode_handle_release(handle, instance)
        try:
            await self.call(
                instance, head, b"", step="free_handle", timeout_s=_RELEASE_HANDLE_TIMEOUT_S
            )
        except (PeerUnreachableError, OutcomeUnknownError) as error:
            logger.bind(step="free_handle", peer=instance.key).info(
                "handle release not confirmed; the handle will expire: {!r}", error
            )

    async def _open(
        self,
        stack: AsyncExitStack,
        instance: BackendInstance,
        encode: Callable[[], RequestHead],
        body: bytes,
        *,
        request_id: str | None,
        fresh: bool = False,
        on_sent: OnSent = lambda connection: None,
        progress: SendProgress,
        is_patient: bool = False,
    ) -> BackendResponse:
        """Return the response to a request, which ends with the `stack`."""

        def record_sent(connection: BackendConnection | ProxiedCall) -> None:
            progress.may_have_arrived = True
            on_sent(connection)

        response = await self._open_directly(
            stack,
            instance,
            encode,
            body,
            request_id=request_id,
            fresh=fresh,
            on_sent=record_sent,
            is_patient=is_patient,
        )
        if response is not None:
            return response
        failure: PeerUnreachableError | None = None
        for peer in self._choose_peers(instance.key):
            head = encode()
            logger.bind(
                request_id=request_id, step="proxy", peer=instance.key, node=peer, path=head.target
            ).info("calling through another node")
            progress.may_have_arrived = True  # once the other node has begun to receive the call
            try:
                return await stack.enter_async_context(
                    self._proxied.exchange(
                        peer, instance, head, body, request_id=request_id, on_sent=on_sent
                    )
                )
            except EvacuatedError:
                progress.may_have_arrived = False
                raise
            except PeerPassedError as error:
                progress.may_have_arrived = False
                logger.bind(request_id=request_id, step="proxy", peer=instance.key, node=peer).info(
                    "call not made by another node: {}", error.message
                )
                failure = self._record_passed(instance, error)
                if error.reason is ProxyFailureKind.LEAVING:
                    break
        raise failure or PeerUnreachableError(
            "no node reaches the server", step="proxy", peer=instance.key
        )

    async def _open_directly(
        self,
        stack: AsyncExitStack,
        instance: BackendInstance,
        encode: Callable[[], RequestHead],
        body: bytes,
        *,
        request_id: str | None,
        fresh: bool,
        on_sent: OnSent,
        is_patient: bool,
    ) -> BackendResponse | None:
        """Return the response over this node's own path, or None if that path is cut."""
        while self._uses_own_path(instance.key):
            exchange = self._direct.exchange(
                instance, encode(), body, request_id=request_id, fresh=fresh, on_sent=on_sent
            )
            try:
                return await stack.enter_async_context(exchange)
            except SlowConnectionError:  # others may have open connections
                if await self._is_found_cut(instance):
                    return None
                if not is_patient:
                    raise
                await self._direct.wait_for_connection(instance.key, _CONNECTION_WAIT_S)
            except (NotRunError, NoFreeConnectionError):
                raise
            except PeerUnreachableError:  # nothing was sent
                if await self._is_found_cut(instance):
                    return None
                raise
        if self._path_table.state(instance.key) is PathState.CUT:
            await self._is_found_cut(instance)  # no wait while a node is known that reaches it
        return None

    def _uses_own_path(self, key: str) -> bool:
        """Return whether a server is called over this node's own path."""
        state = self._path_table.state(key)
        if state is PathState.CUT and self._path_table.keeps_connections(key):
            return self._direct.has_open_connection(key)
        return state is PathState.DIRECT

    async def _is_found_cut(self, instance: BackendInstance) -> bool:
        """Return whether a check that takes little time finds the path cut."""
        try:
            async with asyncio.timeout(_VERDICT_WAIT_S):
                return await self._paths.is_cut(instance)
        except TimeoutError:
            return False  # the check goes on, for the calls that follow

    def _choose_peers(self, key: str) -> Sequence[str]:
        """Return nodes that reach a server, the one that makes fewest calls for this node first."""
        peers = list(self._path_table.peers(key))
        self._random.shuffle(peers)
        return sorted(peers, key=self._proxied.running)[:_MAX_PEERS_PER_CALL]

    def _record_passed(
        self, instance: BackendInstance, error: PeerPassedError
    ) -> PeerUnreachableError:
        """Record that a node has not sent a call; return the error for the caller."""
        if error.reason is not ProxyFailureKind.UNREACHABLE:
            return NoFreeConnectionError(error.message, step="proxy", peer=instance.key)
        self._paths.record_peer_failure(instance, error.peer)
        return PeerUnreachableError(error.message, step="proxy", peer=instance.key)
