"""Client of the platform's versioned object service."""

import json
from collections.abc import Sequence
from urllib.parse import quote

from flamingoshelf.base import VersionedObject
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError
from flamingoshelf.object_service._http import HttpAnswer, PlatformHttpClient

__all__ = ["HttpObjectService", "MAX_VALUE_BYTES"]

MAX_VALUE_BYTES = 1_000_000


class HttpObjectService:
    """Access the object service over HTTP; implements `flamingoshelf.base.ObjectService`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the service.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._http = PlatformHttpClient(address=address)

    async def get(self, key: str) -> VersionedObject | None:
        """Return the object, or None if it does not exist."""
        answer = await self._read(f"/objects/{quote(key)}", step="get")
        return None if answer.status == 404 else _to_object(key, answer, peer=self._address)

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write `value` if the object has `expected_version` (0: absent); return the new version.

        Raises
        ------
        ValueError
            `value` is larger than the service accepts.
        ConflictError
            The object has another version.
        OutcomeUnknownError
            The write may have taken effect.
        ObjectServiceError
            Nothing was written.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value has {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed")
        answer = await self._http.call(
            "PUT",
            f"/objects/{quote(key)}",
            step="put",
            body=value,
            headers={"If-Match": str(expected_version)},
        )
        self._check_precondition(key, answer, step="put")
        return _version_of(answer, step="put", peer=self._address)

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete the object if it has `expected_version`; raise the errors of `put`."""
        answer = await self._http.call(
            "DELETE",
            f"/objects/{quote(key)}",
            step="delete",
            headers={"If-Match": str(expected_version)},
        )
        self._check_precondition(key, answer, step="delete")

    async def keys(self, prefix: str) -> Sequence[str]:
        """Return the sorted keys that begin with `prefix`."""
        answer = await self._read(f"/objects?prefix={quote(prefix, safe='')}", step="keys")
        return sorted(json.loads(answer.body))

    async def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> VersionedObject | None:
        """Return the object once its version is above `after_version`; None after `timeout_s`."""
        path = f"/objects/{quote(key)}?after={after_version}&wait={timeout_s}"
        answer = await self._read(path, step="watch", extra_timeout_s=timeout_s)
        return None if answer.status in (204, 404) else _to_object(key, answer, peer=self._address)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def _read(self, path: str, *, step: str, extra_timeout_s: float = 0.0) -> HttpAnswer:
        try:
            return await self._http.call("GET", path, step=step, extra_timeout_s=extra_timeout_s)
        except OutcomeUnknownError as error:
            raise ObjectServiceError(error.message, step=step, peer=self._address) from error

    def _check_precondition(self, key: str, answer: HttpAnswer, *, step: str) -> None:
        if answer.status == 412:
            raise ConflictError(f"{key} has another version", step=step, peer=self._address)
        if answer.status >= 300:
            message = f"status {answer.status} for {key}"
            raise ObjectServiceError(message, step=step, peer=self._address)


def _to_object(key: str, answer: HttpAnswer, *, peer: str) -> VersionedObject:
    try:
        version = _version_of(answer, step="read", peer=peer)
    except OutcomeUnknownError as error:  # a read changes nothing
        raise ObjectServiceError(error.message, step="read", peer=peer) from error
    return VersionedObject(key=key, value=answer.body, version=version)


def _version_of(answer: HttpAnswer, *, step: str, peer: str) -> int:
    """Return the version that a success states.

    Raises
    ------
    OutcomeUnknownError
        It states none: a write took effect, but at an unknown version.
    """
    text = answer.headers.get("etag") or ""
    if not text.isascii() or not text.isdigit():
        raise OutcomeUnknownError(f"success without a version: {text!r:.40}", step=step, peer=peer)
    return int(text)
