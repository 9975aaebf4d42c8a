"""Reads and validates a node's settings."""

import json
from pathlib import Path
from typing import Any, cast

import attrs
from jsonschema import Draft202012Validator

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.settings._schema import SETTINGS_SCHEMA

__all__ = ["Settings", "load_settings"]


@attrs.frozen(kw_only=True)
class Settings:
    """Validated settings of one node; the schema describes each field."""

    node_name: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
    object_service_address: str
    vm_list_address: str
    cluster_secret: bytes = attrs.field(repr=False)
    max_body_bytes: int
    shutdown_timeout_s: float
    readiness_notice_s: float
    vm_list_lag_s: float
    limiter: str
    placer: str
    log_format: str
    log_level: str
    tls_certificate_file: Path | None = None
    tls_key_file: Path | None = None
    tls_authority_file: Path | None = None


def load_settings(path: Path) -> Settings:
    """Return the validated settings in the file `path`.

    Raises
    ------
    ConfigurationError
        The settings are not valid; the message lists every error with file, field, value and
        valid range.
    """
    document = _read_document(path)
    errors = [_describe_error(path, error) for error in _VALIDATOR.iter_errors(document)]
    secret = b""
    if not errors:
        secret, errors = _read_secret(path, document["cluster_secret_file"])
    if errors:
        raise ConfigurationError("\n".join(sorted(errors)), step="settings", peer=str(path))
    values = {**_default_values(), **document}
    del values["cluster_secret_file"]
    for name in _PATH_FIELDS & values.keys():
        values[name] = path.parent / values[name]
    return Settings(cluster_secret=secret, **values)


_VALIDATOR = Draft202012Validator(SETTINGS_SCHEMA)
_MIN_SECRET_BYTES = 16
_PATH_FIELDS = {"tls_certificate_file", "tls_key_file", "tls_authority_file"}


def _default_values() -> dict[str, Any]:
    properties = SETTINGS_SCHEMA["properties"]
    return {name: spec["default"] for name, spec in properties.items() if "default" in spec}


def _read_document(path: Path) -> dict[str, Any]:
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        message = f"{path}: can't be read as JSON: {error}"
        raise ConfigurationError(message, step="settings", peer=str(path)) from error
    return cast(dict[str, Any], document)


def _read_secret(path: Path, name: str) -> tuple[bytes, list[str]]:
    try:
        secret = (path.parent / name).read_bytes().strip()
    except OSError as error:
        return b"", [f"{path}: cluster_secret_file: {name!r} can't be read: {error.strerror}"]
    if len(secret) < _MIN_SECRET_BYTES:
        problem = f"holds {len(secret)} bytes; it must hold at least {_MIN_SECRET_BYTES}"
        return b"", [f"{path}: cluster_secret_file: {name!r} {problem}"]
    return secret, []


def _describe_error(path: Path, error: Any) -> str:
    field = ".".join(str(part) for part in error.absolute_path) or "(top level)"
    if error.validator in ("required", "additionalProperties", "dependentRequired"):
        return f"{path}: {field}: {error.message}"
    valid = {key: value for key, value in error.schema.items() if key in _RANGE_KEYWORDS}
    return f"{path}: {field}: {error.instance!r} is not valid; expected {json.dumps(valid)}"


_RANGE_KEYWORDS = (
    "type",
    "enum",
    "pattern",
    "minimum",
    "exclusiveMinimum",
    "maximum",
    "minLength",
    "maxLength",
)
