"""The engines of one service, with the load and the health of each."""

from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
from loguru import logger

from flamingoshelf.placement._answer_lengths import AnswerLengths
from flamingoshelf.placement._cost_trackers import CostDecodeTracker, CostPrefillTracker
from flamingoshelf.placement._engine_model import EngineModel
from flamingoshelf.placement._engine_trackers import DecodeEngineTracker, PrefillEngineTracker
from flamingoshelf.placement._health import FailureKind, HealthTracker
from flamingoshelf.placement._role_changes import LeftEngine, LeftEngines, RoleChanges
from flamingoshelf.placement._types import PlacementRequest
from flamingoshelf.routing import BackendInstance, EngineProfile, EngineRole
from flamingoshelf.server_limits import LimitKeeper, PermitForecast

__all__ = ["EngineTable"]


_SNAPSHOT_INTERVAL_S = 0.1  # short compared with the age of a load report


class EngineTable:
    """Engines of one service by key, with their load, health and pending role changes.

    Parameters
    ----------
    instances : callable
        Returns the engines that accept new work.
    profile : callable
        Returns the capacity of an engine, or None if the service is not configured.
    model : EngineModel
        Measured speeds of the engines.
    limits : LimitKeeper or None
        Permits of the engines that state limits.
    leaving : callable
        Returns decode engines that leave; they continue streams that no other engine can.
    by_cost : bool
        Whether engines are chosen by the expected completion, with their own speeds.
    """

    def __init__(
        self,
        *,
        instances: Callable[[], Sequence[BackendInstance]],
        profile: Callable[[], EngineProfile | None],
        model: EngineModel,
        limits: LimitKeeper | None = None,
        leaving: Callable[[], Sequence[BackendInstance]] = tuple,
        by_cost: bool = False,
    ) -> None:
        self._lengths = AnswerLengths() if by_cost else None
        self._leaving_engines = leaving
        self._leaving: dict[str, BackendInstance] = {}
        self._limits = limits
        self._model = model
        self._instances = instances
        self._profile = profile
        self._listed: dict[str, BackendInstance] = {}
        self._prefill_trackers: dict[str, PrefillEngineTracker] = {}
        self._decode_trackers: dict[str, DecodeEngineTracker] = {}
        self._health = HealthTracker()
        self._role_changes = RoleChanges()
        self._left = LeftEngines()
        self._now_s = 0.0
        self._snapshot_s = float("-inf")
        self._usable: dict[EngineRole, list[BackendInstance]] = {}
        self._applied_profile: EngineProfile | None = None

    def refresh(self, now_s: float) -> None:
        """Update the engine list; reset engines that restarted or changed role.

        Periodically, also drop abandoned runs that must have ended, and store load snapshots.
        """
        self._now_s = now_s
        listed = {engine.key: engine for engine in self._instances()}
        for key in self._listed.keys() - listed.keys():
            self._health.remove(key)
        for key, engine in listed.items():
            known = self._listed.get(key)
            if known is not None and (known.started_ms, known.role) != (
                engine.started_ms,
                engine.role,
            ):
                self.prefill_tracker(key).clear()
                self.decode_tracker(key).clear()
                self._health.remove(key)
                self._role_changes.end(key)
        self._role_changes.drop_overdue(now_s)
        gone = [engine for key, engine in self._listed.items() if key not in listed]
        self._listed = listed
        self._leaving = {e.key: e for e in self._leaving_engines() if e.key not in listed}
        self._left.record([*gone, *self._leaving.values()], listed=listed, now_s=now_s)
        self._usable.clear()
        if self._profile() != self._applied_profile:
            self._applied_profile = self._profile()
            for tracker in self._decode_trackers.values():
                self._resize(tracker)
        if now_s >= self._snapshot_s + _SNAPSHOT_INTERVAL_S:
            self._snapshot_s = now_s
            for engine in self.usable_decodes():
                tracker = self.decode_tracker(engine.key)
                tracker.drop_abandoned(now_s)
                tracker.record_snapshot(now_s)

    @property
    def model(self) -> EngineModel:
        """Measured speeds of the engines."""
        return self._model

    @property
    def places_by_cost(self) -> bool:
        """Whether engines are chosen by the expected completion."""
        return self._lengths is not None

    @property
    def has_prefill(self) -> bool:
        """Whether any listed engine is in the prefill role."""
        return any(engine.role is EngineRole.PREFILL for engine in self._listed.values())

    def prefill_tracker(self, key: str) -> PrefillEngineTracker:
        """Return the load tracker of a prefill engine; create one if there is none."""
        tracker = self._prefill_trackers.get(key)
        if tracker is None:
            tracker = self._prefill_trackers[key] = self._new_prefill_tracker(key)
        return tracker

    def decode_tracker(self, key: str) -> DecodeEngineTracker:
        """Return the load tracker of a decode engine; create one if there is none."""
        tracker = self._decode_trackers.get(key)
        if tracker is None:
            tracker = self._decode_trackers[key] = self._new_decode_tracker(key)
            self._resize(tracker)
        return tracker

    def record_answer(self, request: PlacementRequest, *, events: int) -> None:
        """Learn the length of a complete answer."""
        if self._lengths is not None and not request.is_resumed:
            self._lengths.record(
                workspace=request.workspace, expected_tokens=request.expected_tokens, events=events
            )

    def listed_keys(self) -> frozenset[str]:
        """Return the keys of the listed engines."""
        return frozenset(self._listed)

    def with_role_changes_applied(self) -> list[BackendInstance]:
        """Return the listed engines, with pending role changes applied."""
        return [
            attrs.evolve(engine, role=self._role_changes.target(key) or engine.role)
            for key, engine in self._listed.items()
        ]

    def memory_load(self, now_s: float) -> float:
        """Return the part of the decode memory that is in use; above 1 if it is overcommitted."""
        shares = [
            self.decode_tracker(engine.key).free_share(now_s) for engine in self.usable_decodes()
        ]
        return 1 - sum(shares) / len(shares) if shares else 0.0

    def record_role_change(self, key: str, *, role: EngineRole, slack_s: float) -> None:
        """Assign no work to an engine while it changes its role.

        `slack_s` is added to the configured duration of a role change.
        """
        self._role_changes.record(
            key, role=role, done_s=self._now_s + self.role_change_s, slack_s=slack_s
        )
        self._usable.clear()

    def left_engine(self, key: str) -> LeftEngine | None:
        """Return an engine that has left the list lately, or None."""
        return self._left.get(key)

    def left_decodes(self, version: str) -> list[LeftEngine]:
        """Return the decode engines of a software version that have left the list lately."""
        return self._left.decodes(version)

    def has_version(self, version: str) -> bool:
        """Return whether an engine of a software version is listed, in whatever role."""
        return any(engine.software_version == version for engine in self._listed.values())

    def can_continue(self, version: str) -> bool:
        """Return whether a decode engine of a software version is listed, or a leaving one is."""
        engines = [*self._listed.values(), *self._leaving.values()]
        return any(
            engine.role is EngineRole.DECODE
            and engine.software_version == version
            and not self._is_changing_role(engine.key)
            for engine in engines
        )

    def keeps_version(self, version: str) -> bool:
        """Return whether a software version has a decode engine that stays, or will have one."""
        return any(
            engine.role is EngineRole.DECODE
            and engine.software_version == version
            and not self._health.is_lost(engine.key, self._now_s)
            for engine in self.with_role_changes_applied()
        )

    def role_change_left_s(self, version: str) -> float | None:
        """Return the seconds until an engine of a version has become a decode engine.

        None if none is changing its role to that.
        """
        done_s = [
            self._role_changes.done_s(key)
            for key, engine in self._listed.items()
            if engine.software_version == version
            and self._role_changes.target(key) is EngineRole.DECODE
        ]
        return max(0.0, min(done_s) - self._now_s) if done_s else None

    @property
    def role_change_s(self) -> float:
        """Seconds that a role change takes."""
        profile = self._profile()
        return 0.0 if profile is None else profile.role_change_s

    def usable_prefills(
        self, *, avoid: Iterable[str] = (), exclude: Iterable[str] = ()
    ) -> list[BackendInstance]:
        """Return the prefill engines that may get work.

        None of `exclude` is returned, and if possible none of `avoid`.
        """
        return self._usable_engines(EngineRole.PREFILL, avoid, exclude)

    def usable_decodes(
        self, *, avoid: Iterable[str] = (), exclude: Iterable[str] = ()
    ) -> list[BackendInstance]:
        """Return the decode engines that may get work.

        None of `exclude` is returned, and if possible none of `avoid`.
        """
        return self._usable_engines(EngineRole.DECODE, avoid, exclude)

    def expected_decodes(self, *, exclude: Collection[str] = ()) -> list[BackendInstance]:
        """Return the decode engines in use and those that are down for a moment only."""
        return [
            engine
            for engine in self._decodes(exclude)
            if not self._is_changing_role(engine.key)
            and (
                not self._health.is_down(engine.key, self._now_s)
                or self._health.is_expected_back(engine.key, self._now_s)
            )
        ]

    def has_lost_role(self, *, exclude: Collection[str] = ()) -> bool:
        """Return whether all engines of a role have been down for some time."""
        engines = [engine for engine in self._listed.values() if engine.key not in exclude]
        lost = {engine.key: self._health.is_lost(engine.key, self._now_s) for engine in engines}
        return any(
            all(lost[engine.key] for engine in engines if engine.role is role)
            for role in {engine.role for engine in engines}
        )

    def is_usable(self, key: str) -> bool:
        """Return whether an engine is listed, isn't changing its role and isn't down."""
        return (
            (key in self._listed or key in self._leaving)
            and not self._is_changing_role(key)
            and not self._health.is_down(key, self._now_s)
        )

    def is_limited(self, key: str) -> bool:
        """Return whether a listed engine states a limit."""
        limits = self._limits_of(key)
        return limits is not None and limits.is_limited(self._listed[key].run)

    def has_permit(self, key: str) -> bool:
        """Return whether an engine accepts another request by the limit that it states, if any."""
        limits = self._limits_of(key)
        return limits is None or limits.wait_s(self._listed[key].run) <= 0

    def spend_permit(self, key: str) -> None:
        """Count a request to an engine against the limit that it states."""
        limits = self._limits_of(key)
        if limits is not None:
            limits.spend(self._listed[key].run)

    def permit_forecast(self) -> PermitForecast | None:
        """Return a forecast of the engines' permits, or None if no server needs permits."""
        if self._limits is None or self._limits.is_idle:
            return None
        return self._limits.forecast()

    def data_centre(self, key: str | None) -> str | None:
        """Return the data centre of an engine, or None if it isn't listed."""
        engine = None if key is None else self._listed.get(key)
        return None if engine is None else engine.data_centre

    def most_free_decode(
        self,
        now_s: float,
        blocked: Iterable[str],
        *,
        avoid: Iterable[str] = (),
        exclude: Iterable[str] = (),
    ) -> str | None:
        """Return the decode engine with most free memory that isn't in `blocked`.

        Engines in `avoid` and `exclude` are left out as in `usable_decodes`.
        """
        reserved = set(blocked)
        usable = self.usable_decodes(avoid=avoid, exclude=exclude)
        engines = [engine for engine in usable if engine.key not in reserved]
        engines = [engine for engine in engines if self.has_permit(engine.key)] or engines
        choice = max(
            engines, key=lambda e: self.decode_tracker(e.key).free_tokens(now_s), default=None
        )
        return None if choice is None else choice.key

    def any_can_ever_fit(
        self, prompt_tokens: int, expected_tokens: int, *, exclude: Collection[str] = ()
    ) -> bool:
        """Return whether any decode engine could run a request if it were empty."""
        return any(
            self.decode_tracker(engine.key).can_ever_fit(prompt_tokens, expected_tokens)
            for engine in self._decodes(exclude)
        )

    @property
    def health(self) -> HealthTracker:
        """Health of the engines that failed calls."""
        return self._health

    def tier(self, key: str) -> int:
        """Return the health tier of an engine: 0 healthy, 1 degraded, 2 bad."""
        return self._health.tier(key, self._now_s)

    def record_failure(
        self, key: str, kind: FailureKind, *, detail: str, reporter: str = ""
    ) -> None:
        """Record a failed call; `reporter` is the node that made it."""
        self._health.record_failure(key, kind, now_s=self._now_s, detail=detail, reporter=reporter)
        self._usable.clear()

    def record_success(self, key: str) -> None:
        """Record a successful call."""
        self._health.record_success(key, now_s=self._now_s)
        self._usable.clear()

    def record_first_event(self, key: str) -> None:
        """Record the first event of a run."""
        self._health.record_first_event(key, now_s=self._now_s)
        self._usable.clear()

    def instance(self, key: str) -> BackendInstance | None:
        """Return a listed engine, or None."""
        return self._listed.get(key)

    def record_rejection(self, key: str, now_s: float) -> None:
        """Start the backoff of an engine that refused work for lack of room."""
        engine = self._listed.get(key)
        if engine is not None and engine.role is EngineRole.PREFILL:
            self.prefill_tracker(key).record_rejection(now_s)
        else:
            self.decode_tracker(key).record_rejection(now_s)
        logger.bind(
            step="engine",
            peer=key,
            role=None if engine is None else engine.role,
            used_tokens=round(self.decode_tracker(key).used_tokens(now_s)),
            runs=self.decode_tracker(key).runs,
        ).info("engine refused work for lack of room; backing off")

    def _new_prefill_tracker(self, key: str) -> PrefillEngineTracker:
        if self._lengths is None:
            return PrefillEngineTracker(model=self._model)
        return CostPrefillTracker(model=self._model, clock=lambda: self._now_s, engine=key)

    def _new_decode_tracker(self, key: str) -> DecodeEngineTracker:
        if self._lengths is None:
            return DecodeEngineTracker(model=self._model)
        return CostDecodeTracker(
            model=self._model, lengths=self._lengths, clock=lambda: self._now_s, engine=key
        )

    def _limits_of(self, key: str) -> LimitKeeper | None:
        """Return the keeper of the limits, or None if the engine is not listed or none is kept."""
        if self._limits is None or self._limits.is_idle or key not in self._listed:
            return None
        return self._limits

    def _usable_engines(
        self, role: EngineRole, avoid: Iterable[str], exclude: Iterable[str]
    ) -> list[BackendInstance]:
        usable = self._usable.get(role)
        if usable is None:
            listed = self._listed.values()
            usable = [e for e in listed if e.role is role and self.is_usable(e.key)]
            self._usable[role] = usable
        excluded = set(exclude)
        avoided = excluded.union(avoid)
        if not avoided:
            return usable
        if role is EngineRole.DECODE and all(engine.key in excluded for engine in usable):
            return [e for e in self._leaving.values() if e.key not in avoided]
        others = [engine for engine in usable if engine.key not in avoided]
        if others:
            return others
        # With no other engine in use, one that was silent may be tried again once it answers.
        return [
            engine
            for engine in usable
            if engine.key not in excluded and not self._health.is_suspected(engine.key)
        ]

    def _decodes(self, exclude: Collection[str]) -> list[BackendInstance]:
        """Return the listed decode engines, or leaving ones if all listed ones are excluded."""
        listed = [engine for engine in self._listed.values() if engine.role is EngineRole.DECODE]
        if not exclude:
            return listed
        others = [engine for engine in listed if engine.key not in exclude]
        return others or [e for e in self._leaving.values() if e.key not in exclude]

    def _resize(self, tracker: DecodeEngineTracker) -> None:
        if self._applied_profile is not None:
            tracker.resize(
                capacity_tokens=self._applied_profile.kv_tokens, slots=self._applied_profile.slots
            )

    def _is_changing_role(self, key: str) -> bool:
        return self._role_changes.is_changing(key, self._now_s)
