"""Encoding and decoding of engine status reports and role orders."""

import json
from typing import Any

from loguru import logger

from flamingoshelf.gateway import EngineReport, OrderOutcome, ReportedRun, RoleOrder
from flamingoshelf.http1 import Headers, RequestHead
from flamingoshelf.platform._documents import parse_document
from flamingoshelf.routing import BackendInstance, EngineRole

__all__ = ["PlatformEngineWire"]

_ROLE_BY_STAGE = {"prefill": EngineRole.PREFILL, "decode": EngineRole.DECODE}
_OUTCOME_BY_STATUS = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.HOLDS_ALREADY,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED_OFF,
}


class PlatformEngineWire:
    """Encode and decode calls to engines; implements `flamingoshelf.gateway.EngineWire`."""

    def encode_report_request(self, instance: BackendInstance) -> RequestHead:
        """Return the head of a request for an engine's status report."""
        return RequestHead(
            method="GET",
            target="/report",
            headers=Headers(
                [("Host", instance.address), ("Expect-Instance", instance.instance_id)]
            ),
        )

    def decode_report(self, body: bytes) -> EngineReport:
        """Return the engine status in `body`; raise `ValueError` if it is malformed."""
        document = parse_document(body)
        try:
            return EngineReport(
                role=_ROLE_BY_STAGE[document["stage"]],
                is_changing=bool(document["busy"]),  # with a role order, not with requests
                order_count=int(document["sequence"]),
                running=int(document["running"]),
                waiting=int(document["waiting"]),
                held_tokens=int(document["kvUsed"]),
                capacity_tokens=int(document["kvTotal"]),
                runs=_decode_runs(document.get("runs") or ()),
                started_ms=int(document.get("born") or 0),
            )
        except (KeyError, TypeError, OverflowError, AttributeError) as error:
            raise ValueError(repr(error)) from error

    def encode_order(
        self, instance: BackendInstance, order: RoleOrder
    ) -> tuple[RequestHead, bytes]:
        """Return the head and body of a request that orders an engine to change its role."""
        document: dict[str, Any] = {
            "operation": "stage",
            "stage": order.role.value,
            "holder": order.holder,
            "fencingToken": order.token,
            "expect": order.expected_order_count,
        }
        body = json.dumps(document).encode()
        head = RequestHead(
            method="POST",
            target="/order",
            headers=Headers(
                [
                    ("Host", instance.address),
                    ("Expect-Instance", instance.instance_id),
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                ]
            ),
        )
        return head, body

    def decode_outcome(self, status: int) -> OrderOutcome:
        """Return the outcome of an order from the HTTP status of its response."""
        return _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)


def _decode_runs(entries: Any) -> tuple[ReportedRun, ...]:
    """Return the runs of a report, without entries that are not readable."""
    runs = []
    for entry in entries if isinstance(entries, list) else ():
        try:
            request_id, held_tokens, events, *_ = entry  # then the priority
            runs.append(
                ReportedRun(
                    request_id=str(request_id), held_tokens=int(held_tokens), events=int(events)
                )
            )
        except (TypeError, ValueError, OverflowError) as error:
            logger.bind(step="report").debug("run in a report left out: {!r}", error)
    return tuple(runs)
