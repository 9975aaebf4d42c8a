"""In-process engines for tests under a simulated clock."""

import asyncio
import json
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

import attrs
from starlette.responses import Response

from flamingoshelf.backends import (
    DecodedToken,
    DecodeEnd,
    EngineLoad,
    PrefillResult,
    PrefillTask,
)
from flamingoshelf.exceptions import EngineError
from lab.engine import Engine, EngineOptions
from lab.records import Recorder

__all__ = ["LocalEngines"]

_LATENCY_S = 0.0005
_CALL_TIMEOUT_S = 2.0


class _LocalEngine(Engine):
    """Engine that pulls results directly from other engines of the same process."""

    def __init__(self, options: EngineOptions, engines: "LocalEngines") -> None:
        super().__init__(options, Recorder(None))
        self._engines = engines

    async def _pull(self, source: str, request_id: str) -> Any:
        if source in self._engines.dead:
            return None
        result = await self._engines[source].fetch({"request_id": request_id})
        return None if isinstance(result, Response) else result


class LocalEngines:
    """Engines by address, with faults; implements `flamingoshelf.backends.EngineClient`.

    Attributes
    ----------
    dead : set of str
        Addresses of engines whose process has ended.
    unreachable : set of str
        Addresses at which every call times out.
    lost_cancels : int
        Number of coming cancel calls that are lost.
    on_step : callable or None
        Called as ``on_step(step, address)`` before each call and after each token.
    """

    def __init__(self) -> None:
        self._engines: dict[str, Engine] = {}
        self.dead: set[str] = set()
        self.unreachable: set[str] = set()
        self.lost_cancels = 0
        self.on_step: Callable[[str, str], Awaitable[None]] | None = None
        self._cuts: dict[str, asyncio.Event] = {}

    def __getitem__(self, address: str) -> Engine:
        return self._engines[address]

    def add(self, address: str, options: EngineOptions) -> None:
        """Add an engine."""
        self._engines[address] = _LocalEngine(options, self)

    def kill(self, address: str) -> None:
        """Simulate the crash of an engine's process; its streams break."""
        self.dead.add(address)
        self.break_streams(address)

    def break_streams(self, address: str) -> None:
        """Break all streams of an engine; the engine itself keeps running."""
        self._cuts.pop(address, asyncio.Event()).set()

    def held_requests(self) -> dict[str, list[str]]:
        """Return the ids of the requests that each running engine holds."""
        return {
            address: engine._current_load()["held"]
            for address, engine in self._engines.items()
            if address not in self.dead
        }

    async def prefill(self, address: str, task: PrefillTask, *, timeout_s: float) -> PrefillResult:
        """Process a prompt."""
        answer = await self._call(address, "prefill", attrs.asdict(task), timeout_s)
        return PrefillResult(**answer)

    async def import_kv(
        self,
        address: str,
        *,
        request_id: str,
        source: str,
        prompt_tokens: int,
        max_tokens: int,
        timeout_s: float,
    ) -> None:
        """Make a decode engine pull a result from `source`."""
        order = {
            "request_id": request_id,
            "source": source,
            "tokens": prompt_tokens,
            "max_tokens": max_tokens,
        }
        await self._call(address, "import_kv", order, timeout_s)

    async def decode(
        self, address: str, *, request_id: str, from_index: int, stall_timeout_s: float
    ) -> AsyncGenerator[DecodedToken | DecodeEnd, None]:
        """Stream the tokens of an imported request and its end."""
        await self._check_reachable(address, "decode", stall_timeout_s)
        engine = self._engines[address]
        body = json.dumps({"request_id": request_id, "from_index": from_index}).encode()
        response = await engine.decode(_RequestBody(body))  # type: ignore[arg-type]
        if response.status_code != 200:
            raise EngineError("refused", step="decode", peer=address, status=response.status_code)
        events = response.body_iterator  # type: ignore[attr-defined]
        cut = self._cuts.setdefault(address, asyncio.Event())
        while True:
            event = await self._next_event(address, events, cut, stall_timeout_s)
            if event is None:
                return
            if event.pop("done", False):
                await anext(events, None)
                yield DecodeEnd(**event)
            else:
                yield DecodedToken(**event)
                await self._notify_step("decoding", address)

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request and free its memory at an engine."""
        if address in self.dead:
            return
        if self.lost_cancels:
            self.lost_cancels -= 1
            raise EngineError("timeout", step="cancel", peer=address)
        await self._call(address, "cancel", {"request_id": request_id}, _CALL_TIMEOUT_S)

    async def load(self, address: str) -> EngineLoad:
        """Return an engine's load."""
        answer = await self._call(address, "load", {}, _CALL_TIMEOUT_S)
        return EngineLoad(
            held=tuple(answer["held"]), used_pieces=answer["used_pieces"], queued=answer["queued"]
        )

    async def _call(self, address: str, step: str, order: dict[str, Any], timeout_s: float) -> Any:
        await self._check_reachable(address, step, timeout_s)
        name = "transfer" if step == "import_kv" else step
        try:
            async with asyncio.timeout(timeout_s):
                answer = await getattr(self._engines[address], step)(order)
        except TimeoutError as error:
            raise EngineError("timeout", step=name, peer=address) from error
        if address in self.dead:
            raise EngineError("reset", step=name, peer=address, crashed=True)
        if isinstance(answer, Response):
            raise EngineError("refused", step=name, peer=address, status=answer.status_code)
        return answer

    async def _check_reachable(self, address: str, step: str, timeout_s: float) -> None:
        await self._notify_step(step, address)
        await asyncio.sleep(_LATENCY_S)
        name = "transfer" if step == "import_kv" else step
        if address in self.unreachable:
            await asyncio.sleep(timeout_s)
            raise EngineError("timeout", step=name, peer=address)
        if address in self.dead:
            error = EngineError("refused", step=name, peer=address, crashed=True)
            raise error from ConnectionRefusedError()

    async def _next_event(
        self, address: str, events: Any, cut: asyncio.Event, stall_timeout_s: float
    ) -> Any:
        reading = asyncio.ensure_future(anext(events, None))
        cutting = asyncio.ensure_future(cut.wait())
        done, _ = await asyncio.wait(
            (reading, cutting), timeout=stall_timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        cutting.cancel()
        if cutting in done:
            reading.cancel()
            raise EngineError("reset", step="decode", peer=address, crashed=True)
        if reading not in done:
            reading.cancel()
            raise EngineError("stream stalled", step="decode", peer=address)
        try:
            line = reading.result()
        except ConnectionAbortedError as error:
            raise EngineError("reset", step="decode", peer=address, crashed=True) from error
        return None if line is None else json.loads(line[len(b"data: ") :])

    async def _notify_step(self, step: str, address: str) -> None:
        if self.on_step is not None:
            await self.on_step(step, address)


@attrs.frozen
class _RequestBody:
    _content: bytes

    async def body(self) -> bytes:
        return self._content
