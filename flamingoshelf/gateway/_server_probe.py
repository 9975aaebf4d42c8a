"""Probes that tell whether a backend server answers over this node's own path."""

import asyncio
from collections.abc import Awaitable, Callable, Collection

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._backend_response import NotRunError
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.http1 import BackendConnection, NoFreeConnectionError, RequestHead
from flamingoshelf.paths import ProbeResult
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup

__all__ = ["ServerProbe"]

_TIMEOUT_S = 0.3  # longer than a busy server's queue takes, short compared with a caller's wait
# A new connection that was given up still takes its turn at whatever is slow to accept it, and
# another one would wait behind it. Each one that was silent is followed by a more patient one.
_PATIENCE_S = 5.0
_MAX_PATIENCE_S = 20.0


class ServerProbe:
    """Calls the health check of a plain server, or the report of an engine.

    Any answer will do: it proves the path, whatever it says of the server. There is one new
    connection for probes of a server at a time. It waits for its answer beyond the time for which
    a probe is waited for, and a late answer restores the path as well.

    Parameters
    ----------
    direct : DirectCalls
        Calls servers.
    encode : callable
        ``encode(instance)`` returns the head of the call.
    may_call : callable
        ``await may_call(instance)`` returns whether a server that limits its requests accepts one.
    """

    def __init__(
        self,
        *,
        direct: DirectCalls,
        encode: Callable[[BackendInstance], RequestHead],
        may_call: Callable[[BackendInstance], Awaitable[bool]],
    ) -> None:
        self._direct = direct
        self._encode = encode
        self._may_call = may_call
        self._running: dict[str, _FreshProbe] = {}
        self._patience_s: dict[str, float] = {}  # by server, after silent probes
        self._tasks = TaskGroup(owner="probes")

    async def stop(self) -> None:
        """Cancel all probes."""
        await self._tasks.stop()

    def retain(self, keys: Collection[str]) -> None:
        """Drop what is known of all servers except `keys`."""
        for key in self._patience_s.keys() - set(keys):
            del self._patience_s[key]

    async def run(self, instance: BackendInstance, is_fresh: bool) -> ProbeResult:
        """Probe a server, over a new connection if `is_fresh`, else an open one if there is any."""
        key = instance.key
        if not is_fresh and self._direct.has_open_connection(key):
            return await self._probe(instance, [], fresh=False, timeout_s=_TIMEOUT_S)
        probe = self._running.get(key)
        if probe is None:
            probe = self._running[key] = _FreshProbe()
            probe.task = self._tasks.start(self._probe_fresh(instance, probe), name=f"probe.{key}")
        assert probe.task is not None
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await asyncio.shield(probe.task)
        except TimeoutError:
            return ProbeResult.SILENT if probe.sent else ProbeResult.UNCONNECTED

    async def _probe_fresh(self, instance: BackendInstance, probe: "_FreshProbe") -> ProbeResult:
        key = instance.key
        patience_s = self._patience_s.pop(key, _PATIENCE_S)
        try:
            result = await self._probe(instance, probe.sent, fresh=True, timeout_s=patience_s)
        finally:
            del self._running[key]
        if result is ProbeResult.SILENT:
            self._patience_s[key] = min(2 * patience_s, _MAX_PATIENCE_S)
        return result

    async def _probe(
        self,
        instance: BackendInstance,
        sent: list[BackendConnection],
        *,
        fresh: bool,
        timeout_s: float,
    ) -> ProbeResult:
        """Probe a server; its connection is added to `sent` once it is established."""
        if not await self._may_call(instance):
            return ProbeResult.HELD_BACK
        exchange = self._direct.exchange(
            instance,
            self._encode(instance),
            b"",
            request_id=None,
            fresh=fresh,
            is_probe=True,
            on_sent=sent.append,
        )
        try:
            async with asyncio.timeout(timeout_s), exchange as response:
                while await response.read():  # so that the connection can be reused
                    pass
        except (NotRunError, NoFreeConnectionError):
            return ProbeResult.HELD_BACK
        except (PeerUnreachableError, OutcomeUnknownError) as error:
            is_timeout = isinstance(error.__cause__, TimeoutError)
            return ProbeResult.UNCONNECTED if is_timeout else ProbeResult.FAILED
        except TimeoutError:
            return ProbeResult.SILENT if sent else ProbeResult.UNCONNECTED
        return ProbeResult.ANSWERED


class _FreshProbe:
    """A probe over a new connection that is running, and its connection once established."""

    def __init__(self) -> None:
        self.task: asyncio.Task[ProbeResult] | None = None
        self.sent: list[BackendConnection] = []
