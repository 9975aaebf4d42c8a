"""Decoding of the registry entries that backend servers write about themselves."""

from typing import Any

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.routing import BackendInstance, EngineRole, InstanceState

__all__ = ["INSTANCE_KIND", "decode_instance"]

INSTANCE_KIND = "servers"

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
            instance_id=name,
            service=_text(document["service"]),
            address=_address(document["address"]),
            data_centre=_text(document["zone"]),
            state=_STATE_BY_NAME[document["state"]],
            slots=int(document["slots"]),
            role=None if stage is None else _ROLE_BY_STAGE[stage],
            started_ms=int(document.get("born") or 0),  # "born" is the start as Unix time in ms
            software_version=_text(document["version"]),  # of the software, not of the weights
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigurationError(repr(error), step="decode server", peer=name) from error


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{value!r} is not an address of the form host:port")
    return str(value)
