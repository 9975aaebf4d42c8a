"""Schedules of faults, generated from a seed."""

import random
from collections.abc import Sequence
from enum import StrEnum

import attrs

__all__ = [
    "BASE_KINDS",
    "CUT_KINDS",
    "GATEWAY_KINDS",
    "SILENCE_KINDS",
    "Fault",
    "FaultKind",
    "draw_faults",
]


class FaultKind(StrEnum):
    """Fault or operator action that is injected during a run."""

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
    RESTORE_STORE = "restore_store"
    LEAVE_SERVER = "leave_server"
    PAUSE_SERVER = "pause_server"
    SILENCE_SERVER = "silence_server"
    CUT_NODE_FROM_SERVERS = "cut_node_from_servers"  # by a mode of its own


# Kinds that were drawn first; seeds that failed with them stay as they were.
BASE_KINDS = tuple(FaultKind)[:12]
GATEWAY_KINDS = tuple(FaultKind)[:16]
# Kinds beside cuts of nodes from all servers.
CUT_KINDS = (
    FaultKind.KILL_NODE,
    FaultKind.STOP_NODE,
    FaultKind.PAUSE_NODE,
    FaultKind.CHANGE_OBJECTS,
    FaultKind.CUT_NODE_FROM_STORE,
)
# Silences beside planned work alone: requests that are lost then have no other cause.
SILENCE_KINDS = (
    FaultKind.SILENCE_SERVER,
    *[FaultKind.CHANGE_OBJECTS] * 4,
    FaultKind.STOP_NODE,
)


@attrs.frozen(kw_only=True)
class Fault:
    """One scheduled fault.

    Parameters
    ----------
    start_s : float
        Seconds after the start of the load.
    duration_s : float
        Seconds until the fault is undone.
    kind : FaultKind
        Kind of the fault.
    victim : float
        Number in [0, 1) that selects the node or engine among the candidates.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    victim: float


def draw_faults(
    *,
    seed: int,
    duration_s: float,
    mean_gap_s: float,
    kinds: Sequence[FaultKind] = BASE_KINDS,
) -> list[Fault]:
    """Return the faults of a run, ordered by start time.

    Every kind occurs once before any kind is repeated. Silences are drawn apart from the others, so
    that seeds of before draw those as they did: one beside each change of the configuration, and
    others with the same mean gap.

    Examples
    --------
    >>> draw_faults(seed=1, duration_s=30, mean_gap_s=3) == draw_faults(
    ...     seed=1, duration_s=30, mean_gap_s=3
    ... )
    True
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    undrawn: list[FaultKind] = []
    start_s = source.expovariate(1 / mean_gap_s)
    while start_s < duration_s:
        if not undrawn:
            undrawn = [kind for kind in kinds if kind is not FaultKind.SILENCE_SERVER]
            source.shuffle(undrawn)
        faults.append(
            Fault(
                start_s=start_s,
                duration_s=source.uniform(1.0, 4.0),
                kind=undrawn.pop(),
                victim=source.random(),
            )
        )
        start_s += source.expovariate(1 / mean_gap_s)
    if FaultKind.SILENCE_SERVER in kinds:
        faults += _draw_silences(faults, seed=seed, duration_s=duration_s, mean_gap_s=mean_gap_s)
        faults.sort(key=lambda fault: fault.start_s)
    return faults


def _draw_silences(
    faults: Sequence[Fault], *, seed: int, duration_s: float, mean_gap_s: float
) -> list[Fault]:
    source = random.Random(f"silences of {seed}")
    starts_s = [
        max(0.0, fault.start_s + source.uniform(-0.8, 0.3))
        for fault in faults
        if fault.kind is FaultKind.CHANGE_OBJECTS
    ]
    start_s = source.expovariate(1 / mean_gap_s)
    while start_s < duration_s:
        starts_s.append(start_s)
        start_s += source.expovariate(1 / mean_gap_s)
    return [
        Fault(
            start_s=start_s,
            duration_s=source.uniform(0.3, 1.5),
            kind=FaultKind.SILENCE_SERVER,
            victim=source.random(),
        )
        for start_s in starts_s
    ]
