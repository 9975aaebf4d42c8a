"""Engines that fall silent for a second or two, with their connections open, and go on."""

import pytest

from flamingoshelf.placement.tests.silent_engines import (
    SILENCE_NOTICE_S,
    SilentEnginesSimulation,
    outcomes,
)
from flamingoshelf.placement.tests.simulation import make_calls

SILENT_AT_S = 8.0
BACK_IN_USE_S = 0.5  # after an engine has answered again
NOTICED_S = SILENCE_NOTICE_S + 0.05  # after an engine that has runs falls silent


def play(engines, length_s, *, rate, prefills, decodes, seed=1):
    """Let engines be silent under a load of `rate` calls per second."""
    calls = make_calls(rate, seconds=20, seed=seed)
    silences = dict.fromkeys(engines, (SILENT_AT_S, length_s))
    simulation = SilentEnginesSimulation(
        calls, prefills=[1] * prefills, decodes=[1] * decodes, silences=silences, seed=seed
    )
    return simulation.run(45)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("engine", ["p0", "d0"])
@pytest.mark.parametrize(
    ("rate", "length_s"),
    [(0.7, 0.5), (0.7, 1.0), (0.7, 1.3), (0.7, 2.0), (1.5, 0.5), (1.5, 1.0), (1.5, 1.3)],
)
def test_silence_of_the_only_engine_of_a_role_refuses_nobody(engine, rate, length_s, seed):
    """Guards against requests that wait in vain for engines other than the one that failed them."""
    simulation = play([engine], length_s, rate=rate, prefills=1, decodes=1, seed=seed)
    found = outcomes(simulation.calls)
    assert (found["refused"], found["unserved"]) == (0, 0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("length_s", [1.0, 1.3, 2.0])
@pytest.mark.parametrize("engine", ["p0", "d0"])
@pytest.mark.parametrize("rate", [4, 12])
def test_engine_is_in_full_use_soon_after_its_silence(rate, engine, length_s, seed):
    """Guards against an engine that is used last for seconds, as each of its runs had stalled."""
    calls = make_calls(rate, seconds=20, seed=seed)
    simulation = SilentEnginesSimulation(
        calls,
        prefills=[1] * 3,
        decodes=[1] * 6,
        silences={engine: (SILENT_AT_S, length_s)},
        seed=seed,
    )
    simulation.run(SILENT_AT_S + length_s + BACK_IN_USE_S)
    engines = simulation.dispatcher.engines
    assert engines.is_usable(engine)
    assert engines.tier(engine) == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("length_s", [0.5, 1.0, 1.3])
@pytest.mark.parametrize("silent", [1, 3, 5, 6])
def test_silence_of_decode_engines_refuses_nobody_at_two_thirds_of_the_capacity(
    silent, length_s, seed
):
    """Guards against refusals for lack of memory while engines have been down for a moment."""
    engines = [f"d{number}" for number in range(silent)]
    simulation = play(engines, length_s, rate=10, prefills=3, decodes=6, seed=seed)
    found = outcomes(simulation.calls)
    assert (found["refused"], found["unserved"]) == (0, 0)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("length_s", [0.5, 1.0, 1.3])
@pytest.mark.parametrize("silent", [1, 2, 3])
def test_silence_of_prefill_engines_refuses_nobody_at_two_thirds_of_the_capacity(
    silent, length_s, seed
):
    """Guards against refusals while prefill engines have been down for a moment."""
    engines = [f"p{number}" for number in range(silent)]
    simulation = play(engines, length_s, rate=10, prefills=3, decodes=6, seed=seed)
    found = outcomes(simulation.calls)
    assert (found["refused"], found["unserved"]) == (0, 0)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("length_s", [1.0, 1.3, 2.0])
def test_suspected_engine_gets_no_work_while_others_have_room(length_s, seed):
    """Guards against late first events: prompts were sent to an engine known to be silent."""
    simulation = play(["d0"], length_s, rate=9, prefills=3, decodes=6, seed=seed)
    noticed_s = SILENT_AT_S + NOTICED_S
    end_s = SILENT_AT_S + length_s
    assert [at for at, key in simulation.grants if key == "d0" and noticed_s < at < end_s] == []


# Requests waited for engines that nobody reached until shortly before their callers left.
@pytest.mark.parametrize("engines", [["p0"], ["d0"], ["p0", "d0"]])
def test_requests_are_refused_at_once_while_no_engine_of_a_role_is_reached(engines):
    length_s, lost_s = 16.0, 4.0
    calls = make_calls(2.0, seconds=40, seed=1)
    silences = dict.fromkeys(engines, (SILENT_AT_S, length_s))
    simulation = SilentEnginesSimulation(calls, prefills=[1], decodes=[1], silences=silences)
    simulation.run(60)
    end_s = SILENT_AT_S + length_s
    meanwhile = [c for c in simulation.calls if SILENT_AT_S + lost_s <= c.at_s < end_s - 0.5]
    assert len(meanwhile) > 10
    for call in meanwhile:
        assert call.refused_s is not None and call.refused_s - call.at_s < 0.2
        assert 1.0 <= call.retry_after_s <= 3.0
    after = [c for c in simulation.calls if c.at_s > end_s + BACK_IN_USE_S]
    assert len(after) > 10 and all(call.is_served for call in after)
