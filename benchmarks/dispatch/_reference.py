"""Reference for goodput: one queue with full knowledge and no delay between processes."""

import heapq
import random

from lab.engine import EngineOptions
from lab.scenarios import Scenario

__all__ = ["fair_level", "reference_share"]

_FIRST_TOKEN_TARGET_S = 0.47
_TIME_STEP_S = 0.005
_SEED_COUNT = 5
_ANSWER_FRACTION_RANGE = (0.5, 1.0)
_CHARS_PER_TOKEN = 4
_SHARED_BLOCK_TOKENS = 512


def reference_share(scenario: Scenario, *, load: float, duration_s: float) -> float:
    """Return the fraction of requests that the reference serves within the first-token target.

    The reference knows the lengths of all answers in advance. It drops requests that can't meet the
    target any more and serves the one with the shortest answer first.
    """
    shares = [_simulate(scenario, load, duration_s, seed) for seed in range(_SEED_COUNT)]
    return sum(shares) / len(shares)


def fair_level(sent: dict[str, int], capacity: float) -> float:
    """Return the largest allocation of a workspace when `capacity` is shared max-min fairly.

    Examples
    --------
    >>> fair_level({"a": 10, "b": 100}, 60)
    50.0
    """
    remaining = capacity
    names = sorted(sent, key=lambda name: sent[name])
    for position, name in enumerate(names):
        level = remaining / (len(names) - position)
        if sent[name] >= level:
            return level
        remaining -= sent[name]
    return float(max(sent.values(), default=0))


def _simulate(scenario: Scenario, load: float, duration_s: float, seed: int) -> float:
    """Return the fraction of requests that one simulated run serves in time."""
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
            tokens, prompt = _draw_request(source, scenario)
            deadline = next_s + _FIRST_TOKEN_TARGET_S - _time_to_first_token_s(prompt, options)
            heapq.heappush(waiting, (tokens, deadline))
            next_s += source.expovariate(scenario.capacity_per_s * load)
        waiting = [entry for entry in waiting if entry[1] >= now]
        heapq.heapify(waiting)
        good += _start_waiting(waiting, running, starting, options, now)
        _advance(running, starting, options, now)
        now += _TIME_STEP_S
    return good / max(1, sent)


def _draw_request(source: random.Random, scenario: Scenario) -> tuple[float, float]:
    """Return the lengths of an answer and of its prompt, in tokens."""
    answer = source.randint(*scenario.max_tokens) * source.uniform(*_ANSWER_FRACTION_RANGE)
    return answer, source.randint(*scenario.prompt_chars) / _CHARS_PER_TOKEN


def _time_to_first_token_s(prompt: float, options: EngineOptions) -> float:
    prefill_s = max(0.0, prompt - _SHARED_BLOCK_TOKENS) / options.prefill_tokens_s
    transfer_s = prompt * options.kv_bytes_per_token / options.link_bytes_s
    return prefill_s + transfer_s + options.step_s


def _start_waiting(
    waiting: list[tuple[float, float]],
    running: list[list[float]],
    starting: list[tuple[float, int, float]],
    options: EngineOptions,
    now: float,
) -> int:
    """Start waiting requests at the least loaded engines while places are free; return how many."""
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
    """Move started requests to their engines and advance all answers by one time step."""
    while starting and starting[0][0] <= now:
        _, engine, tokens = heapq.heappop(starting)
        running[engine].append(tokens)
    for number, requests in enumerate(running):
        step_s = options.step_s + options.step_per_request_s * len(requests)
        done = _TIME_STEP_S / step_s
        running[number] = [remaining - done for remaining in requests if remaining > done]
