"""Cluster membership: registration of nodes, choice of the coordinator, exclusive duties.

Nodes discover each other through objects in the platform's store. The coordinator is the reachable
node that comes first by `Member.precedence`: by capacity, then by time of registration. So a node
that joins or restarts does not replace a coordinator of the same capacity class.
"""

from flamingoshelf.cluster._coordination import Coordination
from flamingoshelf.cluster._coordinator_requests import CallRecord, CoordinatorRequests
from flamingoshelf.cluster._duty import ExclusiveDuty, FencingToken
from flamingoshelf.cluster._members import Member, MemberList
from flamingoshelf.cluster._messages import LeavingRun, NodeNews
from flamingoshelf.cluster._registration import Registration

__all__ = [
    "CallRecord",
    "Coordination",
    "CoordinatorRequests",
    "ExclusiveDuty",
    "FencingToken",
    "LeavingRun",
    "Member",
    "MemberList",
    "NodeNews",
    "Registration",
]
