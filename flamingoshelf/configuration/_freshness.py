"""Whether a node may honour keys.

A revision is confirmed at a time if no later one existed then. Without a recent confirmation keys
are honoured only while nodes in every data centre, and enough of them, state that the object
service is out of their reach.
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
    """Confirmations and outage reports that reached this node.

    Parameters
    ----------
    fleet : callable
        Returns the settings of the fleet in force.
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
        """Whether keys of the revision in force may be honoured now."""
        fleet = self._fleet()
        if self.age_s <= fleet.key_freshness_s:
            return True
        return self.age_s <= fleet.outage_key_lifetime_s and self._is_outage_everywhere()

    def confirm(self, at_s: float) -> None:
        """Note that the revision was the newest at a time of this node's clock."""
        self._confirmed_s = max(self._confirmed_s, at_s)

    def report_outage(self, report: OutageReport, *, at_s: float) -> bool:
        """Note an outage report made `report.age_s` before `at_s`; return whether it is news."""
        outage = _Outage(
            data_centre=report.data_centre, seen_s=at_s - report.age_s, reached=report.reached
        )
        known = self._outages.get(report.node)
        if known is not None and known.seen_s >= outage.seen_s:
            return False
        self._outages[report.node] = outage
        return known is None or not self._is_recent(known) or known.reached != outage.reached

    def end_outage(self, node: str) -> None:
        """Drop the report of a node that reaches the object service again."""
        self._outages.pop(node, None)

    def outage_reports(self) -> tuple[OutageReport, ...]:
        """Return all recent reports, to be passed on."""
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

    def _is_outage_everywhere(self) -> bool:
        """Return whether half of each data centre and more than half of all VMs are accounted for.

        With that no group that is cut off from the others takes its own view for the whole.
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
