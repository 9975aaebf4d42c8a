"""Callers at every node of a site whose nodes may be cut from the backend servers."""

import asyncio
from collections.abc import Collection, Sequence

import attrs

from flamingoshelf.http1 import BackendConnection
from flamingoshelf.utils import now_s
from lab.gateway._caller import Answer
from lab.gateway._checks import EVENTS_PER_STREAM, check_call, is_served
from lab.gateway._lost import Call
from lab.gateway._paths import PathSite
from lab.gateway._site import BOOKINGS, NOTES, RESUMABLE, STOCK

__all__ = ["CutLoad", "FirstTry", "served_share"]

_KINDS = (("POST", BOOKINGS), ("GET", STOCK), ("POST", NOTES), ("POST", RESUMABLE))
_CALL_DEADLINE_MS = 1500
_STREAM_DEADLINE_MS = 4000
_TOKENS_PER_EVENT = 8


@attrs.frozen(kw_only=True)
class FirstTry:
    """A caller's only try of a request at a node."""

    node: int
    path: str
    is_kept: bool  # whether its connection had carried a request before
    sent_s: float
    answer: Answer

    @property
    def is_served(self) -> bool:
        """Whether it was answered with success."""
        return is_served(self.answer)


class CutLoad:
    """Sends requests of every kind to every node, half of them on kept connections.

    Parameters
    ----------
    site : PathSite
        Site that has started.
    interval_s : float
        Seconds between two requests to one node.

    Attributes
    ----------
    tries : list of FirstTry
        Requests that have ended.
    """

    def __init__(self, site: PathSite, *, interval_s: float) -> None:
        self.tries: list[FirstTry] = []
        self._site = site
        self._interval_s = interval_s
        self._kept: dict[int, list[BackendConnection]] = {}
        self._is_over = False
        self._running: list[asyncio.Task[None]] = []

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, and wait until all have ended."""
        count = len(self._site.nodes)
        until_s = now_s() + seconds
        number = 0
        while now_s() < until_s:
            for node in range(count):
                self._running.append(asyncio.ensure_future(self._send(node, number)))
                await asyncio.sleep(self._interval_s / count)
            number += 1
        await asyncio.gather(*self._running)
        for connections in self._kept.values():
            for connection in connections:
                connection.close()

    def between(
        self, from_s: float, until_s: float, nodes: Collection[int], *, paths: Sequence[str] = ()
    ) -> list[FirstTry]:
        """Return the tries at some nodes that were sent in a span of time."""
        return [
            item
            for item in self.tries
            if from_s <= item.sent_s < until_s
            and item.node in nodes
            and (not paths or item.path in paths)
        ]

    def find_breaches(self) -> list[str]:
        """Return what was wrong with answers and runs, whatever was cut."""
        breaches = []
        for item in self.tries:
            call = Call(
                path=item.path,
                service="",
                node=self._site.node_addresses[item.node],
                sent_s=item.sent_s,
                deadline_s=item.sent_s,
                ended_s=item.sent_s,
                answer=item.answer,
            )
            breaches += check_call(call, self._site.log)
        return breaches

    async def _send(self, node: int, number: int) -> None:
        method, path = _KINDS[number % len(_KINDS)]
        is_stream = path in (NOTES, RESUMABLE)
        address = self._site.node_addresses[node]
        kept = self._kept.setdefault(node, [])
        uses_kept = number // len(_KINDS) % 2 == 0
        connection = kept.pop() if uses_kept and kept else None
        is_kept = connection is not None
        sent_s = now_s()
        if uses_kept and connection is None:
            connection = await BackendConnection.open(address, timeout_s=1.0)
        answer = await self._site.caller.call(
            address,
            f"{path}{number}",
            method=method,
            deadline_ms=_STREAM_DEADLINE_MS if is_stream else _CALL_DEADLINE_MS,
            tokens=(100, _TOKENS_PER_EVENT * EVENTS_PER_STREAM) if is_stream else None,
            connection=connection,
        )
        if connection is not None and connection.is_reusable:
            kept.append(connection)
        self.tries.append(
            FirstTry(node=node, path=path, is_kept=is_kept, sent_s=sent_s, answer=answer)
        )


def served_share(tries: Sequence[FirstTry]) -> float:
    """Return the share of tries that were served, 1 if there are none."""
    return sum(item.is_served for item in tries) / len(tries) if tries else 1.0
