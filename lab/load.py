"""Load generator for a site, and the measures of a load."""

import asyncio
import json
import random
import uuid
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from flamingoshelf.http_client import new_http_client
from lab.answers import expected_answer
from lab.checker import BookingAttempt
from lab.scenarios import Scenario, api_key_of

__all__ = ["LoadOptions", "LoadResult", "run_load"]

_WORDS = ["van", "caravan", "axle", "damp", "awning", "service", "stamp", "mileage", "seal", "oak"]
_SHARED_PREFIX_CHARS = 2048
_MAX_BOOKING_ATTEMPTS = 5
_BOOKING_RETRY_S = 0.5


@attrs.frozen(kw_only=True)
class LoadOptions:
    """Shape of a load.

    Parameters
    ----------
    rate_per_s : float
        Completion requests per second.
    bookings_per_s : float
        Calls to the plain service per second.
    duration_s : float
        Length of the load.
    seed : int
        Seed of arrivals and prompts.
    first_token_target_s, token_gap_target_s : float
        Latency targets, in seconds, that a good answer meets.
    """

    rate_per_s: float
    bookings_per_s: float
    duration_s: float
    seed: int
    first_token_target_s: float = 0.47
    token_gap_target_s: float = 0.053


@attrs.define(kw_only=True)
class _Outcome:
    workspace: str
    kind: str
    status: int
    reason: str = ""
    first_token_s: float = 0.0
    token_gap_s: float = 0.0
    tokens: int = 0
    correct: bool = False
    started_s: float = 0.0
    is_finished: bool = False
    attempts: list[BookingAttempt] = attrs.field(factory=list)

    @property
    def is_wrong(self) -> bool:
        """Whether the answer was completed with a wrong text."""
        return self.is_finished and not self.correct


@attrs.define(kw_only=True)
class LoadResult:
    """Outcomes of a load and the measures from them."""

    options: LoadOptions
    outcomes: list[_Outcome] = attrs.field(factory=list)

    def summary(self) -> dict[str, Any]:
        """Return the measures as a document."""
        completions = [o for o in self.outcomes if o.kind == "completion"]
        good = [o for o in completions if self._is_good(o)]
        by_workspace = Counter(o.workspace for o in completions)
        good_by_workspace = Counter(o.workspace for o in good)
        shares = {name: good_by_workspace[name] / by_workspace[name] for name in by_workspace}
        answered = [o for o in completions if o.status == 200]
        refused = Counter(o.reason for o in self.outcomes if o.reason)
        return {
            "completions": len(completions),
            "goodput_per_s": round(len(good) / self.options.duration_s, 2),
            "goodput_share": round(len(good) / max(1, len(completions)), 4),
            "worst_workspace": min(shares, key=lambda name: shares[name], default=""),
            "worst_workspace_goodput_share": round(min(shares.values(), default=0.0), 4),
            "refusals": dict(refused),
            "refused_within_rate": sum(refused[reason] for reason in ("rate_exceeded",)),
            "wrong_answers": sum(o.is_wrong for o in completions),
            "cut_answers": sum(o.status == 200 and not o.is_finished for o in completions),
            "first_token_p50_s": _quantile([o.first_token_s for o in answered], 0.5),
            "first_token_p95_s": _quantile([o.first_token_s for o in answered], 0.95),
            "token_gap_p95_s": _quantile([o.token_gap_s for o in answered], 0.95),
            "bookings": sum(o.kind == "booking" for o in self.outcomes),
            "bookings_made": sum(o.kind == "booking" and o.status == 201 for o in self.outcomes),
        }

    def timeline(self) -> list[dict[str, int]]:
        """Return how many completions were sent in each second, and how many were good."""
        completions = [o for o in self.outcomes if o.kind == "completion"]
        sent = Counter(int(o.started_s) for o in completions)
        good = Counter(int(o.started_s) for o in completions if self._is_good(o))
        return [{"second": s, "sent": sent[s], "good": good[s]} for s in sorted(sent)]

    def by_workspace(self) -> dict[str, dict[str, int]]:
        """Return how many completions of each workspace were sent, and how many were good."""
        completions = [o for o in self.outcomes if o.kind == "completion"]
        sent = Counter(o.workspace for o in completions)
        good = Counter(o.workspace for o in completions if self._is_good(o))
        return {name: {"sent": sent[name], "good": good[name]} for name in sorted(sent)}

    def _is_good(self, outcome: _Outcome) -> bool:
        return (
            outcome.correct
            and outcome.first_token_s <= self.options.first_token_target_s
            and outcome.token_gap_s <= self.options.token_gap_target_s
        )


async def run_load(
    *,
    scenario: Scenario,
    addresses: Sequence[str],
    options: LoadOptions,
    progress: Callable[[LoadResult], None] | None = None,
) -> LoadResult:
    """Send the load, spread randomly over the nodes at `addresses`, and return its result."""
    generator = _LoadGenerator(scenario, addresses, options)
    return await generator.run(progress)


class _LoadGenerator:
    def __init__(self, scenario: Scenario, addresses: Sequence[str], options: LoadOptions) -> None:
        self._scenario = scenario
        self._addresses = addresses
        self._options = options
        self._random = random.Random(options.seed)
        self._client = new_http_client()
        self._result = LoadResult(options=options)
        self._load_started_s = 0.0
        self._shared_prefixes = {
            workspace.name: self._text(_SHARED_PREFIX_CHARS) for workspace in scenario.workspaces
        }

    async def run(self, progress: Callable[[LoadResult], None] | None) -> LoadResult:
        self._load_started_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_at_rate(self._options.rate_per_s, self._complete, tasks))
            tasks.create_task(self._send_at_rate(self._options.bookings_per_s, self._book, tasks))
            progress_task = (
                asyncio.create_task(self._report_progress(progress)) if progress else None
            )
        if progress_task:
            progress_task.cancel()
        await self._client.connector.cleanup()
        return self._result

    async def _send_at_rate(
        self, rate_per_s: float, send: Callable[[], Any], tasks: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._options.duration_s
        next_s = loop.time()
        # The seed contains the name of the method: renaming `_complete` or `_book` changes the
        # arrivals.
        arrivals = random.Random(f"{self._options.seed}.{send.__name__}")
        while rate_per_s > 0:
            next_s += arrivals.expovariate(rate_per_s)
            if next_s >= end_s:
                return
            await asyncio.sleep(next_s - loop.time())
            tasks.create_task(send())

    async def _report_progress(self, progress: Callable[[LoadResult], None]) -> None:
        while True:
            await asyncio.sleep(1.0)
            progress(self._result)

    async def _complete(self) -> None:
        workspaces = self._scenario.workspaces
        weights = [workspace.share for workspace in workspaces]
        workspace = self._random.choices(workspaces, weights)[0].name
        prompt = self._prompt(workspace)
        max_tokens = self._random.randint(*self._scenario.max_tokens)
        document = {
            "model": "writer",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        outcome = _Outcome(workspace=workspace, kind="completion", status=0)
        self._result.outcomes.append(outcome)
        started_s = asyncio.get_running_loop().time()
        outcome.started_s = started_s - self._load_started_s
        try:
            response = await self._client.post(
                f"http://{self._random.choice(self._addresses)}/v1/completions",
                json=document,
                headers={"Authorization": f"Bearer {api_key_of(workspace)}"},
                timeouts=Timeouts(sock_read=60, request_timeout=120),
            )
            outcome.status = response.status_code
            if response.status_code == 200:
                await self._read_stream(response, outcome, started_s, prompt, max_tokens)
            else:
                outcome.reason = json.loads(await response.content())["reason"]
        except (AiosonicError, OSError, ValueError, TimeoutError) as error:
            outcome.reason = f"connection:{type(error).__name__}"

    async def _read_stream(
        self,
        response: aiosonic.HttpResponse,
        outcome: _Outcome,
        started_s: float,
        prompt: str,
        max_tokens: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        texts: list[str] = []
        first_s = last_s = started_s
        done = False
        async for line in response.iter_lines():
            if line == "data: [DONE]":
                done = True
            elif line.startswith("data: "):
                document = json.loads(line[6:])
                if "error" in document:
                    outcome.reason = document["error"]["reason"]
                    continue
                text = document["choices"][0]["text"]
                if text:
                    last_s = loop.time()
                    first_s = first_s if texts else last_s
                    texts.append(text)
        outcome.tokens = len(texts)
        outcome.first_token_s = first_s - started_s
        outcome.token_gap_s = (last_s - first_s) / max(1, len(texts) - 1)
        outcome.is_finished = done
        outcome.correct = done and "".join(texts) == expected_answer(prompt, max_tokens)

    async def _book(self) -> None:
        workspace = self._random.choice(self._scenario.workspaces).name
        name = uuid.UUID(int=self._random.getrandbits(128)).hex
        outcome = _Outcome(workspace=workspace, kind="booking", status=0)
        self._result.outcomes.append(outcome)
        for _ in range(_MAX_BOOKING_ATTEMPTS):
            await self._send_booking(workspace, name, outcome)
            if outcome.status in (201, 422):
                break
            await asyncio.sleep(_BOOKING_RETRY_S)
        outcome.correct = outcome.status == 201

    async def _send_booking(self, workspace: str, name: str, outcome: _Outcome) -> None:
        """Send a booking to a random node, always with the same idempotency key."""
        headers = {
            "Authorization": f"Bearer {api_key_of(workspace)}",
            "Idempotency-Key": f'"{name}"',
        }
        address = self._random.choice(self._addresses)
        outcome.status, outcome.reason = 0, ""
        not_run = False
        try:
            response = await self._client.post(
                f"http://{address}{self._scenario.route_prefix}/{name}",
                json={"van": name},
                headers=headers,
                timeouts=Timeouts(sock_read=30, request_timeout=30),
            )
            content = await response.content()
            outcome.status = response.status_code
            if response.status_code >= 400:
                problem = json.loads(content)
                outcome.reason = problem["reason"]
                not_run = problem.get("not_run", False)
        except (AiosonicError, OSError, ValueError, TimeoutError) as error:
            outcome.reason = f"connection:{type(error).__name__}"
        outcome.attempts.append(BookingAttempt(name=name, status=outcome.status, not_run=not_run))

    def _prompt(self, workspace: str) -> str:
        length = self._random.randint(*self._scenario.prompt_chars)
        head = f"[workspace={workspace}] {self._shared_prefixes[workspace]}"
        return head + self._text(max(64, length - len(head)))

    def _text(self, length: int) -> str:
        words = self._random.choices(_WORDS, k=length // 4)
        return " ".join(words)[:length]


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 4)
