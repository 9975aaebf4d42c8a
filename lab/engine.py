"""Stand-in for a model engine: prefill or decode.

A prefill engine processes one prompt at a time and keeps each result for less than a second. A
decode engine pulls a result over a link of limited rate, holds up to `places` requests, and
generates one token per step for each of them. Memory stays reserved for a request until its answer
is read to the end or the request is cancelled, even if the reader disconnects.
"""

import asyncio
import json
import math
import os
from collections import Counter, OrderedDict, deque
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiosonic.exceptions import AiosonicError
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from flamingoshelf.http_client import new_http_client
from lab.answers import answer_length, count_tokens, digest_of, token_text
from lab.records import Recorder, workspace_of
from lab.server import KeyLeakCounter, handler

__all__ = ["EngineOptions", "build_engine_app"]

_BLOCK_CHARS = 1024
_MAX_CACHED_BLOCKS = 4096
_POISON_MARKER = "[poison]"
_RESULT_LIFETIME_S = 0.8
_CRASH_STATUS = 3
_MAX_SCHEDULE_LAG_S = 0.1


@attrs.define(kw_only=True)
class EngineOptions:
    """Behaviour of an engine; ``POST /control`` changes it at run time.

    Parameters
    ----------
    role : {"prefill", "decode"}
        Stage that the engine runs.
    places, kv_pieces, piece_tokens : int
        Memory of a decode engine: maximum of requests, KV cache pieces, tokens per piece.
    prefill_tokens_s, link_bytes_s : float
        Tokens that a prefill engine processes per second, and bytes per second of its link.
    kv_bytes_per_token : int
        Size of the KV cache of one token.
    step_s, step_per_request_s : float
        Fixed duration of a decode step, and the part added by each running request.
    load_lag_s : float
        Least age of the reported load, once a sample is that old.
    stalled, checks_fencing : bool
        Whether the engine makes no progress; whether it refuses orders with old fencing numbers.
    load_s : float
        Seconds that it takes to carry out an order to change role or versions.
    """

    role: str
    places: int = 20
    kv_pieces: int = 64
    piece_tokens: int = 4096
    prefill_tokens_s: float = 16000.0
    link_bytes_s: float = 2.5e9
    kv_bytes_per_token: int = 163_840
    step_s: float = 0.015
    step_per_request_s: float = 0.0008
    load_lag_s: float = 0.5
    stalled: bool = False
    checks_fencing: bool = False
    load_s: float = 0.5


@attrs.define(kw_only=True)
class _PrefillResult:
    digest: str
    prompt_tokens: int
    generated: int
    workspace: str
    poison: bool
    ready_s: float
    kv_bytes: int


@attrs.define(kw_only=True)
class _DecodeJob:
    digest: str
    workspace: str
    pieces: int
    length: int
    first_index: int
    poison: bool
    tokens: list[str] = attrs.field(factory=list)
    started: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_complete(self) -> bool:
        return self.first_index + len(self.tokens) >= self.length


class Engine:
    """One prefill or decode engine."""

    def __init__(self, options: EngineOptions, recorder: Recorder) -> None:
        self.options = options
        self._recorder = recorder
        self.records: Counter[str] = Counter()
        self.prompts: dict[str, str] = {}
        self.orders: list[dict[str, Any]] = []
        self._versions: dict[str, str] = {}
        self._is_loading = False
        self._results: dict[str, _PrefillResult] = {}
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._running: dict[str, _DecodeJob] = {}
        self._memory_freed = asyncio.Condition()
        self._prefill_lock = asyncio.Lock()
        self._link_lock = asyncio.Lock()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._past_loads: deque[tuple[float, dict[str, Any]]] = deque()
        self._client = new_http_client()
        self._step_task: asyncio.Task[None] | None = None

    async def prefill(self, task: dict[str, Any]) -> Any:
        """Process a prompt."""
        request_id = task["request_id"]
        generated = len(task.get("generated", ()))
        async with self._prefill_lock:
            if request_id in self._cancelled:
                return Response("cancelled", 409)
            cached = self._cached_tokens(task["prompt"])
            prompt_tokens = count_tokens(task["prompt"])
            workspace = workspace_of(task["prompt"])
            self._recorder.write("prefill", request_id, workspace=workspace, amount=prompt_tokens)
            work = max(1, prompt_tokens + generated - cached)
            await self._simulate_work(work / self.options.prefill_tokens_s)
        self._cache_prompt(task["prompt"])
        self.records["prefills"] += 1
        kv_bytes = (prompt_tokens + generated) * self.options.kv_bytes_per_token
        if request_id in self._cancelled:
            self.records["wasted_cancelled"] += 1
            return Response("cancelled", 409)
        self._results[request_id] = _PrefillResult(
            digest=digest_of(task["prompt"]),
            prompt_tokens=prompt_tokens,
            generated=generated,
            workspace=workspace,
            poison=_POISON_MARKER in task["prompt"],
            ready_s=_now_s(),
            kv_bytes=kv_bytes,
        )
        asyncio.get_running_loop().call_later(_RESULT_LIFETIME_S, self._expire, request_id)
        return {
            "request_id": request_id,
            "prompt_tokens": prompt_tokens,
            "cached_tokens": cached,
            "kv_bytes": kv_bytes,
            "lifetime_s": _RESULT_LIFETIME_S,
        }

    async def fetch(self, order: dict[str, Any]) -> Any:
        """Return a result to a decode engine after the transfer time of the link."""
        result = self._results.get(order["request_id"])
        if result is None:
            return Response("expired", 410)
        async with self._link_lock:
            if self._results.pop(order["request_id"], None) is None:
                return Response("expired", 410)
            await self._simulate_work(result.kv_bytes / self.options.link_bytes_s)
        self.records["transfers"] += 1
        return {
            "digest": result.digest,
            "prompt_tokens": result.prompt_tokens,
            "generated": result.generated,
            "workspace": result.workspace,
            "poison": result.poison,
        }

    async def import_kv(self, order: dict[str, Any]) -> Any:
        """Reserve memory, waiting for it if necessary, and pull a result from a prefill engine."""
        request_id = order["request_id"]
        tokens = order.get("tokens", 1) + order["max_tokens"]
        pieces = math.ceil(tokens / self.options.piece_tokens)
        try:
            async with asyncio.timeout(_RESULT_LIFETIME_S), self._memory_freed:
                await self._memory_freed.wait_for(lambda: self._fits(pieces))
                placeholder = _DecodeJob(
                    digest="", workspace="", pieces=pieces, length=0, first_index=0, poison=False
                )
                self._running[request_id] = placeholder
        except TimeoutError:
            return Response("no memory", 503)
        result = await self._pull(order["source"], request_id)
        if result is None or request_id in self._cancelled:
            await self._free(request_id)
            return Response("no result", 410)
        self._recorder.write("import", request_id, workspace=result["workspace"])
        self._running[request_id] = _DecodeJob(
            digest=result["digest"],
            workspace=result["workspace"],
            pieces=pieces,
            length=answer_length(result["digest"], order["max_tokens"]),
            first_index=result["generated"],
            poison=result["poison"],
        )
        return {"request_id": request_id}

    async def decode(self, request: Request) -> Response:
        """Stream the tokens of an imported request, starting at ``from_index``."""
        order = json.loads(await request.body())
        running = self._running.get(order["request_id"])
        if running is None or running.length == 0:
            return Response("not held", 404)
        if running.poison:
            asyncio.get_running_loop().call_later(0.02, _crash)
        running.started = True
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._step())
        index = order.get("from_index", running.first_index)
        return StreamingResponse(
            self._events(order["request_id"], running, index), media_type="text/event-stream"
        )

    async def cancel(self, order: dict[str, Any]) -> Any:
        """Cancel a request and free its result and its memory."""
        request_id = order["request_id"]
        self._cancelled[request_id] = None
        while len(self._cancelled) > 10_000:
            self._cancelled.popitem(last=False)
        if self._results.pop(request_id, None) is not None:
            self.records["wasted_cancelled"] += 1
        running = self._running.get(request_id)
        await self._free(request_id)
        if running is not None:
            self.records["cancelled"] += 1
            running.changed.set()
        return {"request_id": request_id}

    async def load(self, _: dict[str, Any]) -> Any:
        """Sample the load; return the newest sample `load_lag_s` old or older, else the oldest."""
        now = _now_s()
        self._past_loads.append((now, self._current_load()))
        while len(self._past_loads) > 1 and self._past_loads[1][0] <= now - self.options.load_lag_s:
            self._past_loads.popleft()
        return self._past_loads[0][1]

    async def serve_orders(self, request: Request) -> Response:
        """Return role and versions; POST accepts an order, which takes effect after `load_s`."""
        if request.method == "POST":
            order = json.loads(await request.body())
            newest = max((known["fencing_number"] for known in self.orders), default=0)
            if self.options.checks_fencing and order["fencing_number"] < newest:
                self.records["orders_refused"] += 1
                return JSONResponse("old fencing number", 409)
            self.orders.append(order)
            asyncio.get_running_loop().call_later(self.options.load_s, self._finish_order, order)
            self._is_loading = True
        state = {
            "role": self.options.role,
            "versions": self._versions,
            "is_loading": self._is_loading,
        }
        return JSONResponse(state)

    def _finish_order(self, order: dict[str, Any]) -> None:
        self.options.role = order["role"]
        self._versions = order["versions"]
        self._is_loading = False

    async def control(self, order: dict[str, Any]) -> Any:
        """Change options and return the records."""
        for name, value in order.items():
            setattr(self.options, name, value)
        return {
            "role": self.options.role,
            "records": dict(self.records),
            "held": sorted(self._running),
            "keys_seen": KeyLeakCounter.leak_count,
            "orders": self.orders,
        }

    def _current_load(self) -> dict[str, Any]:
        return {
            "held": sorted([*self._running, *self._results]),
            "used_pieces": sum(entry.pieces for entry in self._running.values()),
            "queued": 0,
        }

    def _fits(self, pieces: int) -> bool:
        used = sum(entry.pieces for entry in self._running.values())
        has_place = len(self._running) < self.options.places
        return has_place and used + pieces <= self.options.kv_pieces

    async def _pull(self, source: str, request_id: str) -> Any:
        try:
            response = await self._client.post(
                f"http://{source}/fetch", json={"request_id": request_id}
            )
            return json.loads(await response.content()) if response.status_code == 200 else None
        except (AiosonicError, OSError):
            return None

    async def _free(self, request_id: str) -> None:
        async with self._memory_freed:
            self._running.pop(request_id, None)
            self._memory_freed.notify_all()

    async def _simulate_work(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while self.options.stalled:
            await asyncio.sleep(0.05)

    async def _step(self) -> None:
        """Generate one token per step for every running request.

        Steps follow a fixed schedule, so that a busy machine does not make the engine slower.
        """
        due_s = _now_s()
        while active := [e for e in self._running.values() if e.started and not e.is_complete]:
            options = self.options
            due_s += options.step_s + options.step_per_request_s * len(active)
            due_s = max(due_s, _now_s() - _MAX_SCHEDULE_LAG_S)
            await self._simulate_work(due_s - _now_s())
            for name, count in Counter(entry.workspace for entry in active).items():
                self._recorder.write("tokens", "", workspace=name, amount=count)
            for entry in active:
                index = entry.first_index + len(entry.tokens)
                entry.tokens.append(token_text(entry.digest, index))
                entry.changed.set()

    async def _events(self, request_id: str, entry: _DecodeJob, index: int) -> AsyncIterator[bytes]:
        while index < entry.length:
            position = index - entry.first_index
            if position < len(entry.tokens):
                event = {"request_id": request_id, "index": index, "text": entry.tokens[position]}
                yield _encode(event)
                index += 1
                continue
            if self._running.get(request_id) is not entry:
                raise ConnectionAbortedError("cancelled")
            entry.changed.clear()
            await entry.changed.wait()
        end = {"done": True, "finish_reason": "stop", "completion_tokens": entry.length}
        yield _encode({"request_id": request_id, **end})
        await self._free(request_id)
        self.records["completed"] += 1
        self.records["tokens"] += len(entry.tokens)

    def _expire(self, request_id: str) -> None:
        if self._results.pop(request_id, None) is not None:
            self.records["wasted_expired"] += 1

    def _cached_tokens(self, prompt: str) -> int:
        count = 0
        for key in _block_keys(prompt):
            if key not in self._cache:
                break
            self._cache.move_to_end(key)
            count += 1
        return count * count_tokens("x" * _BLOCK_CHARS)

    def _cache_prompt(self, prompt: str) -> None:
        for key in _block_keys(prompt):
            self._cache[key] = None
        while len(self._cache) > _MAX_CACHED_BLOCKS:
            self._cache.popitem(last=False)


def _block_keys(prompt: str) -> list[str]:
    count = len(prompt) // _BLOCK_CHARS
    return [digest_of(prompt[: (block + 1) * _BLOCK_CHARS]) for block in range(count)]


def _encode(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _crash() -> None:
    os._exit(_CRASH_STATUS)


def build_engine_app(options: EngineOptions, recorder: Recorder) -> Starlette:
    """Return an engine as an ASGI application."""
    engine = Engine(options, recorder)
    return Starlette(
        routes=[
            Route("/prefill", handler(engine.prefill), methods=["POST"]),
            Route("/fetch", handler(engine.fetch), methods=["POST"]),
            Route("/import", handler(engine.import_kv), methods=["POST"]),
            Route("/decode", engine.decode, methods=["POST"]),
            Route("/cancel", handler(engine.cancel), methods=["POST"]),
            Route("/load", handler(engine.load), methods=["POST"]),
            Route("/orders", engine.serve_orders, methods=["GET", "POST"]),
            Route("/control", handler(engine.control), methods=["GET", "POST"]),
        ],
        middleware=[Middleware(KeyLeakCounter)],
    )
