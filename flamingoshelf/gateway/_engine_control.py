"""Control calls to model engines: state reports and role change orders."""

from enum import StrEnum
from typing import Protocol

import attrs

from flamingoshelf.exceptions import OutcomeUnknownError
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.http1 import RequestHead
from flamingoshelf.routing import BackendInstance, EngineRole

__all__ = [
    "EngineControl",
    "EngineReport",
    "EngineWire",
    "OrderOutcome",
    "ReportedRun",
    "RoleOrder",
]

_REPORT_TIMEOUT_S = 0.4  # reports take milliseconds; more would delay the result of a probe
_ORDER_TIMEOUT_S = 0.6  # after it the engine may or may not have accepted the order


@attrs.frozen(kw_only=True)
class ReportedRun:
    """A run as its engine reports it.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    held_tokens : int
        Tokens in memory, those of the prompt included.
    events : int
        Events sent so far.
    """

    request_id: str
    held_tokens: int
    events: int


@attrs.frozen(kw_only=True)
class EngineReport:
    """State of an engine as it reports it; some hundred milliseconds old.

    Parameters
    ----------
    role : EngineRole
        Pool that the engine works in.
    is_changing : bool
        Whether the engine is carrying out an order.
    order_count : int
        Number of orders accepted since the engine started.
    running, waiting : int
        Number of running requests, and of requests waiting in its queue.
    held_tokens, capacity_tokens : int
        Tokens of KV cache in use that can't be evicted, and total capacity in tokens.
    runs : tuple of ReportedRun
        Runs of the engine, if it lists them.
    started_ms : int
        Unix time of the engine's start in milliseconds, 0 if it isn't stated.
    """

    role: EngineRole
    is_changing: bool
    order_count: int
    running: int
    waiting: int
    held_tokens: int
    capacity_tokens: int
    runs: tuple[ReportedRun, ...] = ()
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class RoleOrder:
    """An order to an engine to change its role.

    Parameters
    ----------
    role : EngineRole
        Pool to work in.
    holder : str
        Node that issues the order.
    token : int
        Fencing token of that node; engines reject orders with an outdated token.
    expected_order_count : int
        Number of orders accepted by the engine so far; it refuses this order if the number differs.
    """

    role: EngineRole
    holder: str
    token: int
    expected_order_count: int


class OrderOutcome(StrEnum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED_OFF = "fenced_off"
    REFUSED = "refused"


class EngineWire(Protocol):
    """Encodes and decodes the control calls to engines."""

    def encode_report_request(self, instance: BackendInstance) -> RequestHead:
        """Return the head of a call that requests an engine's report."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Return the report in a response body; raise `ValueError` if it is malformed."""

    def encode_order(
        self, instance: BackendInstance, order: RoleOrder
    ) -> tuple[RequestHead, bytes]:
        """Return head and body of a call that sends an order."""

    def decode_outcome(self, status: int) -> OrderOutcome:
        """Return the outcome that a response status stands for."""


class EngineControl:
    """Sends control calls to engines.

    Parameters
    ----------
    client : BackendClient
        Sends the calls.
    wire : EngineWire
        Encodes and decodes them.
    """

    def __init__(self, *, client: BackendClient, wire: EngineWire) -> None:
        self._client = client
        self._wire = wire

    async def report(self, instance: BackendInstance) -> EngineReport:
        """Return the report of an engine.

        Raises
        ------
        PeerUnreachableError, OutcomeUnknownError
            The engine does not answer, or not with a valid report.
        """
        head = self._wire.encode_report_request(instance)
        status, body = await self._client.call(
            instance, head, b"", step="report", timeout_s=_REPORT_TIMEOUT_S
        )
        if status != 200:
            raise OutcomeUnknownError(f"status {status}", step="report", peer=instance.key)
        try:
            return self._wire.decode_report(body)
        except ValueError as error:
            raise OutcomeUnknownError(repr(error), step="report", peer=instance.key) from error

    async def order(self, instance: BackendInstance, order: RoleOrder) -> OrderOutcome:
        """Send an order, and return how the engine answered.

        It is sent from this node, as an order from another one would be that of another holder.

        Raises
        ------
        PeerUnreachableError
            The order was not sent.
        OutcomeUnknownError
            The engine may carry out the order, now or later.
        """
        head, body = self._wire.encode_order(instance, order)
        status, _ = await self._client.call(
            instance, head, body, step="order", timeout_s=_ORDER_TIMEOUT_S, is_order=True
        )
        return self._wire.decode_outcome(status)
