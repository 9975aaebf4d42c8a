"""Messages by which nodes share what they know of crashed servers."""

import attrs

from flamingoshelf.nodes import message

__all__ = ["CrashReport", "CrashReports", "CrashReportsRequest", "Suspect"]


@attrs.frozen(kw_only=True)
class Suspect:
    """A request that a server had not begun to answer when it crashed.

    Parameters
    ----------
    keys : tuple of str
        Keys of its content.
    waited_s : float
        Seconds from its sending to the crash.
    """

    keys: tuple[str, ...]
    waited_s: float = 0.0


@message
@attrs.frozen(kw_only=True)
class CrashReport:
    """What a node knows of one crash; reports of the same crash add up.

    Parameters
    ----------
    server : str
        Server that crashed.
    started_ms : int
        Unix time of the start of its run in milliseconds, 0 if unknown.
    age_s : float
        Seconds since the crash.
    suspects : tuple of Suspect
        Requests that the server had not begun to answer.
    cleared : tuple of str
        Keys that other servers have answered since.
    """

    server: str
    started_ms: int = 0
    age_s: float = 0.0
    suspects: tuple[Suspect, ...] = ()
    cleared: tuple[str, ...] = ()

    @property
    def suspected_keys(self) -> set[str]:
        """Keys of all suspects."""
        return {key for suspect in self.suspects for key in suspect.keys}


@message
@attrs.frozen(kw_only=True)
class CrashReportsRequest:
    """Request for all crashes that a node knows."""


@message
@attrs.frozen(kw_only=True)
class CrashReports:
    """Reply with all crashes that a node knows."""

    reports: tuple[CrashReport, ...] = ()
