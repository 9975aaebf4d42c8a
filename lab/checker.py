"""Checks what must always hold, from records that the router did not write.

Every check returns the breaches that it found as sentences; an empty list is a pass.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from lab.records import Record

__all__ = [
    "BookingTry",
    "KeyProbe",
    "RevisionSample",
    "check_bookings",
    "check_key_withdrawal",
    "check_leaving_server",
    "check_limits",
    "check_revisions",
]


@attrs.frozen(kw_only=True)
class BookingTry:
    """One try to make a booking, as its caller saw it.

    Parameters
    ----------
    name : str
        Name of the booking; also its idempotency key.
    status : int
        HTTP status, 0 when the connection broke.
    not_run : bool
        Whether the refusal said that the call was not run.
    """

    name: str
    status: int
    not_run: bool = False


@attrs.frozen(kw_only=True)
class KeyProbe:
    """One request with a key that is withdrawn at some time."""

    time_s: float
    node: str
    accepted: bool


@attrs.frozen(kw_only=True)
class RevisionSample:
    """Revision in force on a node that says that it is ready."""

    time_s: float
    node: str
    revision: int


def check_bookings(records: Iterable[Record], tries: Iterable[BookingTry]) -> list[str]:
    """Check that each booking ran once at the most and that every "not run" is true."""
    executions = Counter(r.subject for r in records if r.event == "execution")
    breaches = [f"booking {n} ran {count} times" for n, count in executions.items() if count > 1]
    by_name: dict[str, list[BookingTry]] = defaultdict(list)
    for entry in tries:
        by_name[entry.name].append(entry)
    for name, entries in by_name.items():
        if executions[name] and all(entry.not_run for entry in entries):
            breaches.append(f"booking {name} ran, but every answer said that it was not run")
        if not executions[name] and any(entry.status == 201 for entry in entries):
            breaches.append(f"booking {name} was confirmed, but it never ran")
    return breaches


def check_limits(records: Iterable[Record], limits: Mapping[str, tuple[float, float]]) -> list[str]:
    """Check that in every window each workspace got rate x time + burst at the most.

    Parameters
    ----------
    records : iterable of Record
        Prompt tokens when they are processed and output tokens when they are generated. A prompt
        that is processed again after a failure counts once.
    limits : mapping of str to (float, float)
        Tokens a second and burst tokens of each workspace.
    """
    uses: dict[str, list[tuple[float, int]]] = defaultdict(list)
    prompts: set[str] = set()
    for record in records:
        if record.event == "prefill":
            request_id = record.subject.rpartition(".")[0]
            if request_id in prompts:
                continue
            prompts.add(request_id)
        if record.event in ("prefill", "tokens"):
            uses[record.workspace].append((record.time_s, record.amount))
    return [
        f"workspace {name} got {excess:.0f} tokens above its rate and burst"
        for name, (rate, burst) in limits.items()
        if (excess := _largest_excess(sorted(uses[name]), rate, burst)) > 0
    ]


def check_key_withdrawal(
    probes: Iterable[KeyProbe], *, withdrawn_s: float, allowed_s: float
) -> list[str]:
    """Check that no node accepts a key later than `allowed_s` after its withdrawal."""
    late: dict[str, float] = {}
    for probe in probes:
        if probe.accepted and probe.time_s > withdrawn_s + allowed_s:
            late[probe.node] = probe.time_s - withdrawn_s
    return [f"{node} accepted a key {delay:.1f} s after its end" for node, delay in late.items()]


def check_leaving_server(
    records: Iterable[Record], *, server: str, leaving_s: float, allowed_s: float
) -> list[str]:
    """Check that a leaving backend server got no new work later than `allowed_s`."""
    late = [
        record
        for record in records
        if record.server == server
        and record.event in ("prefill", "import", "execution")
        and record.time_s > leaving_s + allowed_s
    ]
    return [f"{server} got {len(late)} pieces of new work after it was to leave"] if late else []


def check_revisions(
    samples: Iterable[RevisionSample], published: Sequence[tuple[float, int]], *, allowed_s: float
) -> list[str]:
    """Check that no node steps back, and that each revision is in force in time.

    Parameters
    ----------
    samples : iterable of RevisionSample
        Samples of all nodes in the order of time.
    published : sequence of (float, int)
        Time and number of each accepted revision.
    allowed_s : float
        Longest time from accepted to in force.
    """
    breaches = []
    newest: dict[str, int] = {}
    for sample in samples:
        if sample.revision < newest.get(sample.node, 0):
            breaches.append(f"{sample.node} went back to revision {sample.revision}")
        newest[sample.node] = max(sample.revision, newest.get(sample.node, 0))
        due = [number for time_s, number in published if time_s + allowed_s < sample.time_s]
        if due and sample.revision < max(due):
            breaches.append(f"{sample.node} serves with revision {sample.revision} of {max(due)}")
    return sorted(set(breaches))


def _largest_excess(uses: list[tuple[float, int]], rate: float, burst: float) -> float:
    """Return by how many tokens the fullest window exceeds its bound, at least 0.

    A bucket that starts full, is drained by the uses and may go below zero reaches its lowest
    level at the end of the fullest window.
    """
    level, lowest, last_s = burst, 0.0, 0.0
    for time_s, amount in uses:
        level = min(burst, level + (time_s - last_s) * rate) - amount
        last_s = time_s
        lowest = min(lowest, level)
    return -lowest
