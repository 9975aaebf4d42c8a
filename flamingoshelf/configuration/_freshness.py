"""Decides whether a node may honour API keys.

A revision is confirmed as of a time at which no later one existed. Without a recent confirmation,
keys are honoured only while enough nodes in every data centre report that the object service is
unreachable.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs

from flamingoshelf.base import VirtualMachine
from flamingoshelf.configuration._messages import OutageReport
from flamingoshelf.objects import Fleet
from flamingoshelf.utils import now_s

__all__ = ["Freshness"]


@attrs.frozen(kw_only=True)
class _Outage:
    data_centre: str
    seen_s: float
    reached: int


class Freshness:
    """Confirmations and outage reports that this node has received.

    Parameters
    ----------
    fleet : callable
        Returns the fleet settings in force.
    vms : callable
        Returns the listed VMs.
    """

    def __init__(
        self, *, fleet: Callable[[], Fleet], vms: Callable[[], Sequence[VirtualMachine]]
    ) -> None:
        self._fleet = fleet
        self._vms = vms
        self._confirmed_s = float("-inf")
        self._outages: dict[str, _Outage] = {}

    @property
    def age_s(self) -> float:
        """Seconds since the revision was last confirmed to be the newest."""
        return now_s() - self._confirmed_s

    @property
    def honours_keys(self) -> bool:
        """Whether API keys of the revision in force may be honoured now."""
        fleet = self._fleet()
        if self.age_s <= fleet.key_freshness_s:
            return True
        return self.age_s <= fleet.outage_key_lifetime_s and self._is_general_outage()

    def confirm(self, at_s: float) -> None:
        """Record that the revision was the newest at `at_s` on this node's clock."""
        self._confirmed_s = max(self._confirmed_s, at_s)

    def report_outage(self, report: OutageReport, *, at_s: float) -> None:
        """Record an outage whose failed call was made `report.age_s` seconds before `at_s`."""
        outage = _Outage(
            data_centre=report.data_centre, seen_s=at_s - report.age_s, reached=report.reached
        )
        known = self._outages.get(report.node)
        if known is None or known.seen_s < outage.seen_s:
            self._outages[report.node] = outage

    def end_outage(self, node: str) -> None:
        """Remove the report of a node that reaches the object service again."""
        self._outages.pop(node, None)

    def outage_reports(self) -> tuple[OutageReport, ...]:
        """Remove expired reports and return the others, to be sent to peers."""
        self._outages = {
            node: outage for node, outage in self._outages.items() if self._is_recent(outage)
        }
        return tuple(
            OutageReport(
                node=node,
                data_centre=outage.data_centre,
                age_s=now_s() - outage.seen_s,
                reached=outage.reached,
            )
            for node, outage in self._outages.items()
        )

    def _is_recent(self, outage: _Outage) -> bool:
        return now_s() - outage.seen_s <= self._fleet().key_freshness_s

    def _is_general_outage(self) -> bool:
        """Return whether reports cover at least half of each data centre and over half of all VMs.

        A partitioned group of nodes thus can't mistake its own isolation for a general outage.
        """
        listed = Counter(vm.data_centre for vm in self._vms())
        reached = _count_reached(filter(self._is_recent, self._outages.values()))
        if not listed or sum(reached.values()) * 2 <= listed.total():
            return False
        return all(reached[name] * 2 >= count for name, count in listed.items())


def _count_reached(outages: Iterable[_Outage]) -> Counter[str]:
    reached: Counter[str] = Counter()
    for outage in outages:
        reached[outage.data_centre] += outage.reached
    return reached
