"""The engines of one service, with what is counted of each."""

from collections.abc import Callable, Iterable, Sequence

import attrs
from loguru import logger

from flamingoshelf.placement._health import FailureKind, HealthBook
from flamingoshelf.placement._ledgers import DecodeLedger, PrefillLedger
from flamingoshelf.routing import BackendInstance, EngineProfile, EngineRole

__all__ = ["EngineTable"]


_REMEMBER_INTERVAL_S = 0.1  # reports are 0.9 s old, so their age is known to a ninth


class EngineTable:
    """Engines by identity.

    Parameters
    ----------
    instances : callable
        Returns the engines that take new work.
    profile : callable
        Returns what an engine can hold, or None if the service is not configured.
    """

    def __init__(
        self,
        *,
        instances: Callable[[], Sequence[BackendInstance]],
        profile: Callable[[], EngineProfile | None],
    ) -> None:
        self._instances = instances
        self._profile = profile
        self._listed: dict[str, BackendInstance] = {}
        self._prefill: dict[str, PrefillLedger] = {}
        self._decode: dict[str, DecodeLedger] = {}
        self._health = HealthBook()
        self._changing_until_s: dict[str, float] = {}
        self._future_role: dict[str, EngineRole] = {}
        self._now_s = 0.0
        self._remembered_s = float("-inf")
        self._usable: dict[EngineRole, list[BackendInstance]] = {}
        self._sized_for: EngineProfile | None = None

    def refresh(self, now_s: float) -> None:
        """Take over the list of engines."""
        self._now_s = now_s
        listed = {engine.key: engine for engine in self._instances()}
        for key in self._listed.keys() - listed.keys():
            self._health.forget(key)
        for key, engine in listed.items():
            known = self._listed.get(key)
            if known is not None and (known.started_ms, known.role) != (
                engine.started_ms,
                engine.role,
            ):
                self.prefill(key).clear()
                self.decode(key).clear()
                self._health.forget(key)
                self._end_change(key)
        for key, until_s in list(self._changing_until_s.items()):
            if until_s <= now_s:
                self._end_change(key)
        self._listed = listed
        self._usable.clear()
        if self._profile() != self._sized_for:
            self._sized_for = self._profile()
            for ledger in self._decode.values():
                self._resize(ledger)
        if now_s >= self._remembered_s + _REMEMBER_INTERVAL_S:
            self._remembered_s = now_s
            for engine in self.usable_decodes():
                ledger = self.decode(engine.key)
                ledger.drop_abandoned(now_s)
                ledger.remember(now_s)

    @property
    def has_prefill(self) -> bool:
        """Whether any engine processes prompts for others."""
        return any(engine.role is EngineRole.PREFILL for engine in self._listed.values())

    def prefill(self, key: str) -> PrefillLedger:
        """Return what is counted of a prefill engine."""
        ledger = self._prefill.get(key)
        if ledger is None:
            ledger = self._prefill[key] = PrefillLedger()
        return ledger

    def decode(self, key: str) -> DecodeLedger:
        """Return what is counted of a decode engine."""
        ledger = self._decode.get(key)
        if ledger is None:
            ledger = self._decode[key] = DecodeLedger()
            self._resize(ledger)
        return ledger

    def listed_keys(self) -> frozenset[str]:
        """Return the identities of the listed engines."""
        return frozenset(self._listed)

    def unchanging(self) -> list[BackendInstance]:
        """Return the listed engines, those that change in the role that they will have."""
        return [
            attrs.evolve(engine, role=self._future_role.get(key, engine.role))
            for key, engine in self._listed.items()
        ]

    def memory_load(self, now_s: float) -> float:
        """Return the part of the decode memory that is in use."""
        shares = [self.decode(engine.key).free_share(now_s) for engine in self.usable_decodes()]
        return 1 - sum(shares) / len(shares) if shares else 0.0

    def speeds(self) -> tuple[float, float, int]:
        """Return the mean speeds of prefill and decode engines and a decode engine's memory."""
        prefills = [self.prefill(engine.key).tokens_s for engine in self.usable_prefills()]
        decodes = [self.decode(engine.key).s_per_token for engine in self.usable_decodes()]
        profile = self._profile()
        return (
            sum(prefills) / len(prefills) if prefills else PrefillLedger().tokens_s,
            sum(decodes) / len(decodes) if decodes else DecodeLedger().s_per_token,
            0 if profile is None else profile.kv_tokens,
        )

    def note_role_change(self, key: str, *, role: EngineRole, slack_s: float) -> None:
        """Give an engine no work while it changes its role."""
        profile = self._profile()
        change_s = 0.0 if profile is None else profile.role_change_s
        self._changing_until_s[key] = self._now_s + change_s + slack_s
        self._future_role[key] = role
        self._usable.clear()

    def usable_prefills(self, *, avoid: Iterable[str] = ()) -> list[BackendInstance]:
        """Return the prefill engines that may get work, but for those in `avoid`."""
        return self._usable_engines(EngineRole.PREFILL, avoid)

    def usable_decodes(self, *, avoid: Iterable[str] = ()) -> list[BackendInstance]:
        """Return the decode engines that may get work, but for those in `avoid`."""
        return self._usable_engines(EngineRole.DECODE, avoid)

    def is_usable(self, key: str) -> bool:
        """Return whether an engine may get work."""
        return (
            key in self._listed
            and not self._is_changing(key)
            and not self._health.is_down(key, self._now_s)
        )

    def data_centre(self, key: str | None) -> str | None:
        """Return where an engine stands."""
        engine = None if key is None else self._listed.get(key)
        return None if engine is None else engine.data_centre

    def roomiest_decode(self, now_s: float, blocked: Iterable[str]) -> str | None:
        """Return the decode engine with most room beside `blocked` ones."""
        excluded = set(blocked)
        engines = [e for e in self.usable_decodes() if e.key not in excluded]
        choice = max(engines, key=lambda e: self.decode(e.key).free_tokens(now_s), default=None)
        return None if choice is None else choice.key

    def has_room_ever(self, prompt_tokens: int, expected_tokens: int) -> bool:
        """Return whether an empty decode engine could run a request."""
        return any(
            self.decode(engine.key).can_ever_fit(prompt_tokens, expected_tokens)
            for engine in self._listed.values()
            if engine.role is EngineRole.DECODE
        )

    @property
    def health(self) -> HealthBook:
        """What is believed of engines that failed requests."""
        return self._health

    def tier(self, key: str) -> int:
        """Return 0 for engines to use first, 1 and 2 for those that fail calls."""
        return self._health.tier(key, self._now_s)

    def note_failure(self, key: str, kind: FailureKind, *, detail: str) -> None:
        """Take a failed call."""
        self._health.note_failure(key, kind, now_s=self._now_s, detail=detail)
        self._usable.clear()

    def note_success(self, key: str) -> None:
        """Take a call that ended well."""
        self._health.note_success(key, now_s=self._now_s)
        self._usable.clear()

    def instance(self, key: str) -> BackendInstance | None:
        """Return a listed engine."""
        return self._listed.get(key)

    def note_rejection(self, key: str, now_s: float) -> None:
        """Give an engine no work for a time that refused some for lack of room."""
        engine = self._listed.get(key)
        if engine is not None and engine.role is EngineRole.PREFILL:
            self.prefill(key).note_rejection(now_s)
        else:
            self.decode(key).note_rejection(now_s)
        logger.bind(
            step="engine",
            peer=key,
            role=None if engine is None else engine.role,
            used_tokens=round(self.decode(key).used_tokens(now_s)),
            runs=self.decode(key).runs,
        ).info("had no room, gets no work for a time")

    def _usable_engines(self, role: EngineRole, avoid: Iterable[str]) -> list[BackendInstance]:
        usable = self._usable.get(role)
        if usable is None:
            listed = self._listed.values()
            usable = [e for e in listed if e.role is role and self.is_usable(e.key)]
            self._usable[role] = usable
        avoided = set(avoid)
        return [engine for engine in usable if engine.key not in avoided] if avoided else usable

    def _resize(self, ledger: DecodeLedger) -> None:
        if self._sized_for is not None:
            ledger.resize(capacity_tokens=self._sized_for.kv_tokens, slots=self._sized_for.slots)

    def _end_change(self, key: str) -> None:
        self._changing_until_s.pop(key, None)
        self._future_role.pop(key, None)

    def _is_changing(self, key: str) -> bool:
        return self._changing_until_s.get(key, 0.0) > self._now_s
