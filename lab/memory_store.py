"""In-memory object service with faults, for tests under a simulated clock."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from enum import Enum, auto

from flamingoshelf.base import VersionedObject
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError
from flamingoshelf.utils import now_s

__all__ = ["MemoryObjectService", "StoreFault"]


_CALL_DURATION_S = 0.001


class StoreFault(Enum):
    """Fault of one call.

    ``REFUSED`` and ``LOST_REQUEST`` fail the call without an effect, ``LOST_ANSWER`` after its
    effect; ``LATE_WRITE`` fails a write that takes effect later; ``STALE_READ`` returns the
    previous version.
    """

    NONE = auto()
    REFUSED = auto()
    LOST_REQUEST = auto()
    LOST_ANSWER = auto()
    LATE_WRITE = auto()
    STALE_READ = auto()


class MemoryObjectService:
    """In-memory implementation of `flamingoshelf.base.ObjectService`.

    Parameters
    ----------
    late_write_s : float
        Seconds after which a late write takes effect; its call fails immediately.
    """

    def __init__(self, *, late_write_s: float = 0.5) -> None:
        self._late_write_s = late_write_s
        self._objects: dict[str, VersionedObject] = {}
        self._previous: dict[str, VersionedObject] = {}
        self._next_version = 1
        self._changed = asyncio.Event()
        self._late_writes: set[asyncio.Task[None]] = set()
        self.is_down = False
        self.faults: list[StoreFault] = []
        self.calls: Counter[str] = Counter()
        self.written_keys: list[str] = []

    async def get(self, key: str) -> VersionedObject | None:
        """Return the object, or None if there is none."""
        await asyncio.sleep(_CALL_DURATION_S)
        fault = self._start_call("read")
        if fault in (StoreFault.LOST_REQUEST, StoreFault.LOST_ANSWER):
            raise ObjectServiceError("answer lost", step="get")
        if fault is StoreFault.STALE_READ:
            return self._previous.get(key)
        return self._objects.get(key)

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write `value` if the object has `expected_version` (0: absent); return the version."""
        if len(value) > 1_000_000:
            raise ValueError(f"value has {len(value)} bytes; at most 1000000 are allowed")
        await asyncio.sleep(_CALL_DURATION_S)
        fault = self._start_call("write")
        if fault is StoreFault.LOST_REQUEST:
            raise OutcomeUnknownError("request lost", step="put")
        if fault is StoreFault.LATE_WRITE:
            self._schedule_late_write(key, value, expected_version)
            raise OutcomeUnknownError("request late", step="put")
        version = self._write(key, value, expected_version)
        if fault is StoreFault.LOST_ANSWER:
            raise OutcomeUnknownError("answer lost", step="put")
        return version

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete the object if it has `expected_version`."""
        fault = self._start_call("write")
        if fault is StoreFault.LOST_REQUEST:
            raise OutcomeUnknownError("request lost", step="delete")
        self._check_version(key, expected_version, step="delete")
        del self._objects[key]
        if fault is StoreFault.LOST_ANSWER:
            raise OutcomeUnknownError("answer lost", step="delete")

    async def keys(self, prefix: str) -> Sequence[str]:
        """Return the sorted names that begin with `prefix`."""
        if self._start_call("list") in (StoreFault.LOST_REQUEST, StoreFault.LOST_ANSWER):
            raise ObjectServiceError("answer lost", step="keys")
        return sorted(key for key in self._objects if key.startswith(prefix))

    async def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> VersionedObject | None:
        """Return the object once its version exceeds `after_version`, or None after the timeout."""
        self._start_call("watch", takes_fault=False)
        deadline_s = now_s() + timeout_s
        while True:
            found = self._objects.get(key)
            if found is not None and found.version > after_version:
                return found
            remaining_s = deadline_s - now_s()
            if remaining_s <= 0:
                return None
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                return None
            if self.is_down:
                raise ObjectServiceError("down", step="watch")

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; waiting watches fail when it begins."""
        self.is_down = is_down
        self._notify_watches()

    async def wait_for_late_writes(self) -> None:
        """Wait until all late writes have taken effect or failed."""
        await asyncio.gather(*self._late_writes)

    def _start_call(self, kind: str, *, takes_fault: bool = True) -> StoreFault:
        self.calls[kind] += 1
        fault = self.faults.pop(0) if takes_fault and self.faults else StoreFault.NONE
        if self.is_down or fault is StoreFault.REFUSED:
            raise ObjectServiceError("down", step=kind)
        return fault

    def _check_version(self, key: str, expected_version: int, *, step: str) -> None:
        found = self._objects.get(key)
        if (0 if found is None else found.version) != expected_version:
            raise ConflictError(f"{key} has another version", step=step)

    def _write(self, key: str, value: bytes, expected_version: int) -> int:
        self._check_version(key, expected_version, step="put")
        if key in self._objects:
            self._previous[key] = self._objects[key]
        version = self._next_version
        self._next_version += 1
        self._objects[key] = VersionedObject(key=key, value=value, version=version)
        self.written_keys.append(key)
        self._notify_watches()
        return version

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _schedule_late_write(self, key: str, value: bytes, expected_version: int) -> None:
        async def write() -> None:
            await asyncio.sleep(self._late_write_s)
            try:
                self._write(key, value, expected_version)
            except ConflictError:
                return

        task = asyncio.create_task(write())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)
