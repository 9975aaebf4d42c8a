"""CONFIG: one server that sends a body without end in small chunks keeps a node from answering."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any, cast

import attrs

from flamingoshelf.http1 import Exchange
from flamingoshelf.utils import now_s
from lab.gateway import PlainStandIn
from lab.gateway._site import BOOKINGS, STOCK
from review.case import CaseError, Record, run_case
from review.site import ReviewSite, with_trouble

_ROUNDS = 6
_TROUBLE_S = 5.0  # the pages let wrong bytes last so long at a time
_CALM_S = 3.0
_MAX_SHARE = 0.03  # of the answers of the server in a round
_INTERVAL_S = 0.025  # between two requests
_TIMEOUT_S, _DEADLINE_S = 0.8, 1.5  # as in the site file of hearthnet
_SLACK_S = 0.5
_LEAST_LATE = 10  # fewer requests that are late say nothing
_CHUNK = b"1\r\nx\r\n"
_WRITE_BYTES = 16 * 1024
_MAX_UNSENT_BYTES = 256 * 1024


class TroubledServer(PlainStandIn):
    """Server one of whose answers has a body without end.

    Attributes
    ----------
    answers : int
        Number of answers so far.
    is_due : bool
        Whether the body of the next answer doesn't end.
    endless_s : list of float
        Times at which such answers began.
    """

    work_s = 0.03

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.answers = 0
        self.is_due = False
        self.endless_s: list[float] = []

    async def _serve(self, exchange: Exchange, body: bytes) -> None:
        self.answers += 1
        if not self.is_due:
            await super()._serve(exchange, body)
            return
        self.is_due = False
        self.endless_s.append(now_s())
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {exchange.head.headers.get('Request-Id')}",
            f"Server-Seal: seal-{self.instance_id}",
            "Transfer-Encoding: chunked",
        ]
        transport = cast(Any, exchange)._output._transport
        transport.write("\r\n".join([*lines, "", ""]).encode())
        piece = _CHUNK * (_WRITE_BYTES // len(_CHUNK))
        while not transport.is_closing():  # until the caller closes
            if transport.get_write_buffer_size() < _MAX_UNSENT_BYTES:
                transport.write(piece)
            await asyncio.sleep(0.001)


class Site(ReviewSite):
    """Site with three plain servers, and time limits as in the site file of hearthnet."""

    def _plain(self) -> PlainStandIn:
        return TroubledServer(
            address=self._addresses.reserve()[0],
            service="desk-app",
            zone="zone-a",
            log=self.log,
            random_source=self._random,
        )

    def configuration(self) -> dict[str, Any]:
        """Return the configuration."""
        found = super().configuration()
        for route in found["routes"]:
            if route["kind"] != "streaming":
                route["timeoutMs"] = int(1000 * _TIMEOUT_S)
                route["latencyGoalMs"] = 150
        return found


@attrs.frozen
class Outcome:
    """How a request ended for its client, which waits until its deadline."""

    request_id: str
    node: int
    sent_s: float
    took_s: float
    status: int


async def play(folder: Path, record: Record) -> bool:
    """Let one of three servers send one endless body in each round."""
    site = Site(folder=folder, node_count=2, prefill_count=1, decode_count=1, plain_count=3)
    outcomes: list[Outcome] = []
    try:
        await site.start()
        began_s = now_s()
        troubled = cast(TroubledServer, site.plain[0])
        traffic = asyncio.create_task(
            _send_calls(site, outcomes, seconds=_ROUNDS * (_CALM_S + _TROUBLE_S) + _CALM_S)
        )
        for _ in range(_ROUNDS):
            await asyncio.sleep(_CALM_S)
            before = troubled.answers, len(troubled.endless_s)
            await asyncio.sleep(_TROUBLE_S / 2)
            troubled.is_due = with_trouble()
            await asyncio.sleep(_TROUBLE_S / 2)
            troubled.is_due = False
            answered = troubled.answers - before[0]
            endless = len(troubled.endless_s) - before[1]
            record.add(f"{troubled.instance_id}: {answered} answers, {endless} without end")
            if endless > _MAX_SHARE * answered:
                raise CaseError("more answers were wrong than the pages allow")
        await traffic
        return _check(outcomes, began_s, record)
    finally:
        await site.stop()


async def _send_calls(site: Site, outcomes: list[Outcome], *, seconds: float) -> None:
    began_s = now_s()
    running = []
    while now_s() < began_s + seconds:
        running.append(asyncio.create_task(_send_call(site, outcomes, len(running))))
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*running)


async def _send_call(site: Site, outcomes: list[Outcome], number: int) -> None:
    sent_s, node = now_s(), number % 2
    method, path = (("POST", BOOKINGS), ("GET", STOCK))[number // 2 % 2]
    answer = await site.caller.call(
        site.node_addresses[node],
        f"{path}{number}",
        method=method,
        deadline_ms=int(1000 * _DEADLINE_S),
    )
    # An endless answer is passed on: what counts is when its head arrived.
    answered_s = answer.head_s or now_s()
    outcomes.append(
        Outcome(
            request_id=answer.request_id,
            node=node,
            sent_s=sent_s,
            took_s=answered_s - sent_s,
            status=answer.status,
        )
    )


def _check(outcomes: list[Outcome], began_s: float, record: Record) -> bool:
    """Count the requests without an answer at their route's time limit and half a second later."""
    for item in outcomes:
        record.add(
            f"{item.request_id} at {item.sent_s - began_s:.3f} s to node {item.node}: status "
            f"{item.status or 'none'} after {item.took_s:.3f} s"
        )
    late = [item for item in outcomes if item.took_s > _TIMEOUT_S]
    unanswered = [item for item in late if item.took_s > _TIMEOUT_S + _SLACK_S]
    record.add(f"{len(outcomes)} requests, statuses {dict(Counter(o.status for o in outcomes))}")
    record.add(
        f"CONFIG: {len(late)} requests were unanswered at their time limit, {len(unanswered)} of "
        "them also half a second later"
    )
    if sum(item.status == 200 for item in outcomes) < len(outcomes) / 3:
        raise CaseError("most requests were not served")
    return len(late) < _LEAST_LATE or len(unanswered) <= len(late) / 2


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
