"""Engines that crash under a part of prompts, and the check that it is soon kept from them."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from flamingoshelf.utils import now_s
from lab.faults import FaultKind
from lab.gateway._lost import NODE_FAULTS, Call, Disruption
from lab.gateway._records import Run
from lab.gateway._servers import EngineStandIn, prompt_parts
from lab.gateway._site import NOTES, RESUMABLE, GatewaySite

__all__ = ["CrashingCalls", "CrashingPart"]

_CONTACT_S = 3.0  # time after which every node is to know what the others learned
_CRASHES = 5  # later than the contact time after so many, few requests with the part may arrive
_MAX_LATE_ARRIVALS = 3
_MIN_JUDGED = 20  # sound calls; from so many on, their served share is judged
_MIN_SERVED_SHARE = 0.5
_CALL_INTERVAL_S = 0.25  # between two calls with the part
_PART_LIFETIME_S = 12.0  # then engines crash under another part
_STORE_FAULTS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
    FaultKind.RESTORE_STORE,
)


@attrs.define(kw_only=True)
class CrashingPart:
    """A part of prompts under which all engines of a site crash as they begin to answer.

    Parameters
    ----------
    site : GatewaySite
        The site.
    part : str
        Identifier of the part.
    on_crash : callable
        ``on_crash(engine)`` stops an engine, and starts another one later.
    parts_before : int
        Number of parts that all prompts share, before this one.
    """

    site: GatewaySite
    part: str
    on_crash: Callable[[EngineStandIn], None]
    crashes_s: list[float] = attrs.field(factory=list)
    parts_before: int = 0

    def activate(self) -> None:
        """Let engines crash under this part from now on, and under no other one."""
        for engine in self.site.engines:
            engine.crashing_part = self.part
            engine.on_crash = self._record_crash

    def prompt(self, number: int, *, crashing: bool) -> list[tuple[str, str]]:
        """Return the headers of a call that is like no other; its first parts are shared."""
        parts = [f"a{number % 3}:200", *(f"s{place}:1" for place in range(self.parts_before))]
        parts += [f"{self.part}:300"] * crashing
        return [("Prompt-Prefix", ",".join([*parts, f"own{number}:500"]))]

    def arrivals(self) -> list[Run]:
        """Return the calls with this part that reached engines."""
        return [run for run in self.site.log.arrivals if self.part in prompt_parts(run.headers)]

    def late_arrivals(self) -> list[Run]:
        """Return those later than the contact time after the fifth crash."""
        if len(self.crashes_s) < _CRASHES:
            return []
        from_s = self.crashes_s[_CRASHES - 1] + _CONTACT_S
        return [run for run in self.arrivals() if run.at_s > from_s]

    def find_breaches(
        self,
        *,
        crashing: Sequence[Call],
        sound: Sequence[Call],
        disruptions: Sequence[Disruption],
    ) -> list[str]:
        """Return a line for each broken promise, as far as nodes in touch are concerned.

        `crashing` are the calls with this part, and `sound` those beside them.
        """
        nodes = {call.answer.request_id: call.node for call in crashing}
        late = [
            run
            for run in self.late_arrivals()
            if run.request_id in nodes  # else the load ended first
            and _is_in_touch(nodes[run.request_id], run.at_s, disruptions)
        ]
        breaches = []
        if len(late) > _MAX_LATE_ARRIVALS:
            breaches.append(
                f"{self.part}: {len(late)} late arrivals after {len(self.crashes_s)} crashes"
            )
        if not self.crashes_s or not crashing:
            return breaches
        begin_s = self.crashes_s[:_CRASHES][-1] + 2 * _CONTACT_S
        judged = [
            call
            for call in sound
            if begin_s < call.sent_s < crashing[-1].sent_s
            and all(
                _is_in_touch(call.node, at_s, disruptions) for at_s in (call.sent_s, call.ended_s)
            )
            and not any(d.overlaps(call) for d in disruptions if d.target == call.service)
        ]
        served = sum(call.answer.is_complete and call.answer.status == 200 for call in judged)
        if len(judged) >= _MIN_JUDGED and served < _MIN_SERVED_SHARE * len(judged):
            breaches.append(f"{self.part}: {served} of {len(judged)} sound calls beside it served")
        return breaches

    def _record_crash(self, engine: EngineStandIn) -> None:
        self.crashes_s.append(now_s())
        self.on_crash(engine)


class CrashingCalls:
    """Sends calls with a part under which engines crash; it is another one after some seconds.

    Parameters
    ----------
    site : GatewaySite
        The site.
    call : callable
        ``await call(address, path, crashing=calls)`` sends a stream and adds it to `calls`.
    on_crash : callable
        ``on_crash(engine)`` stops an engine, and starts another one later.
    random_source : random.Random
        Chooses nodes and routes.
    """

    def __init__(
        self,
        *,
        site: GatewaySite,
        call: Callable[..., Coroutine[Any, Any, Any]],
        on_crash: Callable[[EngineStandIn], None],
        random_source: random.Random,
    ) -> None:
        self._site = site
        self._call = call
        self._on_crash = on_crash
        self._random = random_source
        self._numbers = itertools.count()
        self._calls: dict[str, list[Call]] = {}
        self.parts: list[CrashingPart] = []

    def prompt(self, *, is_crashing: bool) -> list[tuple[str, str]]:
        """Return the headers of the next stream, none if no part was sent so far."""
        if not self.parts:
            return []
        return self.parts[-1].prompt(next(self._numbers), crashing=is_crashing)

    async def send(self) -> None:
        """Send calls until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                name = f"bad{len(self.parts)}"
                self.parts.append(CrashingPart(site=self._site, part=name, on_crash=self._on_crash))
                self.parts[-1].activate()
                calls = self._calls[name] = []
                until_s = now_s() + _PART_LIFETIME_S
                while now_s() < until_s:
                    address = self._random.choice(self._site.node_addresses)
                    path = self._random.choice((NOTES, RESUMABLE))
                    tasks.create_task(self._call(address, path, crashing=calls))
                    await asyncio.sleep(_CALL_INTERVAL_S)

    def find_breaches(self, sound: Sequence[Call], disruptions: Sequence[Disruption]) -> list[str]:
        """Return a line for each broken promise."""
        return [
            breach
            for part in self.parts
            for breach in part.find_breaches(
                crashing=self._calls[part.part], sound=sound, disruptions=disruptions
            )
        ]


def _is_in_touch(node: str, at_s: float, disruptions: Sequence[Disruption]) -> bool:
    """Return whether neither a node nor the store was disrupted for the contact time before."""
    return not any(
        d.start_s < at_s and d.end_s > at_s - _CONTACT_S
        for d in disruptions
        if d.kind in _STORE_FAULTS
        or (d.kind in (*NODE_FAULTS, FaultKind.STOP_NODE) and d.target == node)
    )
