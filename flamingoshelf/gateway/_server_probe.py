"""Probes that tell whether a backend server answers over this node's own path."""

import asyncio
from collections.abc import Awaitable, Callable

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.gateway._backend_response import NotRunError
from flamingoshelf.gateway._direct_calls import DirectCalls
from flamingoshelf.http1 import BackendConnection, NoFreeConnectionError, RequestHead
from flamingoshelf.paths import ProbeResult
from flamingoshelf.routing import BackendInstance

__all__ = ["ServerProbe"]

_TIMEOUT_S = 0.3  # longer than a busy server's queue takes, short compared with a caller's wait


class ServerProbe:
    """Calls the health check of a plain server, or the report of an engine.

    Any answer will do: it proves the path, whatever it says of the server.

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

    async def run(self, instance: BackendInstance, is_fresh: bool) -> ProbeResult:
        """Probe a server, over a new connection if `is_fresh`, else an open one if there is any."""
        if not await self._may_call(instance):
            return ProbeResult.HELD_BACK
        sent: list[BackendConnection] = []
        exchange = self._direct.exchange(
            instance,
            self._encode(instance),
            b"",
            request_id=None,
            fresh=is_fresh,
            is_probe=True,
            on_sent=sent.append,
        )
        try:
            async with asyncio.timeout(_TIMEOUT_S), exchange as response:
                while await response.read():  # so that the connection can be reused
                    pass
        except (NotRunError, NoFreeConnectionError):
            return ProbeResult.HELD_BACK
        except (PeerUnreachableError, OutcomeUnknownError):
            return ProbeResult.FAILED
        except TimeoutError:
            return ProbeResult.SILENT if sent else ProbeResult.FAILED
        return ProbeResult.ANSWERED
