"""Interface between the quarantine and the code that runs requests."""

from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from flamingoshelf.quarantine._reports import Suspect
from flamingoshelf.refusals import Refusal

__all__ = ["ContentGuard"]


class ContentGuard(Protocol):
    """Refuses contents that crash servers; learns of crashes, and of what runs well.

    Each request has several keys: one of its whole content, and one of each part that it may share
    with other requests.
    """

    def check(self, keys: Collection[str]) -> Refusal | None:
        """Return why a request with these keys is refused, or None if it may run."""

    def report_crash(
        self,
        server: str,
        suspects: Iterable[Suspect],
        *,
        started_ms: int = 0,
        age_s: float = 0.0,
    ) -> None:
        """Record that a server crashed before it had begun to answer some requests.

        The crash was `age_s` seconds ago; `started_ms` is the Unix time of the start of the
        server's run in milliseconds, 0 if unknown.
        """

    def has_crash(self, server: str, started_ms: int) -> bool:
        """Return whether the crash of a run of a server is known."""

    def record_begin(self, keys: Collection[str]) -> None:
        """Record that a server goes on after it has begun to answer a request."""

    def record_end(self, keys: Collection[str]) -> None:
        """Record the end of an answer whose begin was recorded."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of what is known."""
