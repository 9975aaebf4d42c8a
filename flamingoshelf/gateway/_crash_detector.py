"""Tells requests that crash backend servers from those that a crash interrupts by chance."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import attrs
from loguru import logger

from flamingoshelf.exceptions import PeerUnreachableError
from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.http1 import BackendConnection
from flamingoshelf.quarantine import ContentGuard, Suspect
from flamingoshelf.refusals import Refusal
from flamingoshelf.routing import BackendInstance
from flamingoshelf.utils import TaskGroup, now_s

__all__ = ["BEGUN_EVENTS", "CrashDetector"]

# A server that goes on after its first event has begun an answer without a crash.
BEGUN_EVENTS = 2
# A crashed process refuses connections until it is restarted, which takes seconds. Its listening
# socket may outlive the part that crashed for a moment, and this node may be slow.
_CONNECT_AFTER_S = (0.02, 0.2, 0.6, 1.4)
# A server that was not seen refusing connections has crashed if another one takes its place.
_LOOK_UP_AFTER_S = (3.0, 6.0)
_CONNECT_TIMEOUT_S = 0.2  # a running server accepts within milliseconds
_MAX_LOGGED_PROMPT = 400  # characters of the header that lists the parts of a prompt
_MAX_LOGGED_KEYS = 64


@attrs.frozen(kw_only=True)
class _LostRequest:
    request_id: str
    keys: tuple[str, ...]
    prompt: str
    sent_s: float


@attrs.define(kw_only=True)
class _LostRuns:
    """Requests that a server had not begun to answer when their connections ended together."""

    instance: BackendInstance
    requests: list[_LostRequest] = attrs.field(factory=list)
    reported: int = 0
    lost_s: float = attrs.field(factory=now_s)

    @property
    def run(self) -> tuple[str, int]:
        """The server and the start of its run."""
        return self.instance.key, self.instance.started_ms


class CrashDetector:
    """Checks whether a server crashed after a lost run, and refuses content that crashes servers.

    A lost run alone proves nothing: the connection may have failed. The server counts as crashed
    if it refuses connections afterwards and other nodes don't reach it either, if another one takes
    its place, or if another node reports it. Only requests that it had not begun to answer are
    suspected.

    Parameters
    ----------
    guard : ContentGuard
        Records crashes and refuses content.
    is_succeeded : callable
        ``is_succeeded(instance)`` returns whether a later run of a server, or another server at its
        address, is registered.
    is_cut : callable
        ``await is_cut(instance)`` returns whether only this node's path to a server has failed.
    """

    def __init__(
        self,
        *,
        guard: ContentGuard,
        is_succeeded: Callable[[BackendInstance], bool] = lambda instance: False,
        is_cut: Callable[[BackendInstance], Awaitable[bool]],
    ) -> None:
        self._is_cut = is_cut
        self._guard = guard
        self._is_succeeded = is_succeeded
        self._lost: list[_LostRuns] = []
        self._watches: dict[object, tuple[AdmittedRequest, Callable[[Refusal], None]]] = {}
        self._tasks = TaskGroup(owner="crash_watch")
        guard.subscribe(self._on_news)

    async def stop(self) -> None:
        """Cancel all pending checks."""
        await self._tasks.stop()

    def check(self, request: AdmittedRequest) -> Refusal | None:
        """Return the refusal of a request whose content is quarantined, or None if it may run."""
        refusal = self._guard.check(request.content_keys)
        # Callers treat a 4xx as their own error and do not retry.
        return None if refusal is None else attrs.evolve(refusal, status=503)

    @contextmanager
    def watch(
        self, request: AdmittedRequest, on_refusal: Callable[[Refusal], None]
    ) -> Iterator[None]:
        """Call ``on_refusal(refusal)`` if the content is quarantined within this context."""
        watch = object()
        self._watches[watch] = (request, on_refusal)
        try:
            yield
        finally:
            self._watches.pop(watch, None)

    def record_lost_run(
        self,
        request: AdmittedRequest,
        instance: BackendInstance,
        *,
        sent_s: float,
        events: int = 0,
    ) -> None:
        """Check in the background whether the server of a lost run has crashed.

        The request was sent to it at `sent_s`; the run had sent a number of `events`.
        """
        if events >= BEGUN_EVENTS:
            return
        lost = self._find_lost(instance)
        if lost is None:
            lost = _LostRuns(instance=instance)
            self._lost.append(lost)
            self._tasks.start(self._check_server(lost), name="look")
        lost.requests.append(
            _LostRequest(
                request_id=request.request_id,
                keys=request.content_keys,
                prompt=request.caller.prompt[:_MAX_LOGGED_PROMPT],
                sent_s=sent_s,
            )
        )
        if lost.reported or self._guard.has_crash(*lost.run):
            self._report(lost)

    def record_begin(self, request: AdmittedRequest) -> None:
        """Record that a server goes on after it has begun to answer a request."""
        self._guard.record_begin(request.content_keys)

    def record_end(self, request: AdmittedRequest) -> None:
        """Record the end of an answer whose begin was recorded."""
        self._guard.record_end(request.content_keys)

    def record_success(self, request: AdmittedRequest) -> None:
        """Record an answer that was complete at once."""
        self.record_begin(request)
        self.record_end(request)

    def _find_lost(self, instance: BackendInstance) -> _LostRuns | None:
        """Return the runs that a server has just lost, or None if their connections ended before.

        Those that end later have another cause, which may be a crash though the first was none.
        """
        for lost in reversed(self._lost):
            is_recent = now_s() - lost.lost_s < _CONNECT_AFTER_S[0]
            if lost.run == (instance.key, instance.started_ms) and is_recent:
                return lost
        return None

    def _on_news(self) -> None:
        """Add this node's lost runs to a crash that became known, and tell requests of refusals."""
        for lost in list(self._lost):
            if lost.reported < len(lost.requests) and self._guard.has_crash(*lost.run):
                self._report(lost)
        for watch, (request, on_refusal) in list(self._watches.items()):
            refusal = self.check(request)
            if refusal is not None and self._watches.pop(watch, None) is not None:
                on_refusal(refusal)

    async def _check_server(self, lost: _LostRuns) -> None:
        """Look after each delay whether the server has crashed; report it if it has."""
        try:
            for after_s in sorted((*_CONNECT_AFTER_S, *_LOOK_UP_AFTER_S)):
                await asyncio.sleep(lost.lost_s + after_s - now_s())
                if lost.reported:
                    continue
                if self._is_succeeded(lost.instance):
                    self._report(lost, reason="another server took its place")
                elif after_s in _CONNECT_AFTER_S and await self._refuses_all(lost.instance):
                    self._report(lost, reason="it refuses connections")
        finally:
            self._lost.remove(lost)

    async def _refuses_all(self, instance: BackendInstance) -> bool:
        """Return whether a server refuses connections, and not only those of this node."""
        return await _refuses_connections(instance.address) and not await self._is_cut(instance)

    def _report(self, lost: _LostRuns, *, reason: str = "the crash is known") -> None:
        requests = lost.requests[lost.reported :]
        lost.reported = len(lost.requests)
        for request in requests:
            logger.bind(
                request_id=request.request_id,
                step="crash",
                peer=lost.instance.key,
                started_ms=lost.instance.started_ms,
                reason=reason,
                content=request.keys[:_MAX_LOGGED_KEYS],
                keys=len(request.keys),
                prompt=request.prompt,
            ).warning("backend server crashed before it had begun to answer the request")
        self._guard.report_crash(
            lost.instance.key,
            [
                Suspect(keys=item.keys, waited_s=max(0.0, round(lost.lost_s - item.sent_s, 3)))
                for item in requests
            ],
            started_ms=lost.instance.started_ms,
            age_s=now_s() - lost.lost_s,
        )


async def _refuses_connections(address: str) -> bool:
    """Return whether a connection attempt is refused; timeouts and other errors do not count."""
    try:
        connection = await BackendConnection.open(address, timeout_s=_CONNECT_TIMEOUT_S)
    except PeerUnreachableError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
