"""What is known from the checks of one server, and when it is checked again."""

import asyncio

import attrs

from flamingoshelf.utils import now_s

__all__ = ["ASK_AGAIN_INTERVAL_S", "VERDICT_LIFETIME_S", "ServerChecks"]

VERDICT_LIFETIME_S = 0.3  # no new check for as long after one that found no cut
_MAX_VERDICT_LIFETIME_S = 2.0  # it doubles while the server answers probes but not its calls
# Nodes that are asked at once. Doubles with each check in which none of them reaches the server, as
# most nodes may be cut off.
_MIN_ASKED = 3
_MAX_ASKED = 24
_LOST_AFTER_S = 2.0  # sound servers may be silent for a second or so
_UNANSWERED_LOST_AFTER_S = 3.5  # if connections aren't refused, as they may only be slow
# While no node is known to reach some servers, nodes are asked about one of these after another,
# and about each less and less often, as most of them are down.
ASK_AGAIN_INTERVAL_S = 0.5
_MAX_ASK_AGAIN_INTERVAL_S = 4.0
_MIN_PROBE_INTERVAL_S = 0.25  # while this node doesn't reach the server
_MAX_PROBE_INTERVAL_S = 0.75


@attrs.define(kw_only=True)
class ServerChecks:
    """Checks of one server.

    Attributes
    ----------
    running : asyncio.Task or None
        Check that is running; its result is whether the path is cut.
    not_before_s : float
        Time before which no new check begins.
    lifetime_s : float
        Time for which the last verdict holds.
    asked : int
        Number of nodes to ask next.
    unreached_since_s : float or None
        Begin of the first of the checks in which no node reached the server.
    ask_again_s : float
        Time at which nodes are asked again about a server that none is known to reach.
    ask_interval_s : float
        Time from then until they are asked once more.
    probe_again_s : float
        Time at which a server that this node doesn't reach is probed again.
    probe_interval_s : float
        Time from then until it is probed once more.
    """

    running: asyncio.Task[bool] | None = None
    not_before_s: float = 0.0
    lifetime_s: float = VERDICT_LIFETIME_S
    asked: int = _MIN_ASKED
    unreached_since_s: float | None = None
    ask_again_s: float = 0.0
    ask_interval_s: float = ASK_AGAIN_INTERVAL_S
    probe_again_s: float = 0.0
    probe_interval_s: float = _MIN_PROBE_INTERVAL_S

    def record_answer(self) -> None:
        """Record that the server has answered a probe."""
        self.lifetime_s = min(2 * self.lifetime_s, _MAX_VERDICT_LIFETIME_S)
        self.unreached_since_s = None

    def record_cut(self) -> None:
        """Record that only other nodes reach the server."""
        self.lifetime_s = VERDICT_LIFETIME_S
        self.asked = _MIN_ASKED
        self.unreached_since_s = None
        self.ask_soon()

    def record_unreached(self, *, began_s: float, answered_s: float, is_refused: bool) -> bool:
        """Record that no node that was asked reaches the server; return whether it is lost.

        `answered_s` is the time of its last answer over any connection of this node; `is_refused`
        tells whether it refuses new connections, rather than not to answer on them.
        """
        self.asked = min(2 * self.asked, _MAX_ASKED)
        self.lifetime_s = VERDICT_LIFETIME_S
        if self.unreached_since_s is None or answered_s > self.unreached_since_s:
            self.unreached_since_s = began_s
        lost_after_s = _LOST_AFTER_S if is_refused else _UNANSWERED_LOST_AFTER_S
        return now_s() - self.unreached_since_s >= lost_after_s

    def probe_soon(self) -> None:
        """Probe again at the next opportunity."""
        self.probe_again_s, self.probe_interval_s = 0.0, _MIN_PROBE_INTERVAL_S

    def delay_probe(self) -> None:
        """Probe again after the interval, which doubles."""
        self.probe_again_s = now_s() + self.probe_interval_s
        self.probe_interval_s = min(2 * self.probe_interval_s, _MAX_PROBE_INTERVAL_S)

    def ask_soon(self) -> None:
        """Ask again at the next opportunity."""
        self.ask_again_s, self.ask_interval_s = 0.0, ASK_AGAIN_INTERVAL_S

    def delay_asking(self) -> None:
        """Ask again after the interval, which doubles."""
        self.ask_again_s = now_s() + self.ask_interval_s
        self.ask_interval_s = min(2 * self.ask_interval_s, _MAX_ASK_AGAIN_INTERVAL_S)
