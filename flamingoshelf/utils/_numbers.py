"""Conversion of numbers for JSON documents."""

import math

__all__ = ["finite_or_none"]


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
