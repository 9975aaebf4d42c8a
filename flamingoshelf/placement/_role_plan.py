"""Planning of the split of engines into prefill and decode pools."""

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from flamingoshelf.routing import BackendInstance, EngineRole

__all__ = ["RequestCost", "RoleChange", "RolePlanner", "best_prefill_count", "throughput"]

# Part of the prefill engines' time that is kept free: queued prompts delay first events at once,
# while decode memory can be used completely.
_PREFILL_HEADROOM_SHARE = 0.15
# A role change makes an engine unavailable for seconds, so it must raise the throughput by this
# part; by more if the engine is needed meanwhile.
_MIN_GAIN_SHARE = 0.08
_MIN_GAIN_SHARE_BUSY = 0.3  # more than the work lost while the engine is unavailable for 6 s
_BUSY_MEMORY_SHARE = 0.5  # use of the decode memory above which the engines are busy
# Crashed engines come back within about 4 s; only longer changes of the engine list are acted on.
_MIN_LISTING_AGE_S = 5.0
_CHANGE_COOLDOWN_S = 8.0  # between two role changes under load
_IDLE_MEMORY_SHARE = 0.15  # use of the decode memory below which several engines may change at once


@attrs.frozen(kw_only=True)
class RequestCost:
    """Average cost of a request at the engines.

    Parameters
    ----------
    prefill_s : float
        Seconds that it occupies a prefill engine.
    decode_s : float
        Seconds that it would occupy a whole decode engine: its run time, weighted by the part of
        the engine's memory that it holds.
    """

    prefill_s: float
    decode_s: float


@attrs.frozen(kw_only=True)
class RoleChange:
    """A planned change of an engine to another role."""

    engine: BackendInstance
    role: EngineRole


_EQUAL_COST = RequestCost(prefill_s=1.0, decode_s=1.0)


def throughput(prefills: int, decodes: int, cost: RequestCost) -> float:
    """Return the requests per second that a split of the engines can serve.

    Examples
    --------
    >>> cost = RequestCost(prefill_s=0.1, decode_s=0.4)
    >>> [round(throughput(p, 9 - p, cost), 1) for p in (1, 2, 4)]
    [8.5, 17.0, 12.5]
    """
    return min(prefills * (1 - _PREFILL_HEADROOM_SHARE) / cost.prefill_s, decodes / cost.decode_s)


def best_prefill_count(engines: int, cost: RequestCost) -> int:
    """Return the number of prefill engines with the highest throughput.

    Each role gets at least one engine. With fewer than two engines, the result is 0.
    """
    if engines < 2:
        return 0
    return max(range(1, engines), key=lambda count: throughput(count, engines - count, cost))


class RolePlanner:
    """Plans as few role changes as possible.

    No change is planned unless the best split for the listed engines gains enough throughput.
    Under load, the list must also have been the same for 5 s, and engines change one at a time.

    Parameters
    ----------
    releases_spare : bool
        Whether prefill engines that the decode engines can't keep busy change at once and together,
        also while single engines come and go: nothing is lost during such a change.
    """

    def __init__(self, *, releases_spare: bool = False) -> None:
        self._releases_spare = releases_spare
        self._seen: dict[str, tuple[BackendInstance, float]] = {}  # with the time in seconds
        self._listed: frozenset[str] = frozenset()
        self._listed_since_s = float("-inf")
        self._changed_s = float("-inf")

    def record_change(self, now_s: float) -> None:
        """Record that a change was ordered."""
        self._changed_s = now_s

    def plan_continuations(
        self,
        engines: Sequence[BackendInstance],
        stranded: Mapping[str, int],
        *,
        cost: RequestCost | None,
        load: float,
        change_s: float,
    ) -> list[RoleChange]:
        """Return the changes that give software versions a decode engine for their streams.

        A prefill engine changes if that saves more streams than can't be served for lack of it
        while it changes. One prefill engine stays, of whatever version.

        Parameters
        ----------
        engines : sequence of BackendInstance
            Engines that take new work.
        stranded : mapping
            Number of streams that no other engine can continue, by version.
        cost, load
            As in `plan`.
        change_s : float
            Seconds that a change takes.
        """
        left = [engine for engine in engines if engine.role is EngineRole.PREFILL]
        decodes = sum(engine.role is EngineRole.DECODE for engine in engines)
        changes = []
        for version, streams in sorted(stranded.items(), key=lambda item: -item[1]):
            donors = [engine for engine in left if engine.software_version == version]
            if not donors or len(left) < 2:
                continue
            if cost is not None:
                demand_per_s = load * decodes / cost.decode_s
                served_per_s = throughput(len(left) - 1, max(decodes, 1), cost)
                if streams <= (demand_per_s - served_per_s) * change_s:
                    continue
            engine = _most_common_data_centre(donors, left)
            left.remove(engine)
            changes.append(RoleChange(engine=engine, role=EngineRole.DECODE))
        return changes

    def plan(
        self,
        engines: Sequence[BackendInstance],
        *,
        cost: RequestCost | None,
        load: float,
        now_s: float,
        evacuated: Sequence[BackendInstance] = (),
    ) -> list[RoleChange]:
        """Return the changes to order now.

        Parameters
        ----------
        engines : sequence of BackendInstance
            Engines that take new work.
        cost : RequestCost or None
            Average cost of a request, or None if it isn't measured; then only a pool without any
            engine gets one.
        load : float
            Part of the decode memory that is in use.
        now_s : float
            Present time in seconds.
        evacuated : sequence of BackendInstance
            Further engines, which only an evacuation keeps from new work. They aren't counted, but
            neither are they expected back within seconds, as crashed ones are.
        """
        listed = frozenset(engine.key for engine in (*engines, *evacuated))
        if listed != self._listed:
            self._listed, self._listed_since_s = listed, now_s
        prefills = [engine for engine in engines if engine.role is EngineRole.PREFILL]
        decodes = [engine for engine in engines if engine.role is EngineRole.DECODE]
        if cost is None:
            if prefills and decodes:
                return []
            cost = _EQUAL_COST
        elif self._releases_spare:
            spare = self._spare_prefills(engines, cost, now_s, evacuated=evacuated)
            if spare:
                return _changes(prefills, decodes, EngineRole.DECODE, spare)
        best = best_prefill_count(len(engines), cost)
        min_gain_share = _MIN_GAIN_SHARE
        if load > _BUSY_MEMORY_SHARE and not _can_spare_prefill(
            len(prefills), len(decodes), best, cost
        ):
            min_gain_share = _MIN_GAIN_SHARE_BUSY
        if not _is_worthwhile(len(prefills), len(decodes), best, cost, min_gain_share):
            return []
        is_idle = load < _IDLE_MEMORY_SHARE
        if not is_idle and (
            now_s - self._listed_since_s < _MIN_LISTING_AGE_S
            or now_s - self._changed_s < _CHANGE_COOLDOWN_S
        ):
            return []
        count = abs(best - len(prefills)) if is_idle else 1
        if best > len(prefills):
            return _changes(decodes, prefills, EngineRole.PREFILL, count)
        return _changes(prefills, decodes, EngineRole.DECODE, count)

    def _spare_prefills(
        self,
        engines: Sequence[BackendInstance],
        cost: RequestCost,
        now_s: float,
        *,
        evacuated: Sequence[BackendInstance],
    ) -> int:
        """Return how many prefill engines can change their role without a loss meanwhile.

        Engines that left the list lately count as listed, as most of them come back; those of
        evacuated data centres don't.
        """
        for engine in evacuated:
            self._seen.pop(engine.key, None)
        self._seen.update({engine.key: (engine, now_s) for engine in engines})
        for key, (_, seen_s) in list(self._seen.items()):
            if now_s - seen_s > _MIN_LISTING_AGE_S:
                del self._seen[key]
        prefills = sum(engine.role is EngineRole.PREFILL for engine, _ in self._seen.values())
        decodes = len(self._seen) - prefills
        is_cooling_down = now_s - self._changed_s < _CHANGE_COOLDOWN_S
        if not prefills or not decodes or is_cooling_down:
            return 0
        best = best_prefill_count(prefills + decodes, cost)
        if not _is_worthwhile(prefills, decodes, best, cost, _MIN_GAIN_SHARE):
            return 0
        rate = throughput(prefills, decodes, cost)
        spare = 0
        while spare < prefills - best and throughput(prefills - spare - 1, decodes, cost) >= rate:
            spare += 1
        return spare


def _can_spare_prefill(prefills: int, decodes: int, best: int, cost: RequestCost) -> bool:
    """Return whether a prefill engine is to change that isn't needed until the change is done."""
    return best < prefills and throughput(prefills - 1, decodes, cost) >= throughput(
        prefills, decodes, cost
    )


def _is_worthwhile(
    prefills: int, decodes: int, best: int, cost: RequestCost, min_gain_share: float
) -> bool:
    total = prefills + decodes
    if total < 2 or best == prefills:
        return False
    best_rate = throughput(best, total - best, cost)
    return best_rate > throughput(prefills, decodes, cost) * (1 + min_gain_share)


def _changes(
    donors: Sequence[BackendInstance],
    others: Sequence[BackendInstance],
    role: EngineRole,
    count: int,
) -> list[RoleChange]:
    """Return role changes of `count` donors, from the data centres that have most of them.

    Each software version keeps a decode engine: no other one can continue its streams.
    """
    changes: list[RoleChange] = []
    left = list(donors)
    for _ in range(min(count, len(left) - 1)):
        versions = Counter(engine.software_version for engine in left)
        spare = [
            engine
            for engine in left
            if role is EngineRole.DECODE or versions[engine.software_version] > 1
        ]
        if not spare:
            return changes
        engine = _most_common_data_centre(spare, left)
        left.remove(engine)
        changes.append(RoleChange(engine=engine, role=role))
    return changes


def _most_common_data_centre(
    candidates: Sequence[BackendInstance], engines: Sequence[BackendInstance]
) -> BackendInstance:
    """Return the candidate of the data centre that has most of the engines."""
    counts = Counter(engine.data_centre for engine in engines)
    return max(candidates, key=lambda engine: (counts[engine.data_centre], engine.key))
