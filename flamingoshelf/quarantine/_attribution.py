"""Attribution of crashes to what the requests at the crashed servers had in common."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import TypeVar

import attrs

__all__ = ["Culprit", "attribute_crashes"]

CrashT = TypeVar("CrashT")

_CRASHES_TO_BLAME = 2
# Servers that fail together, as those of one rack, crash within this time whatever they run.
_SAME_MOMENT_S = 0.1
_SUSPICION_LIFETIME_S = 120.0  # crashes further apart are not held against the same key


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

    def remains_until_s(self, lifetime_s: float) -> float:
        """Return when too few crashes are left, if each counts for `lifetime_s`."""
        return self.crash_times_s[-_CRASHES_TO_BLAME] + lifetime_s


def attribute_crashes(
    suspected: Mapping[CrashT, Iterable[str]], times_s: Mapping[CrashT, float]
) -> list[Culprit]:
    """Return the culprits that explain the crashes, those of most crashes first.

    A crash is attributed to the key that is suspected in most crashes; its other suspects are then
    innocent of it. Of keys of equally many but different crashes, those are blamed that have
    enough crashes without the others.

    Parameters
    ----------
    suspected : mapping
        Keys suspected of each crash.
    times_s : mapping
        Time in seconds of each crash.

    Examples
    --------
    >>> suspected = {1: ["a", "b"], 2: ["b", "c"], 3: ["c"]}
    >>> [sorted(c.keys) for c in attribute_crashes(suspected, {1: 0.0, 2: 5.0, 3: 9.0})]
    []
    >>> suspected[4] = ["b"]
    >>> [sorted(c.keys) for c in attribute_crashes(suspected, {1: 0.0, 2: 5.0, 3: 9.0, 4: 12.0})]
    [['b']]
    """
    crashes_by_key: dict[str, set[CrashT]] = defaultdict(set)
    for crash, keys in suspected.items():
        for key in keys:
            crashes_by_key[key].add(crash)
    culprits = []
    while crashes_by_key:
        weights = {
            key: (_count_repeats(times_s[crash] for crash in crashes), len(crashes))
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
            others = [other for other in keys_by_crashes if other != crashes]
            own = crashes.difference(*others)
            if _count_repeats(times_s[crash] for crash in own) >= _CRASHES_TO_BLAME:
                times = tuple(sorted(times_s[crash] for crash in crashes))
                culprits.append(Culprit(keys=frozenset(found), crash_times_s=times))
        explained = frozenset().union(*keys_by_crashes)
        crashes_by_key = {
            key: left for key, crashes in crashes_by_key.items() if (left := crashes - explained)
        }
    return culprits


def _count_repeats(times_s: Iterable[float]) -> int:
    """Return the number of crashes in the longest series without a long gap.

    Crashes at the same moment count once.
    """
    longest = series = 0
    previous_s = float("-inf")
    for time_s in sorted(times_s):
        if time_s - previous_s < _SAME_MOMENT_S:
            continue
        series = series + 1 if time_s - previous_s <= _SUSPICION_LIFETIME_S else 1
        longest = max(longest, series)
        previous_s = time_s
    return longest
