"""The dispatcher before engines of kinds that it has never seen, in virtual time."""

import random

import attrs
import pytest

from flamingoshelf.placement._role_plan import RequestCost, best_prefill_count, throughput
from flamingoshelf.placement.tests.simulation import PROFILE, Call, EngineKind, Simulation

ENGINES = 9
SECONDS = 30


@attrs.frozen(kw_only=True)
class Workload:
    """Engines of one kind with the requests that they get."""

    kind: EngineKind
    prompt_tokens: float
    answer_tokens: float

    def cost(self):
        """Return the true cost of a mean request."""
        profile = self.kind.profile
        held = self.prompt_tokens + self.answer_tokens / 2
        runs = max(1, min(profile.slots, int(profile.kv_tokens / held)))
        run_s = self.answer_tokens * self.kind.s_per_token(runs)
        return RequestCost(
            prefill_s=self.kind.prefill_s(self.prompt_tokens),
            decode_s=max(run_s * held / profile.kv_tokens, run_s / profile.slots),
        )


def draw_workload(seed):
    """Return a random workload whose requests can be served within the usual deadlines."""
    rng = random.Random(seed)

    def log_uniform(low, high):
        return low * (high / low) ** rng.random()

    step_s = log_uniform(0.0003, 0.03)
    answer_tokens = min(log_uniform(60, 4_000), 3.0 / step_s)
    prefill_tokens_s = log_uniform(5_000, 100_000)
    prompt_tokens = min(log_uniform(50, 20_000), 0.25 * prefill_tokens_s)
    slots = round(log_uniform(4, 256))
    runs = log_uniform(2, 200)  # that fit into the memory
    kind = EngineKind(
        prefill_overhead_s=log_uniform(0.002, 0.05),
        prefill_tokens_s=prefill_tokens_s,
        step_s=step_s,
        step_s_per_run=step_s * rng.uniform(0, 0.5) / slots,
        tokens_per_event=min(round(log_uniform(1, 100)), max(1, round(answer_tokens / 8))),
        profile=attrs.evolve(
            PROFILE,
            slots=slots,
            # Room for requests of several times the mean size.
            kv_tokens=round(max(runs, 8) * (prompt_tokens + answer_tokens)),
        ),
    )
    return Workload(kind=kind, prompt_tokens=prompt_tokens, answer_tokens=answer_tokens)


def make_calls(workload, rate, *, seconds, seed):
    rng = random.Random(seed)
    calls: list[Call] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate)) < seconds:
        actual = max(1, round(workload.answer_tokens * rng.lognormvariate(-0.08, 0.4)))
        calls.append(
            Call(
                name=f"n{len(calls)}",
                at_s=at_s,
                prompt=max(1, round(workload.prompt_tokens * rng.lognormvariate(-0.08, 0.4))),
                expected=max(1, round(actual * rng.lognormvariate(0, 0.4))),
                actual=actual,
            )
        )
    return calls


@pytest.mark.parametrize("seed", range(12))
def test_engines_of_any_kind_serve_most_of_what_they_can(seed):
    """At seven tenths of the capacity, with the split of roles that suits the workload."""
    workload = draw_workload(seed)
    cost = workload.cost()
    prefills = best_prefill_count(ENGINES, cost)
    rate = min(0.7 * throughput(prefills, ENGINES - prefills, cost), 60.0)
    calls = make_calls(workload, rate, seconds=SECONDS, seed=seed)
    sim = Simulation(
        calls, prefills=[1] * prefills, decodes=[1] * (ENGINES - prefills), kind=workload.kind
    ).run(SECONDS + 20)
    served = sum(call.is_served for call in calls)
    assert served >= 0.85 * len(calls)
    model = sim.dispatcher.model
    assert model.state.answers.count >= 20
    assert model.prefill_s(round(workload.prompt_tokens)) == pytest.approx(
        workload.kind.prefill_s(workload.prompt_tokens), rel=0.2, abs=0.012
    )


@pytest.mark.parametrize("seed", range(12))
def test_nothing_is_refused_while_engines_of_any_kind_are_idle(seed):
    """One request at a time, the first one before anything is measured."""
    workload = draw_workload(seed)
    calls = make_calls(workload, 0.5, seconds=SECONDS, seed=seed)[:10]
    for number, call in enumerate(calls):
        call.at_s = 6.0 * number
    Simulation(calls, prefills=[1, 1], decodes=[1, 1], kind=workload.kind).run(80)
    assert [call.name for call in calls if not call.is_served] == []


@pytest.mark.parametrize("seed", range(12))
def test_speed_of_any_engine_is_known_after_twenty_requests(seed):
    workload = draw_workload(seed)
    cost = workload.cost()
    rate = min(0.3 * throughput(4, 5, cost), 20.0)
    calls = make_calls(workload, rate, seconds=10_000, seed=seed)[:40]
    sim = Simulation(calls, prefills=[1] * 4, decodes=[1] * 5, kind=workload.kind)
    sim.run(60 + calls[-1].at_s)
    runs = 1
    true_s = workload.kind.s_per_token(runs)
    assert sim.dispatcher.model.s_per_token(runs) == pytest.approx(
        true_s, rel=0.2 + workload.kind.step_s_per_run * workload.kind.profile.slots / true_s
    )
