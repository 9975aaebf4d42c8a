"""Engines that change their role, and engines that have left the list of a service."""

from collections.abc import Collection, Iterable

import attrs

from flamingoshelf.routing import BackendInstance, EngineRole

__all__ = ["LeftEngine", "LeftEngines", "RoleChanges"]

_LEFT_KEPT_S = 60.0  # longer than any stream lasts at an engine that has left the list


@attrs.frozen(kw_only=True)
class _RoleChange:
    role: EngineRole
    done_s: float  # expected
    until_s: float


class RoleChanges:
    """Role changes that were ordered and are not done yet, by engine; times in seconds."""

    def __init__(self) -> None:
        self._changes: dict[str, _RoleChange] = {}

    def record(self, key: str, *, role: EngineRole, done_s: float, slack_s: float) -> None:
        """Record a change that is expected to be done at `done_s`, and `slack_s` later at last."""
        self._changes[key] = _RoleChange(role=role, done_s=done_s, until_s=done_s + slack_s)

    def end(self, key: str) -> None:
        """Forget the change of an engine, which is done or was given up."""
        self._changes.pop(key, None)

    def drop_overdue(self, now_s: float) -> None:
        """Forget the changes that should have been done."""
        for key, change in list(self._changes.items()):
            if change.until_s <= now_s:
                del self._changes[key]

    def is_changing(self, key: str, now_s: float) -> bool:
        """Return whether an engine is changing its role."""
        change = self._changes.get(key)
        return change is not None and change.until_s > now_s

    def target(self, key: str) -> EngineRole | None:
        """Return the role that an engine changes to, or None if it doesn't."""
        change = self._changes.get(key)
        return None if change is None else change.role

    def done_s(self, key: str) -> float:
        """Return when the change of an engine is expected to be done."""
        return self._changes[key].done_s


@attrs.frozen(kw_only=True)
class LeftEngine:
    """An engine that takes no new work any more, and the time in seconds since when."""

    engine: BackendInstance
    since_s: float


class LeftEngines:
    """Engines that have left the list lately; they may serve their runs for some time."""

    def __init__(self) -> None:
        self._left: dict[str, LeftEngine] = {}

    def record(
        self, engines: Iterable[BackendInstance], *, listed: Collection[str], now_s: float
    ) -> None:
        """Add engines that are not listed any more; forget those that are, and old ones."""
        for engine in engines:
            self._left.setdefault(engine.key, LeftEngine(engine=engine, since_s=now_s))
        for key, left in list(self._left.items()):
            if key in listed or now_s - left.since_s > _LEFT_KEPT_S:
                del self._left[key]

    def get(self, key: str) -> LeftEngine | None:
        """Return an engine that has left, or None."""
        return self._left.get(key)

    def decodes(self, version: str) -> list[LeftEngine]:
        """Return the decode engines of a software version that have left."""
        return [
            left
            for left in self._left.values()
            if left.engine.software_version == version and left.engine.role is EngineRole.DECODE
        ]
