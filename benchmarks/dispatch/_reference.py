"""Reference for goodput: one queue with full knowledge and no delay between processes."""

import heapq
import random

from lab.engine import EngineOptions
from lab.scenarios import Scenario

__all__ = ["fair_level", "reference_share"]

_TARGET_S = 0.47
_STEP_S = 0.005
_SEEDS = 5
_MEAN_ANSWER = (0.5, 1.0)
_CHARS_PER_TOKEN = 4
_SHARED_BLOCK_TOKENS = 512


def reference_share(scenario: Scenario, *, load: float, duration_s: float) -> float:
    """Return the share of requests that the reference serves within the first-token target.

    It refuses what can't meet the target, serves the shortest first, and knows all lengths.
    """
    shares = [_simulate(scenario, load, duration_s, seed) for seed in range(_SEEDS)]
    return sum(shares) / len(shares)


def fair_level(sent: dict[str, int], capacity: float) -> float:
    """Return the most that one workspace gets when `capacity` is shared max-min fairly.

    Examples
    --------
    >>> fair_level({"a": 10, "b": 100}, 60)
    50.0
    """
    left = capacity
    names = sorted(sent, key=lambda name: sent[name])
    for position, name in enumerate(names):
        level = left / (len(names) - position)
        if sent[name] >= level:
            return level
        left -= sent[name]
    return float(max(sent.values(), default=0))


def _simulate(scenario: Scenario, load: float, duration_s: float, seed: int) -> float:
    source = random.Random(seed)
    options = EngineOptions(role="decode")
    running: list[list[float]] = [[] for _ in range(scenario.decode_count)]
    waiting: list[tuple[float, float]] = []
    starting: list[tuple[float, int, float]] = []
    next_s = source.expovariate(scenario.capacity_per_s * load)
    sent = good = 0
    now = 0.0
    while now < duration_s:
        while next_s <= now:
            sent += 1
            tokens, prompt = _draw(source, scenario)
            deadline = next_s + _TARGET_S - _ready_s(prompt, options)
            heapq.heappush(waiting, (tokens, deadline))
            next_s += source.expovariate(scenario.capacity_per_s * load)
        waiting = [entry for entry in waiting if entry[1] >= now]
        heapq.heapify(waiting)
        good += _start(waiting, running, starting, options, now)
        _advance(running, starting, options, now)
        now += _STEP_S
    return good / max(1, sent)


def _draw(source: random.Random, scenario: Scenario) -> tuple[float, float]:
    answer = source.randint(*scenario.max_tokens) * source.uniform(*_MEAN_ANSWER)
    return answer, source.randint(*scenario.prompt_chars) / _CHARS_PER_TOKEN


def _ready_s(prompt: float, options: EngineOptions) -> float:
    prefill_s = max(0.0, prompt - _SHARED_BLOCK_TOKENS) / options.prefill_tokens_s
    transfer_s = prompt * options.kv_bytes_per_token / options.link_bytes_s
    return prefill_s + transfer_s + options.step_s


def _start(
    waiting: list[tuple[float, float]],
    running: list[list[float]],
    starting: list[tuple[float, int, float]],
    options: EngineOptions,
    now: float,
) -> int:
    count = 0
    reserved = [
        sum(engine == number for _, engine, _ in starting) for number in range(len(running))
    ]
    while waiting:
        engine = min(range(len(running)), key=lambda n: len(running[n]) + reserved[n])
        if len(running[engine]) + reserved[engine] >= options.places:
            break
        tokens, _ = heapq.heappop(waiting)
        heapq.heappush(starting, (now + 0.1, engine, tokens))
        reserved[engine] += 1
        count += 1
    return count


def _advance(
    running: list[list[float]],
    starting: list[tuple[float, int, float]],
    options: EngineOptions,
    now: float,
) -> None:
    while starting and starting[0][0] <= now:
        _, engine, tokens = heapq.heappop(starting)
        running[engine].append(tokens)
    for number, requests in enumerate(running):
        step_s = options.step_s + options.step_per_request_s * len(requests)
        done = _STEP_S / step_s
        running[number] = [left - done for left in requests if left > done]
