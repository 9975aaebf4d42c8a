"""The evidence for what is refused, kept in the platform's store.

Nodes keep nothing: without a copy, a fleet whose nodes all start again would let servers crash
anew.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import cattrs
from loguru import logger

from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.quarantine._reports import CrashReport, Suspect
from flamingoshelf.quarantine._service import QuarantineService
from flamingoshelf.store import KindStore, StoreEras
from flamingoshelf.utils import TaskGroup

__all__ = ["CrashArchive"]

_CrashId = tuple[str, int, tuple[Suspect, ...]]  # server, start of its run, suspects

_KIND = "gateway-quarantine"
_NAME = "crashes"
_MAX_REPORTS = 64  # the newest ones; far more than are needed to refuse a content
_MAX_STORED_KEYS = 16_384  # of all reports, about 0.5 MB; an object of the store has at most 1 MB
_CHECK_INTERVAL_S = 1.0  # for changes that the quarantine doesn't tell, as of the coordinator
_RETRY_S = 0.5


class CrashArchive:
    """Writes the evidence for what is refused to the store, and reads it at the start.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    quarantine : QuarantineService
        Quarantine of this node.
    may_write : callable
        Returns whether this node is the one to write, so that not all nodes do.
    is_cut_off : callable
        Returns whether there are nodes that this one can't reach: they tell their crashes through
        the store only.
    eras : StoreEras
        Eras of the store; a restored store may have lost the evidence.
    wall_time_s : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        quarantine: QuarantineService,
        may_write: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        eras: StoreEras,
        wall_time_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._may_write = may_write
        self._is_cut_off = is_cut_off
        self._wall_time_s = wall_time_s
        self._stored: set[_CrashId] | None = None  # crashes that the store has, if it is known
        self._changed = asyncio.Event()
        self._tasks = TaskGroup(owner="quarantine_archive")
        quarantine.subscribe(self._changed.set)
        eras.subscribe(self._on_restored)

    async def start(self) -> None:
        """Read the evidence, and write what is added from now on."""
        self._tasks.start(self._run(), name="run")

    async def stop(self) -> None:
        """Stop reading and writing."""
        await self._tasks.stop()

    def _on_restored(self) -> None:
        self._stored = None
        self._changed.set()

    async def _run(self) -> None:
        await self._repeat(self._read)
        while True:
            self._changed.clear()
            if self._may_write() and self._has_changed():
                await self._repeat(self._write)
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:  # this node may have become the one to write
                if self._is_cut_off():
                    await self._repeat(self._read)

    def _has_changed(self) -> bool:
        refused = {_crash_id(report) for report in self._quarantine.reports(of_refused_only=True)}
        return refused != (self._stored or set())

    async def _repeat(self, call: Callable[[], Any]) -> None:
        """Make a call to the store until it succeeds."""
        failures = 0
        while True:
            try:
                await call()
                return
            except FlamingoshelfError as error:
                failures += 1
                if failures == 1:
                    logger.bind(step="quarantine", peer=error.peer).warning(
                        "store call failed; retrying: {}", error.message
                    )
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        snapshot = await self._store.list(_KIND)
        stored = snapshot.objects.get(_NAME)
        reports = [] if stored is None else list(self._decode(stored.content))
        self._stored = {_crash_id(report) for report in reports}
        if self._quarantine.merge(reports, source="store"):
            logger.bind(step="quarantine", crashes=len(reports)).info("crashes read from the store")

    async def _write(self) -> None:
        refused = self._quarantine.reports(of_refused_only=True)
        reports = _newest(refused)
        content = {"crashes": [self._encode(report) for report in reports]}
        await self._store.put(_KIND, _NAME, content, is_likely_new=not self._stored)
        self._stored = {_crash_id(report) for report in refused}
        logger.bind(step="quarantine", crashes=len(reports)).info("crashes written to the store")

    def _encode(self, report: CrashReport) -> dict[str, Any]:
        """Return a report with the Unix time of the crash in place of its age."""
        document: dict[str, Any] = cattrs.unstructure(report)
        del document["age_s"]
        return {**document, "crashed_ms": round((self._wall_time_s() - report.age_s) * 1000)}

    def _decode(self, content: Any) -> Iterable[CrashReport]:
        entries = content.get("crashes") if isinstance(content, dict) else None
        for entry in entries if isinstance(entries, list) else []:
            try:
                age_s = max(0.0, self._wall_time_s() - entry["crashed_ms"] / 1000)
                fields = {name: value for name, value in entry.items() if name != "crashed_ms"}
                yield cattrs.structure({**fields, "age_s": age_s}, CrashReport)
            except Exception as error:  # whatever another writer has put there
                logger.bind(step="quarantine").warning("stored crash ignored: {!r}", error)


def _newest(reports: Iterable[CrashReport]) -> list[CrashReport]:
    """Return the newest reports that have room in an object of the store."""
    kept: list[CrashReport] = []
    keys = 0
    for report in sorted(reports, key=lambda item: item.age_s)[:_MAX_REPORTS]:
        keys += len(report.suspected_keys)
        if keys > _MAX_STORED_KEYS:
            break
        kept.append(report)
    return kept


def _crash_id(report: CrashReport) -> _CrashId:
    return report.server, report.started_ms, report.suspects
