"""Server selection by running calls, without servers that fail or are silent."""

import math
import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

import attrs
from loguru import logger

from flamingoshelf.utils import now_s

__all__ = ["EjectionRule", "Server", "ServerSelector"]

# Remote servers are used if every local one has at least this many running calls more than the
# least busy remote one.
_SPILL_CALLS = 8
_CHOICE_COUNT = 2  # choosing the less busy of two random servers balances the load
# A silent server gets one call per interval, which is a share of its silence so far: the end of a
# short silence is noticed soon, and a long one delays few callers.
_PROBE_SHARE = 0.25
_MIN_PROBE_INTERVAL_S = 0.1
_MAX_PROBE_INTERVAL_S = 5.0


class Server(Protocol):
    """Properties of a server that the selection uses."""

    @property
    def key(self) -> str:
        """Identity of the server."""

    @property
    def data_centre(self) -> str:
        """Data centre of the server."""

    @property
    def accepts_new_work(self) -> bool:
        """Whether the server may be chosen for new work."""


ServerT = TypeVar("ServerT", bound=Server)


@attrs.frozen(kw_only=True)
class EjectionRule:
    """When a server is ejected, and for how long.

    Parameters
    ----------
    failures : int
        Consecutive failures that eject a server.
    first_ejection_s, max_ejection_s : float
        Length of the first ejection in seconds; each consecutive one lasts twice as long, up to
        the maximum.
    max_ejected_share : float
        Largest share of a pool's live servers that may be avoided at the same time, because they
        are ejected or silent.
    """

    failures: int = 5
    first_ejection_s: float = 5.0
    max_ejection_s: float = 60.0
    max_ejected_share: float = 0.5


@attrs.define(kw_only=True)
class _Record:
    """Running calls, failures, ejections and silence of one server, as seen by this node.

    Attributes
    ----------
    answered_s : float
        Time of the last answer, kept only as long as the record.
    silent_since_s : float or None
        Start of the call that showed the silence, or None if the server is not silent.
    probe_s : float
        Time from which a silent server may be chosen again.
    """

    running: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    answered_s: float = attrs.field(default=-math.inf, eq=False)
    silent_since_s: float | None = None
    probe_s: float = 0.0

    @property
    def avoided_until_s(self) -> float:
        """Time until which the server is chosen only if there is no other."""
        return max(self.ejected_until_s, self.probe_s)


_EMPTY_RECORD = _Record()


class ServerSelector:
    """Chooses servers by their running calls, those of the local data centre first.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    rule : EjectionRule
        When a server is ejected.
    random_source : random.Random
        Source of the random choices and of the jitter of ejection times.

    Notes
    -----
    Each node only takes its own calls into account. Ejection times have jitter, so that the nodes
    do not return to a server at the same time. The first call after an ejection decides: a failure
    ejects the server again, a success resets its record.

    A silent server may be sound, so it is avoided only for an interval that grows with its silence.
    The next call to it starts another interval. An answer, also to an earlier call, ends the
    silence.
    """

    def __init__(
        self, *, data_centre: str, rule: EjectionRule, random_source: random.Random
    ) -> None:
        self._data_centre = data_centre
        self._rule = rule
        self._random = random_source
        self._records: dict[str, _Record] = {}

    def choose(
        self, servers: Sequence[Server], *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the key of the server for a new call, or None if no untried server is left.

        Servers that take no new work are never chosen, ejected and silent ones only if there is no
        other.
        """
        usable = self.usable(servers, tried=tried)
        if not usable:
            return None
        return self._least_busy(self._prefer_local(usable)).key

    def usable(
        self, servers: Sequence[ServerT], *, tried: frozenset[str] = frozenset()
    ) -> list[ServerT]:
        """Return the untried servers that may be chosen for a new call."""
        live = [server for server in servers if server.accepts_new_work]
        untried = [server for server in live if server.key not in tried]
        avoided = self._avoided_keys(live)
        return [server for server in untried if server.key not in avoided] or untried

    def start_call(self, key: str) -> None:
        """Record the start of a call; at a silent server it is the only one for an interval."""
        record = self._get_or_add_record(key)
        record.running += 1
        self._delay_probe(record)

    def record_silence(self, key: str, *, since_s: float) -> None:
        """Record that a call is overdue that was sent at `since_s`.

        The server counts as silent if it has answered no call since then.
        """
        record = self._get_or_add_record(key)
        if record.answered_s > since_s:
            return
        if record.silent_since_s is None:
            record.silent_since_s = since_s
            logger.bind(step="servers", peer=key, silent_s=round(now_s() - since_s, 3)).info(
                "backend server silent; others are preferred"
            )
        self._delay_probe(record)

    def forget(self, key: str) -> None:
        """Forget failures and silence of a server, as it is called in another way from now on."""
        record = self._records.get(key)
        if record is None:
            return
        if record.running:
            self._records[key] = _Record(running=record.running)
        else:
            del self._records[key]

    def end_call(self, key: str, *, is_failure: bool | None) -> None:
        """Record the end of a call; `is_failure` is None if it says nothing about the server."""
        record = self._get_or_add_record(key)
        record.running -= 1
        if is_failure:
            self._record_failure(record)
        elif is_failure is False:
            self._record_answer(key, record)
        if record == _Record():
            del self._records[key]

    def _record_answer(self, key: str, record: _Record) -> None:
        record.failures = 0
        record.ejections = 0
        record.ejected_until_s = 0.0
        record.answered_s = now_s()
        if record.silent_since_s is not None:
            silent_s = round(now_s() - record.silent_since_s, 3)
            logger.bind(step="servers", peer=key, silent_s=silent_s).info(
                "backend server answers again"
            )
        record.silent_since_s = None
        record.probe_s = 0.0

    def _delay_probe(self, record: _Record) -> None:
        """Avoid a silent server for another interval."""
        if record.silent_since_s is None:
            return
        share_s = _PROBE_SHARE * (now_s() - record.silent_since_s)
        interval_s = min(max(share_s, _MIN_PROBE_INTERVAL_S), _MAX_PROBE_INTERVAL_S)
        record.probe_s = now_s() + interval_s

    def _record_failure(self, record: _Record) -> None:
        record.failures += 1
        if record.failures >= self._rule.failures and record.ejected_until_s <= now_s():
            self._eject(record)

    def _eject(self, record: _Record) -> None:
        """Eject a server; its next failure after the ejection ejects it again."""
        length_s = min(self._rule.max_ejection_s, self._rule.first_ejection_s * 2**record.ejections)
        record.ejected_until_s = now_s() + length_s * (0.75 + self._random.random() / 2)
        record.ejections += 1
        record.failures = self._rule.failures - 1

    def _avoided_keys(self, live: Sequence[Server]) -> set[str]:
        """Return the keys of the servers that are ejected or silent.

        Above the maximum share, only those that are to be avoided longest are returned.
        """
        now = now_s()
        until_s = {server.key: self._peek_record(server.key).avoided_until_s for server in live}
        keys = [key for key in until_s if until_s[key] > now]
        keys.sort(key=until_s.__getitem__, reverse=True)
        return set(keys[: int(len(live) * self._rule.max_ejected_share)])

    def _prefer_local(self, servers: Sequence[Server]) -> Sequence[Server]:
        """Return the local servers, or the remote ones if all local ones are much busier."""
        local = [server for server in servers if server.data_centre == self._data_centre]
        remote = [server for server in servers if server.data_centre != self._data_centre]
        if not local or not remote:
            return servers
        if (
            min(map(self._running_calls, local))
            >= min(map(self._running_calls, remote)) + _SPILL_CALLS
        ):
            return remote
        return local

    def _least_busy(self, servers: Sequence[Server]) -> Server:
        """Return the least busy of a few randomly chosen servers."""
        choices = self._random.sample(list(servers), min(_CHOICE_COUNT, len(servers)))
        return min(choices, key=self._running_calls)

    def _running_calls(self, server: Server) -> int:
        return self._peek_record(server.key).running

    def _peek_record(self, key: str) -> _Record:
        """Return the record of a server without creating one."""
        return self._records.get(key, _EMPTY_RECORD)

    def _get_or_add_record(self, key: str) -> _Record:
        """Return the record of a server, created if missing.

        `end_call` drops the record of an idle server that neither fails nor is silent.
        """
        return self._records.setdefault(key, _Record())
