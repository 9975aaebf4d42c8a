"""Decoding of the registry entries that backend servers write about themselves."""

import ipaddress
import math
from typing import Any

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.routing import BackendInstance, EngineRole, InstanceState

__all__ = ["EVACUATION_KIND", "INSTANCE_KIND", "decode_instance"]

INSTANCE_KIND = "servers"
EVACUATION_KIND = "evacuations"  # objects named after the zones to evacuate

_MAX_NUMBER = 2**53  # the largest that JSON keeps in every language
_MAX_PORT, _MAX_PORT_DIGITS = 65535, 5

_STATE_BY_NAME = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}
_ROLE_BY_STAGE = {"prefill": EngineRole.PREFILL, "decode": EngineRole.DECODE}


def decode_instance(name: str, document: Any) -> BackendInstance:
    """Return the backend server that a registry entry describes.

    Raises
    ------
    ConfigurationError
        A required field is missing, or a field has an invalid type or value.
    """
    try:
        stage = document.get("stage")
        return BackendInstance(
            instance_id=_token(name),
            service=_text(document["service"]),
            address=_address(document["address"]),
            data_centre=_text(document["zone"]),
            state=_STATE_BY_NAME[document["state"]],
            slots=_count(document["slots"]),
            role=None if stage is None else _ROLE_BY_STAGE[stage],
            started_ms=_count(document.get("born") or 0),  # "born" is the start as Unix time in ms
            software_version=_text(document["version"]),  # of the software, not of the weights
            cold_s=_cold_s(document.get("coldLeftMs")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigurationError(repr(error), step="decode server", peer=name) from error


def _count(value: Any) -> int:
    """Return a number that is at least 0 and not larger than any count or time in ms."""
    number = int(value)
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"{number!r:.40} is out of range")
    return number


def _cold_s(value: Any) -> float | None:
    """Return milliseconds as seconds; an odd value makes no entry unreadable."""
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        return math.nan
    return max(-1, min(value, _MAX_NUMBER)) / 1000


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _token(value: str) -> str:
    """Return a name that can be the value of a header."""
    if not value or not value.isascii() or not value.isprintable() or " " in value:
        raise ValueError(f"{value!r:.40} is not a name")
    return value


def _address(value: Any) -> str:
    """Return an ``ip:port``."""
    host, _, port = _text(value).rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{value!r:.40} has no valid port")
    ipaddress.ip_address(host)
    return str(value)
