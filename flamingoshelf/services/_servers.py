"""What this node sees of the servers: running calls, failures and ejections."""

import random
from collections.abc import Sequence

import attrs

from flamingoshelf.objects import BackendServer, BackendState
from flamingoshelf.utils import now_s

__all__ = ["EjectionRule", "ServerBoard"]

_SPILL_CALLS = 8
_CHOICES = 2


@attrs.frozen(kw_only=True)
class EjectionRule:
    """When a server is left out for a time.

    Parameters
    ----------
    failures : int
        Failures in a row that eject a server.
    first_s, longest_s : float
        Length of the first ejection; each further one in a row lasts twice as long, up to the
        longest.
    largest_share : float
        Largest share of a pool's live servers that is left out.
    """

    failures: int = 5
    first_s: float = 5.0
    longest_s: float = 60.0
    largest_share: float = 0.5


@attrs.define(kw_only=True)
class _Record:
    running: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


_UNSEEN = _Record()


class ServerBoard:
    """Chooses servers by the calls that run at them, nearest data centre first.

    Parameters
    ----------
    data_centre : str
        Data centre of this node.
    rule : EjectionRule
        When a server is left out.
    random_source : random.Random
        Source of the two choices and of the spread of ejection times.

    Notes
    -----
    Every node judges by its own calls alone. Ejection times are spread by chance, so that the
    nodes do not return to a server at the same moment. The first call after an ejection decides:
    one failure ejects again.
    """

    def __init__(
        self, *, data_centre: str, rule: EjectionRule, random_source: random.Random
    ) -> None:
        self._data_centre = data_centre
        self._rule = rule
        self._random = random_source
        self._records: dict[str, _Record] = {}

    def choose(
        self, servers: Sequence[BackendServer], *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the address of the server for a new call; None if all were tried.

        Leaving servers are never chosen. Ejected ones are chosen only when there is no other.
        """
        live = [server for server in servers if server.state is BackendState.LIVE]
        untried = [server for server in live if server.address not in tried]
        ejected = self._ejected(live)
        usable = [server for server in untried if server.address not in ejected] or untried
        if not usable:
            return None
        return self._least_busy(self._near(usable)).address

    def begin(self, address: str) -> None:
        """Note the start of a call."""
        self._record(address).running += 1

    def end(self, address: str, *, is_failure: bool | None) -> None:
        """Note the end of a call; `is_failure` is None if it says nothing about the server."""
        record = self._record(address)
        record.running -= 1
        if is_failure:
            self._note_failure(record)
        elif is_failure is False:
            record.failures = 0
            record.ejections = 0
            record.ejected_until_s = 0.0
        if record == _Record():
            del self._records[address]

    def _note_failure(self, record: _Record) -> None:
        record.failures += 1
        if record.failures >= self._rule.failures and record.ejected_until_s <= now_s():
            self._eject(record)

    def _eject(self, record: _Record) -> None:
        length_s = min(self._rule.longest_s, self._rule.first_s * 2**record.ejections)
        record.ejected_until_s = now_s() + length_s * (0.75 + self._random.random() / 2)
        record.ejections += 1
        record.failures = self._rule.failures - 1

    def _ejected(self, live: Sequence[BackendServer]) -> set[str]:
        """Return the ejected servers, those ejected longest, within the largest share."""
        now = now_s()
        found = [
            server.address for server in live if self._record(server.address).ejected_until_s > now
        ]
        found.sort(key=lambda address: self._seen(address).ejected_until_s, reverse=True)
        return set(found[: int(len(live) * self._rule.largest_share)])

    def _near(self, servers: Sequence[BackendServer]) -> Sequence[BackendServer]:
        """Return the servers of this data centre unless each has many more calls than others."""
        near = [server for server in servers if server.data_centre == self._data_centre]
        far = [server for server in servers if server.data_centre != self._data_centre]
        if not near or not far:
            return servers
        if min(map(self._running, near)) >= min(map(self._running, far)) + _SPILL_CALLS:
            return far
        return near

    def _least_busy(self, servers: Sequence[BackendServer]) -> BackendServer:
        choices = self._random.sample(list(servers), min(_CHOICES, len(servers)))
        return min(choices, key=self._running)

    def _running(self, server: BackendServer) -> int:
        return self._seen(server.address).running

    def _seen(self, address: str) -> _Record:
        return self._records.get(address, _UNSEEN)

    def _record(self, address: str) -> _Record:
        """Return the record of a server; those of idle servers without failures are not kept."""
        return self._records.setdefault(address, _Record())
