"""TWICE and REFUSED: a late second copy of a refusal of the same request is taken for a new one."""

import asyncio
from pathlib import Path
from typing import Any, cast

from flamingoshelf.http1 import Exchange, Headers, ResponseHead
from flamingoshelf.utils import now_s
from lab.gateway import Answer, EngineStandIn
from lab.gateway._records import Run
from lab.gateway._site import NOTES
from review.case import CaseError, Record, run_case
from review.site import ReviewSite, with_trouble

_ROUNDS = 10
_ROUND_S = 5.0  # the pages let wrong bytes last so long at a time
_MAX_EXTRA_SHARE = 0.03  # of the answers of the engine in a round
_SHORT_TOKENS, _LONG_TOKENS = 16, 800  # output of the requests
_PROMISES = (408, 421, 429, 503)


class FullEngine(EngineStandIn):
    """Engine that is full at times, and may send a refusal once more, late.

    Attributes
    ----------
    is_full : bool
        Whether the next request is refused, as there is no room.
    answers, extras : int
        Number of answers to requests for a run, and of second copies sent.
    begun : list of Run
        Runs that have made their first token.
    """

    is_full = False

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.answers = 0
        self.extras = 0
        self.begun: list[Run] = []
        self.sends_extras = False
        self._late_copies: dict[Any, bytes] = {}

    async def _serve(self, exchange: Exchange, body: bytes) -> None:
        transport = cast(Any, exchange)._output._transport
        late_copy = self._late_copies.pop(transport, None)
        if late_copy is not None:  # where the next answer on this connection is expected
            self.extras += 1
            transport.write(late_copy)
        await super()._serve(exchange, body)

    async def _decode(self, exchange: Exchange, body: bytes) -> None:
        self.answers += 1
        if not self.is_full:
            await super()._decode(exchange, body)
            return
        self.is_full = False
        self._respond(exchange, 503, b"", ("Not-Run", "1"))
        if self.sends_extras:
            lines = [
                "HTTP/1.1 503 Service Unavailable",
                "Not-Run: 1",
                f"Request-Id: {exchange.head.headers.get('Request-Id')}",
                "Content-Length: 0",
            ]
            transport = cast(Any, exchange)._output._transport
            self._late_copies[transport] = "\r\n".join([*lines, "", ""]).encode()

    async def _stream(self, exchange: Exchange, run: Run, *, events: int) -> None:
        """Stream an answer; the request runs from its first token on."""
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Request-Id", run.request_id),
            ("Server-Seal", f"seal-{run.server}"),
        ]
        for number in range(1, events + 1):
            await self.silence.sleep(self.s_per_event)
            if number == 1:
                self.begun.append(run)
                exchange.start_response(ResponseHead(status=200, headers=Headers(headers)))
            await exchange.write(f"id: {number}\ndata: {run.request_id} {number}\n\n".encode())
        run.ended = "whole"
        exchange.end()


class Site(ReviewSite):
    """Site whose engines are full at times."""

    def _engine(self, role: str) -> FullEngine:
        engine = FullEngine(
            role=role,
            peers=self.engine_at,
            address=self._addresses.reserve()[0],
            service="writers",
            zone="zone-a",
            log=self.log,
            random_source=self._random,
        )
        engine.on_role_change = self.register
        return engine


async def play(folder: Path, record: Record) -> bool:
    """Send notes, which may run once at most, while both engines are full for a moment."""
    site = Site(folder=folder, node_count=1, prefill_count=1, decode_count=2)
    answers: list[Answer] = []

    async def send(tokens: int) -> Answer:
        answer = await site.caller.call(
            site.node_addresses[0], f"{NOTES}valuation", tokens=(100, tokens), deadline_ms=8000
        )
        answers.append(answer)
        return answer

    try:
        await site.start()
        decodes = [cast(FullEngine, engine) for engine in site.engines[1:]]
        decodes[0].sends_extras = with_trouble()  # half of the engines; the pages allow 0.6
        for _ in range(_ROUNDS):
            began_s = now_s()
            before = decodes[0].answers, decodes[0].extras
            while now_s() < began_s + _ROUND_S - 1.2:
                await asyncio.gather(*(send(_SHORT_TOKENS) for _ in range(4)))
            long_ones = [asyncio.create_task(send(_LONG_TOKENS)) for _ in range(3)]
            await asyncio.sleep(0.15)
            for engine in decodes:
                engine.is_full = True
            await send(_SHORT_TOKENS)
            await asyncio.gather(*long_ones)
            for engine in decodes:
                engine.is_full = False
            answered = decodes[0].answers - before[0]
            extras = decodes[0].extras - before[1]
            record.add(f"{answered} answers of {decodes[0].instance_id}, {extras} sent twice")
            if extras > max(1.0, _MAX_EXTRA_SHARE * answered) or answered < 1 / _MAX_EXTRA_SHARE:
                raise CaseError("more answers were sent twice than the pages allow")
        return _check(site, answers, record)
    finally:
        await site.stop()


def _check(site: Site, answers: list[Answer], record: Record) -> bool:
    """Record all requests; return whether each ran once at most, and no refused one ran."""
    holds = True
    begun = [run for engine in site.engines for run in cast(FullEngine, engine).begun]
    for answer in answers:
        runs = [run for run in begun if run.request_id == answer.request_id]
        where = ", ".join(f"{run.server} ({run.ended})" for run in runs)
        record.add(f"{answer.request_id}: status {answer.status}, ran at: {where or 'none'}")
        if len(runs) > 1:
            record.add(f"TWICE: {answer.request_id} ran {len(runs)} times")
            holds = False
        if answer.status in _PROMISES and runs:
            record.add(f"REFUSED: {answer.request_id} was answered {answer.status} and has run")
            holds = False
    served = sum(answer.status == 200 and answer.is_complete for answer in answers)
    record.add(f"{len(answers)} requests, {served} served")
    if served < len(answers) / 2:
        raise CaseError("most requests were not served")
    return holds


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
