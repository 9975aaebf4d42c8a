"""HTTP endpoints for readiness checks and metrics."""

from collections.abc import Callable

from flamingoshelf.http1 import Exchange, Headers, HttpServer, ResponseHead

__all__ = ["StatusServer"]


class StatusServer:
    """Answers readiness checks, and serves metrics at a separate address.

    Parameters
    ----------
    readiness_address : str
        ``ip:port`` to serve readiness checks at.
    metrics_address : str or None
        ``ip:port`` to serve metrics at; None disables them.
    is_ready : callable
        Returns whether the node accepts new callers.
    render_metrics : callable
        Returns all metrics in text format.
    """

    def __init__(
        self,
        *,
        readiness_address: str,
        metrics_address: str | None,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._servers = [HttpServer(address=readiness_address, handle=self._answer_readiness)]
        if metrics_address is not None:
            self._servers.append(HttpServer(address=metrics_address, handle=self._answer_metrics))

    async def start(self) -> None:
        """Start listening."""
        for server in self._servers:
            await server.start()

    async def stop(self) -> None:
        """Close all connections."""
        for server in self._servers:
            await server.stop()

    async def _answer_readiness(self, exchange: Exchange) -> None:
        exchange.respond(ResponseHead(status=200 if self._is_ready() else 503))

    async def _answer_metrics(self, exchange: Exchange) -> None:
        head = ResponseHead(status=200, headers=Headers([("Content-Type", "text/plain")]))
        exchange.respond(head, self._render_metrics())
