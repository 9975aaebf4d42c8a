"""Helpers for numbers."""

import math
from collections.abc import Collection, Iterable

__all__ = ["finite_or_none", "mean", "median"]


def finite_or_none(value: float, *, digits: int = 3) -> float | None:
    """Return `value` rounded to `digits` decimals, or None if not finite; JSON has no infinity.

    Examples
    --------
    >>> finite_or_none(0.12345)
    0.123
    >>> finite_or_none(float("inf")) is None
    True
    """
    return round(value, digits) if math.isfinite(value) else None


def mean(values: Collection[float]) -> float:
    """Return the arithmetic mean of at least one value, without `statistics` as `median` is."""
    return math.fsum(values) / len(values)


def median(values: Iterable[float]) -> float:
    """Return the median; `statistics` imports modules that take a node's memory for nothing.

    Raises
    ------
    ValueError
        There are no values.

    Examples
    --------
    >>> median([3.0, 1.0, 2.0])
    2.0
    >>> median([4.0, 1.0, 2.0, 3.0])
    2.5
    """
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no values")
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
