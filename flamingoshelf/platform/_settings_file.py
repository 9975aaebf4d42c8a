"""Reading and validation of the platform's settings file.

The file has lines of the form ``a.b=value``; lists are separated by commas and lines that begin
with ``#`` are comments. Unknown fields are ignored, because the platform may add fields.
"""

import math
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway import GatewaySettings

__all__ = ["check_settings", "load_settings"]

# Intervals between the heartbeats of a server after which its entry is removed, and one for the
# moment of the last one.
_SILENT_HEARTBEATS = 4


def load_settings(path: Path) -> GatewaySettings:
    """Read, validate and return the settings in the file at `path`.

    Raises
    ------
    ConfigurationError
        The file can't be read, or a field is invalid. The message lists every invalid field with
        its value and the valid values.
    """
    try:
        text = path.read_text()
    except (OSError, ValueError) as error:
        message = f"{path}: can't be read: {error}"
        raise ConfigurationError(message, step="settings", peer=str(path)) from error
    return check_settings(text, source=str(path))


def check_settings(text: str, *, source: str) -> GatewaySettings:
    """Return the settings in `text`; raise the errors of `load_settings`.

    `source` names the origin of `text` in error messages.
    """
    fields = _FieldParser(_split_lines(text))
    values: dict[str, Any] = {
        "node_name": fields.required("nodeName", _text),
        "data_centre": fields.required("zone", _text),
        "caller_address": fields.required("bind.front", _address),
        "readiness_address": fields.required("bind.ready", _address),
        "peer_address": fields.required("bind.control", _address),
        "store_address": fields.required("platform.address", _address),
        "is_first_start": fields.optional("bootstrap", _flag, False),
        # Time from the announcement of a stop until the process is killed.
        "shutdown_grace_s": fields.optional("bounds.graceS", _positive, 8.0),
        "order_lease_s": fields.optional("bounds.leaseMs", _milliseconds, 3.0),
        "drain_s": fields.optional("bounds.drainMs", _milliseconds, 2.0),
        "server_silence_s": _SILENT_HEARTBEATS
        * (fields.optional("heartbeatMs", _milliseconds, 1.5) or 0.0),
        "retry_ratio": fields.optional("bounds.retryRatio", _ratio, 0.2),
        "retry_window_s": fields.optional("bounds.retryWindowS", _positive, 10.0),
        "retry_reserve": fields.optional("bounds.retrySlack", _not_negative, 20.0),
        "processor_share": fields.optional("limits.cpuShare", _positive, 1.0),
        # Despite its name, a speed relative to a usual core, not a number of cores.
        "processor_speed": fields.optional("limits.cores", _positive, 1.0),
        "link_mbit_s": fields.optional("limits.linkMbps", _positive, 1000.0),
        "memory_bytes": fields.optional("limits.memoryMb", _megabytes, math.inf),
        "limit_excess": fields.optional("bounds.quotaExcess", _ratio, 0.0),
        "limit_slack_tokens": fields.optional("bounds.quotaSlack", _not_negative, 0.0),
        # Without these fields, data centres are not evacuated and servers are never cold.
        "evacuation_s": fields.optional("bounds.evacMs", _milliseconds, None),
        "cold_excess": fields.optional("bounds.coldExcess", _not_negative, None),
        "cold_slack": fields.optional("bounds.coldSlack", _not_negative, None),
    }
    if fields.errors:
        lines = "\n".join(f"{source}: {error}" for error in fields.errors)
        raise ConfigurationError(lines, step="settings", peer=source)
    return GatewaySettings(**values)


def _split_lines(text: str) -> dict[str, str]:
    pairs = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            pairs[name.strip()] = value.strip()
    return pairs


class _FieldParser:
    """Parse fields of the file and collect the errors found in them."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values
        self.errors: list[str] = []

    def required(self, name: str, parse: Callable[[str], Any]) -> Any:
        """Return the value of a field, or record an error if it is missing or invalid."""
        if name not in self._values:
            self.errors.append(f"{name}: is missing")
            return None
        return self._parse(name, parse)

    def optional(self, name: str, parse: Callable[[str], Any], default: Any) -> Any:
        """Return the value of a field, or `default` if it is missing or empty."""
        return self._parse(name, parse) if self._values.get(name) else default

    def _parse(self, name: str, parse: Callable[[str], Any]) -> Any:
        value = self._values[name]
        try:
            return parse(value)
        except ValueError as error:
            self.errors.append(f"{name}: {value!r} is not valid; expected {error}")
            return None


def _text(value: str) -> str:
    if not value:
        raise ValueError("a text")
    return value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("ip:port")
    return value


def _flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError("true or false")
    return value == "true"


def _number(value: str, *, low: float, expected: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not number >= low or number == float("inf"):
        raise ValueError(expected)
    return number


def _not_negative(value: str) -> float:
    return _number(value, low=0.0, expected="a number of 0 or more")


def _positive(value: str) -> float:
    number = _not_negative(value)
    if number == 0:
        raise ValueError("a number above 0")
    return number


def _ratio(value: str) -> float:
    number = _not_negative(value)
    if number > 1:
        raise ValueError("a number in [0, 1]")
    return number


def _megabytes(value: str) -> float:
    return _positive(value) * 1e6


def _milliseconds(value: str) -> float:
    return _not_negative(value) / 1000
