"""Validators whose errors state the parameter's name, value and valid range."""

import re
from collections.abc import Collection

__all__ = ["check_choice", "check_name", "check_positive", "check_range"]

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")


def check_range(name: str, value: float, *, low: float, high: float) -> float:
    """Return `value` if it lies in ``[low, high]``.

    Raises
    ------
    ValueError
        Otherwise, naming the parameter, its value and the range.

    Examples
    --------
    >>> check_range("share", 0.5, low=0, high=1)
    0.5
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ValueError(f"{name} is {value!r}; it must be a number in [{low}, {high}]")
    return value


def check_positive(name: str, value: float) -> float:
    """Return `value` if it is a number above zero.

    Raises
    ------
    ValueError
        Otherwise, naming the parameter and its value.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ValueError(f"{name} is {value!r}; it must be a number above 0")
    return value


def check_choice(name: str, value: str, *, choices: Collection[str]) -> str:
    """Return `value` if it is one of `choices`.

    Raises
    ------
    ValueError
        Otherwise, naming the parameter, its value and the choices.
    """
    if value not in choices:
        raise ValueError(f"{name} is {value!r}; it must be one of {', '.join(sorted(choices))}")
    return value


def check_name(name: str, value: str) -> str:
    """Return `value` if it is a valid object name.

    A name has 1 to 63 lower-case letters, digits, dots, hyphens or underscores, and starts and
    ends with a letter or a digit.

    Raises
    ------
    ValueError
        Otherwise, naming the parameter and its value.

    Examples
    --------
    >>> check_name("workspace", "pokhara-lot")
    'pokhara-lot'
    """
    if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{name} is {value!r}; it must have 1 to 63 characters of a-z, 0-9, '.', '_', '-' "
            "and start and end with a letter or digit"
        )
    return value
