"""Check the router's guarantees against records that the router did not write.

Each check returns one sentence for every breach that it found; an empty list is a pass.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from lab.records import Record

__all__ = [
    "BookingAttempt",
    "KeyProbe",
    "RevisionSample",
    "check_bookings",
    "check_key_withdrawal",
    "check_leaving_server",
    "check_limits",
    "check_revisions",
]


@attrs.frozen(kw_only=True)
class BookingAttempt:
    """One attempt to make a booking, as its caller saw it.

    Parameters
    ----------
    name : str
        Name of the booking; also its idempotency key.
    status : int
        HTTP status, or 0 if the connection broke.
    not_run : bool
        Whether the refusal stated that the call was not run.
    """

    name: str
    status: int
    not_run: bool = False


@attrs.frozen(kw_only=True)
class KeyProbe:
    """One request with a key that is withdrawn during the run."""

    time_s: float
    node: str
    accepted: bool


@attrs.frozen(kw_only=True)
class RevisionSample:
    """Revision in force on a node that reports ready."""

    time_s: float
    node: str
    revision: int


def check_bookings(records: Iterable[Record], attempts: Iterable[BookingAttempt]) -> list[str]:
    """Check that each booking ran at most once and that every "not run" and 201 is true."""
    executions = Counter(r.subject for r in records if r.event == "execution")
    breaches = [f"booking {n} ran {count} times" for n, count in executions.items() if count > 1]
    by_name: dict[str, list[BookingAttempt]] = defaultdict(list)
    for entry in attempts:
        by_name[entry.name].append(entry)
    for name, entries in by_name.items():
        if executions[name] and all(entry.not_run for entry in entries):
            breaches.append(f"booking {name} ran, but every answer said that it was not run")
        if not executions[name] and any(entry.status == 201 for entry in entries):
            breaches.append(f"booking {name} was confirmed, but it never ran")
    return breaches


def check_limits(records: Iterable[Record], limits: Mapping[str, tuple[float, float]]) -> list[str]:
    """Check that each workspace used at most rate x time + burst tokens in every time window.

    Parameters
    ----------
    records : iterable of Record
        Prompt tokens at the time of their prefill and output tokens at the time of their decode
        step. A prompt that is processed again after a failure counts once.
    limits : mapping of str to (float, float)
        Rate in tokens per second, and burst tokens, of each workspace.
    """
    uses: dict[str, list[tuple[float, int]]] = defaultdict(list)
    prompts: set[str] = set()
    for record in records:
        if record.event == "prefill":
            # The subject is the id of an attempt: the request id, a dot and the attempt number.
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
    """Check that no node accepts a key more than `allowed_s` after its withdrawal."""
    late: dict[str, float] = {}
    for probe in probes:
        if probe.accepted and probe.time_s > withdrawn_s + allowed_s:
            late[probe.node] = probe.time_s - withdrawn_s
    return [f"{node} accepted a key {delay:.1f} s after its end" for node, delay in late.items()]


def check_leaving_server(
    records: Iterable[Record], *, server: str, leaving_s: float, allowed_s: float
) -> list[str]:
    """Check that a server got no new work more than `allowed_s` after it began to leave."""
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
    """Check that no node returns to an older revision and that each is in force in time.

    Parameters
    ----------
    samples : iterable of RevisionSample
        Samples of all nodes, ordered by time.
    published : sequence of (float, int)
        Time and number of each accepted revision.
    allowed_s : float
        Longest time from the acceptance of a revision until every node has it in force.
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
    """Return the most tokens by which any window exceeds rate x time + burst; 0 if none does.

    Simulates a token bucket that starts full and may go below zero: its lowest level is reached
    at the end of the window with the largest excess.
    """
    level, lowest, last_s = burst, 0.0, 0.0
    for time_s, amount in uses:
        level = min(burst, level + (time_s - last_s) * rate) - amount
        last_s = time_s
        lowest = min(lowest, level)
    return -lowest
