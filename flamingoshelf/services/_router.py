"""Routing of calls to the servers of plain services, with retries where they are safe."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from flamingoshelf.backends import PlainCall, PlainReply
from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.objects import Catalog, ServiceSpec
from flamingoshelf.refusals import Refusal, RefusalReason, RetryReason
from flamingoshelf.retries import Backoff, RetryBudgets
from flamingoshelf.routing import ServerSelector
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import now_s

__all__ = ["PlainClient", "ServiceRouter"]

_MAX_SENT_CALLS = 3
_RETRY_AFTER_S = 1.0
_SERVER_FAILURE_STATUSES = frozenset({502, 503, 504})


class PlainClient(Protocol):
    """Sends one call to one server, see `flamingoshelf.backends.PlainServiceClient`."""

    async def call(self, address: str, call: PlainCall, *, timeout_s: float) -> PlainReply:
        """Send `call` once and return the reply."""


class ServiceRouter:
    """Routes calls to the servers of plain services.

    Parameters
    ----------
    catalog : callable
        Returns the catalog in force.
    client : PlainClient
        Sends calls.
    selector : ServerSelector
        Chooses servers.
    budgets : RetryBudgets
        Retry budget of each pool.
    metrics : Metrics
        Counters of retries.
    backoff : Backoff
        Delay before a call is sent again.
    """

    def __init__(
        self,
        *,
        catalog: Callable[[], Catalog],
        client: PlainClient,
        selector: ServerSelector,
        budgets: RetryBudgets,
        metrics: Metrics,
        backoff: Backoff,
    ) -> None:
        self._catalog = catalog
        self._client = client
        self._selector = selector
        self._budgets = budgets
        self._metrics = metrics
        self._backoff = backoff

    async def call(
        self, service: ServiceSpec, call: PlainCall, *, may_repeat: bool
    ) -> PlainReply | Refusal:
        """Return the reply of a server within the service's timeout, or a refusal.

        Another server is tried if no byte was sent to the previous one, or if the call may be
        repeated and the retry budget allows it. A refusal sets ``not_run`` only if no byte was sent
        to any server.
        """
        deadline_s = now_s() + service.timeout_s
        tried: frozenset[str] = frozenset()
        sent = 0
        budget = self._budgets.budget(service.pool)
        budget.record_request()
        while (address := self._choose_server(service, tried)) is not None:
            remaining_s = deadline_s - now_s()
            if remaining_s <= 0:
                break
            tried |= {address}
            try:
                return await self._call_server(address, call, timeout_s=remaining_s)
            except PeerUnreachableError:
                self._metrics.count_retry(RetryReason.SERVICE_FAILED)
            except OutcomeUnknownError as error:
                sent += 1
                if not may_repeat:
                    return _unknown_outcome(error)
                if sent >= _MAX_SENT_CALLS or not budget.try_spend():
                    return _retries_exhausted(error)
                self._metrics.count_retry(RetryReason.SERVICE_FAILED)
                remaining_s = deadline_s - now_s()
                pause_s = self._backoff.delay_s(sent - 1, remaining_s=remaining_s)
                if pause_s is None:
                    return _retries_exhausted(error)
                await asyncio.sleep(pause_s)
        return _no_backend(not_run=sent == 0)

    def _choose_server(self, service: ServiceSpec, tried: frozenset[str]) -> str | None:
        """Return the address of an untried server of the service, or None."""
        servers = [server for _, server in self._catalog().servers((service.pool,))]
        return self._selector.choose(servers, tried=tried)

    async def _call_server(self, address: str, call: PlainCall, *, timeout_s: float) -> PlainReply:
        """Call one server and record the outcome for the server selection."""
        self._selector.start_call(address)
        is_failure: bool | None = None
        try:
            reply = await self._client.call(address, call, timeout_s=timeout_s)
            is_failure = reply.status in _SERVER_FAILURE_STATUSES
            return reply
        except (PeerUnreachableError, OutcomeUnknownError):
            is_failure = True
            raise
        finally:
            self._selector.end_call(address, is_failure=is_failure)


def _unknown_outcome(error: OutcomeUnknownError) -> Refusal:
    return Refusal(
        reason=RefusalReason.BACKEND_FAILED,
        status=502,
        detail="The service did not answer; the call may have been carried out.",
        not_run=False,
        step=error.step,
        peer=error.peer,
    )


def _retries_exhausted(error: OutcomeUnknownError) -> Refusal:
    return Refusal(
        reason=RefusalReason.RETRIES_EXHAUSTED,
        status=502,
        detail="No server of the service answered; the call may be repeated.",
        not_run=False,
        retry_after_s=_RETRY_AFTER_S,
        step=error.step,
        peer=error.peer,
    )


def _no_backend(*, not_run: bool) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_BACKEND,
        status=503,
        detail="No server of the service could be reached.",
        not_run=not_run,
        retry_after_s=_RETRY_AFTER_S,
        step="call",
    )
