"""Streams that are taken up again while engines of several software versions serve."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence

import attrs

from flamingoshelf.utils import now_s
from lab.gateway._caller import Answer
from lab.gateway._checks import is_served
from lab.gateway._servers import EngineStandIn
from lab.gateway._site import RESUMABLE, GatewaySite

__all__ = ["ResumedStream", "VersionedStreams", "find_joined"]

EVENTS = 150  # 1.5 s of an engine's time
_CALLERS = 4
_MAX_TAKE_UPS = 12  # over the time that killed nodes need to start
_PAUSE_S = 0.3  # before a take-up
_RELEASE_INTERVAL_S = (1.0, 3.0)
_KILL_INTERVAL_S = (4.0, 8.0)
_POLL_INTERVAL_S = 0.1


@attrs.define(kw_only=True)
class ResumedStream:
    """A stream, with all attempts of its caller."""

    number: int
    answers: list[Answer] = attrs.field(factory=list)

    @property
    def events(self) -> list[int]:
        """Ids of the events of all attempts."""
        return [event for answer in self.answers for event in answer.events]

    @property
    def versions(self) -> set[str]:
        """Software versions of the engines that made them."""
        return {version for answer in self.answers for version in answer.versions}

    @property
    def is_served(self) -> bool:
        """Whether the last attempt succeeded."""
        return is_served(self.answers[-1])

    @property
    def is_broken(self) -> bool:
        """Whether the stream began and isn't complete."""
        return bool(self.events) and not self.is_served

    @property
    def take_up_headers(self) -> list[tuple[str, str]]:
        """Headers with which the caller takes the stream up."""
        first = next(answer.request_id for answer in self.answers if answer.events)
        return [("Last-Event-Id", str(self.events[-1])), ("Resumes", first)]


def find_joined(streams: Sequence[ResumedStream], *, events: int) -> list[ResumedStream]:
    """Return the streams of several versions, or that hold not each event once and in order."""
    return [
        stream
        for stream in streams
        if len(stream.versions) > 1
        or stream.events != list(range(1, len(stream.events) + 1))
        or (stream.is_served and len(stream.events) != events)
    ]


class VersionedStreams:
    """Releases new versions of engines, kills all nodes, and takes up the streams that break.

    Parameters
    ----------
    site : GatewaySite
        The site.
    replace : callable
        ``await replace(engine, change)`` awaits the replacement of an engine unless another change
        of it is under way.
    kill_all : callable
        Kills all nodes, and starts them again.
    random_source : random.Random
        Draws times, nodes and engines.
    """

    def __init__(
        self,
        *,
        site: GatewaySite,
        replace: Callable[[EngineStandIn, Awaitable[None]], Awaitable[None]],
        kill_all: Callable[[], Awaitable[None]],
        random_source: random.Random,
    ) -> None:
        self._site = site
        self._replace = replace
        self._kill_all = kill_all
        self._random = random_source
        self._numbers = itertools.count()
        self.streams: list[ResumedStream] = []

    @property
    def take_ups(self) -> int:
        """Number of attempts to take a stream up."""
        return sum(max(0, len(stream.answers) - 1) for stream in self.streams if stream.events)

    @property
    def taken_up(self) -> int:
        """Number of streams that were completed after a take-up."""
        return sum(stream.is_served and len(stream.answers) > 1 for stream in self.streams)

    async def wait_until_taken_up(self, *, timeout_s: float) -> None:
        """Wait until a stream was completed after a take-up, but not longer than a time."""
        until_s = now_s() + timeout_s
        while not self.taken_up and now_s() < until_s:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def run(self) -> None:
        """Send streams and change engines and nodes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(_CALLERS):
                tasks.create_task(self._send())
            tasks.create_task(self._release())
            tasks.create_task(self._kill())

    def find_breaches(self) -> list[str]:
        """Return a line for each stream that was joined or is not whole."""
        return [
            f"stream {stream.number} of versions {sorted(stream.versions)}: {stream.events}"
            for stream in find_joined(self.streams, events=EVENTS)
        ]

    async def _send(self) -> None:
        while True:
            stream = ResumedStream(number=next(self._numbers))
            await self._try(stream)
            if not stream.events:
                continue
            self.streams.append(stream)
            for _ in range(_MAX_TAKE_UPS):
                if stream.is_served:
                    break
                await asyncio.sleep(_PAUSE_S)
                await self._try(stream, headers=stream.take_up_headers)

    async def _try(self, stream: ResumedStream, headers: Sequence[tuple[str, str]] = ()) -> None:
        address = self._random.choice(self._site.node_addresses)
        path = f"{RESUMABLE}{stream.number}"
        answer = await self._site.caller.call(
            address, path, tokens=(500, 8 * EVENTS), headers=headers
        )
        stream.answers.append(answer)
        if not answer.events:
            await asyncio.sleep(_PAUSE_S)

    async def _release(self) -> None:
        """Replace engine after engine; two versions or three serve side by side at most times."""
        for number in itertools.count(2):
            await asyncio.sleep(self._random.uniform(*_RELEASE_INTERVAL_S))
            engine = self._random.choice(self._site.engines)
            version = f"v{number // len(self._site.engines) + 1}"
            replaced = self._site.replace_by_version(
                engine, version, self._random.choice((0.2, 1.5))
            )
            await self._replace(engine, replaced)

    async def _kill(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(*_KILL_INTERVAL_S))
            await self._kill_all()
