"""Attribution of crashes to what the requests at the crashed servers had in common."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import TypeVar

import attrs

__all__ = ["SUSPICION_LIFETIME_S", "Culprit", "attribute_crashes"]

CrashT = TypeVar("CrashT")

_CRASHES_TO_BLAME = 2
_MIN_REFUSAL_S = 120.0
_MAX_REFUSAL_S = 600.0
SUSPICION_LIFETIME_S = 120.0  # a crash later than this, or than this after a refusal, starts anew


@attrs.frozen(kw_only=True)
class Culprit:
    """Keys to which crashes are attributed.

    Parameters
    ----------
    keys : frozenset of str
        Keys that no evidence tells apart: each was suspected in just the same crashes. Only a
        request that has all of them is known to crash servers.
    crash_times_s : tuple of float
        Times of the crashes in seconds, in order.
    """

    keys: frozenset[str]
    crash_times_s: tuple[float, ...]

    @property
    def is_one_key(self) -> bool:
        """Whether the crashes are attributed to a single key."""
        return len(self.keys) == 1

    @property
    def refused_until_s(self) -> float:
        """Time in seconds until which requests with all keys are refused.

        It doubles with each crash beyond those that are needed, so that a wrong attribution ends
        soon and a right one costs few servers.
        """
        return self.crash_times_s[-1] + _refusal_s(len(self.crash_times_s))


def attribute_crashes(
    sent_s: Mapping[CrashT, Mapping[str, float]], crashed_s: Mapping[CrashT, float]
) -> list[Culprit]:
    """Return the culprits that explain the crashes, those of most crashes first.

    A crash is attributed to the key that is suspected in most crashes; its other suspects are then
    innocent of it. Of keys of equally many but different crashes, those are blamed that have
    enough crashes without the others.

    Parameters
    ----------
    sent_s : mapping
        Keys suspected of each crash, each with the time in seconds at which a request with that key
        was sent to the server, the last one if there were several.
    crashed_s : mapping
        Time in seconds of each crash.

    Examples
    --------
    >>> crashed_s = {1: 1.0, 2: 5.0, 3: 9.0, 4: 12.0}
    >>> sent_s = {1: {"a": 0.9, "b": 0.9}, 2: {"b": 4.9, "c": 4.9}, 3: {"c": 8.9}}
    >>> [sorted(culprit.keys) for culprit in attribute_crashes(sent_s, crashed_s)]
    []
    >>> sent_s[4] = {"b": 11.9}
    >>> [sorted(culprit.keys) for culprit in attribute_crashes(sent_s, crashed_s)]
    [['b']]
    """
    suspected: dict[str, set[CrashT]] = defaultdict(set)
    for crash, keys in sent_s.items():
        for key in keys:
            suspected[key].add(crash)

    def count_repeats(key: str, crashes: Iterable[CrashT]) -> int:
        return _count_repeats((crashed_s[crash], sent_s[crash][key]) for crash in crashes)

    # Most keys of long prompts were suspected in one crash only, for which none can be blamed.
    crashes_by_key = _suspected_repeatedly(suspected)
    culprits = []
    while crashes_by_key:
        weights = {
            key: (count_repeats(key, crashes), len(crashes))
            for key, crashes in crashes_by_key.items()
        }
        heaviest = max(weights.values())
        if heaviest[0] < _CRASHES_TO_BLAME:
            break
        keys_by_crashes: dict[frozenset[CrashT], set[str]] = defaultdict(set)
        for key, weight in weights.items():
            if weight == heaviest:
                keys_by_crashes[frozenset(crashes_by_key[key])].add(key)
        for crashes, found in keys_by_crashes.items():
            own = crashes.difference(*(other for other in keys_by_crashes if other != crashes))
            if max(count_repeats(key, own) for key in found) >= _CRASHES_TO_BLAME:
                times = tuple(sorted(crashed_s[crash] for crash in crashes))
                culprits.append(Culprit(keys=frozenset(found), crash_times_s=times))
        explained = frozenset().union(*keys_by_crashes)
        crashes_by_key = _suspected_repeatedly(
            {key: crashes - explained for key, crashes in crashes_by_key.items()}
        )
    return culprits


def _suspected_repeatedly(crashes_by_key: Mapping[str, set[CrashT]]) -> dict[str, set[CrashT]]:
    return {
        key: crashes for key, crashes in crashes_by_key.items() if len(crashes) >= _CRASHES_TO_BLAME
    }


def _count_repeats(crashes: Iterable[tuple[float, float]]) -> int:
    """Return the number of crashes in the longest series without a long gap.

    Each crash is given by its time and the time at which the suspected request was sent. One whose
    request had been sent before the previous crash doesn't count: servers that fail together, as
    those of one rack, do so whatever they run.
    """
    longest = series = 0
    previous_s = float("-inf")
    for crashed_s, sent_s in sorted(crashes):
        if sent_s < previous_s:
            continue
        is_in_series = crashed_s - previous_s <= _refusal_s(series) + SUSPICION_LIFETIME_S
        series = series + 1 if is_in_series else 1
        longest = max(longest, series)
        previous_s = crashed_s
    return longest


def _refusal_s(crashes: int) -> float:
    """Return for how long requests are refused after a number of crashes, in seconds."""
    excess = crashes - _CRASHES_TO_BLAME
    return min(_MAX_REFUSAL_S, _MIN_REFUSAL_S * 2.0**excess) if excess >= 0 else 0.0
