"""A schedule of faults, drawn from a seed."""

import random
from enum import StrEnum

import attrs

__all__ = ["Fault", "FaultKind", "draw_faults"]


class FaultKind(StrEnum):
    """What goes wrong, or what operators do meanwhile."""

    KILL_NODE = "kill_node"
    PAUSE_NODE = "pause_node"
    CUT_NODE_FROM_STORE = "cut_node_from_store"
    CUT_NODE_FROM_PEERS = "cut_node_from_peers"
    STOP_NODE = "stop_node"
    KILL_ENGINE = "kill_engine"
    STALL_ENGINE = "stall_engine"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    CHANGE_OBJECTS = "change_objects"
    POISON_REQUEST = "poison_request"


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    Parameters
    ----------
    start_s : float
        Seconds after the start of the load.
    duration_s : float
        Seconds until it is undone.
    kind : FaultKind
        What happens.
    victim : float
        Number in [0, 1) that picks the victim among those that are there.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    victim: float


def draw_faults(*, seed: int, duration_s: float, mean_gap_s: float) -> list[Fault]:
    """Return the faults of a run in the order of time.

    Every kind occurs before one occurs again.

    Examples
    --------
    >>> draw_faults(seed=1, duration_s=30, mean_gap_s=3) == draw_faults(
    ...     seed=1, duration_s=30, mean_gap_s=3
    ... )
    True
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    kinds: list[FaultKind] = []
    start_s = source.expovariate(1 / mean_gap_s)
    while start_s < duration_s:
        if not kinds:
            kinds = list(FaultKind)
            source.shuffle(kinds)
        faults.append(
            Fault(
                start_s=start_s,
                duration_s=source.uniform(1.0, 4.0),
                kind=kinds.pop(),
                victim=source.random(),
            )
        )
        start_s += source.expovariate(1 / mean_gap_s)
    return faults
