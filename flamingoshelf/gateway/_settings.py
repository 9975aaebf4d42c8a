"""Settings of a gateway node."""

import math
from typing import Any

import attrs

__all__ = ["GatewaySettings", "changed_fields"]

# Fields that are read only at start; a change requires a restart.
_RESTART_FIELDS = frozenset(
    {
        "node_name",
        "data_centre",
        "caller_address",
        "readiness_address",
        "peer_address",
        "peer_listen_address",
        "store_address",
        "server_silence_s",
        "is_first_start",
        "processor_share",
        "processor_speed",
        "link_mbit_s",
        "memory_bytes",
        "places_by_cost",
        "cost_placement_min_nodes",
        "evacuation_s",
    }
)
# A coordinator that uses one full core for 200 nodes sends about this much.
_LINK_MBIT_S_PER_CORE = 20.0


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Validated settings of one gateway node.

    Parameters
    ----------
    node_name, data_centre : str
        Name of this node's VM, and the data centre that it is in.
    caller_address, readiness_address, peer_address : str
        ``ip:port`` to serve callers, readiness checks and other nodes at.
    store_address : str
        ``ip:port`` of the platform's store.
    peer_listen_address : str or None
        ``ip:port`` to listen at for other nodes, if they connect through a forwarder.
    is_first_start : bool
        Whether this is the first start of the fleet.
    shutdown_grace_s : float
        Seconds from SIGTERM until the platform kills the process.
    order_lease_s : float
        Lease of the right to order engines, in seconds; no other node takes over within it.
    drain_s : float
        Seconds after the notice of a leaving backend server until it must get no more requests.
    server_silence_s : float
        Seconds after which the platform removes the entry of a silent backend server.
    retry_ratio, retry_window_s, retry_reserve : float
        Bound on the retries that the fleet sends to a service within a window of that many
        seconds: the ratio times the number of requests, plus the reserve.
    processor_share, processor_speed : float
        Share of a processor that the VM can use, and its speed relative to a standard core.
    link_mbit_s : float
        Rate of the VM's network link in Mbit/s.
    memory_bytes : float
        Memory that the process may use.
    limit_excess, limit_slack_tokens : float
        Tolerated excess over a workspace's limits: a fraction of them, and tokens per window.
    evacuation_s : float or None
        Seconds from the request to evacuate a data centre until its backend servers must get no
        more requests; None if data centres are not evacuated.
    cold_excess, cold_slack : float or None
        Tolerated excess over the requests per second that a cold backend server accepts: a factor,
        and a number of requests; None if servers are never cold.
    places_by_cost : bool
        Whether requests are placed by their expected cost and the work that is left at each server.
    cost_placement_min_nodes : int
        Nodes from which on they are; in a smaller fleet each node sees much of the load itself.
    """

    node_name: str
    data_centre: str
    caller_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    peer_listen_address: str | None = None
    is_first_start: bool = False
    shutdown_grace_s: float = 8.0
    order_lease_s: float = 3.0
    drain_s: float = 2.0
    server_silence_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 20.0
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbit_s: float = 1000.0
    memory_bytes: float = math.inf
    limit_excess: float = 0.0
    limit_slack_tokens: float = 0.0
    evacuation_s: float | None = None
    cold_excess: float | None = None
    cold_slack: float | None = None
    places_by_cost: bool = False
    cost_placement_min_nodes: int = 1

    @property
    def capacity(self) -> float:
        """Capacity of the VM in standard cores, limited by its network link."""
        cores = self.processor_share * self.processor_speed
        return min(cores, self.link_mbit_s / _LINK_MBIT_S_PER_CORE)


def changed_fields(
    before: GatewaySettings, after: GatewaySettings
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the changed values that a running node can apply, and those that require a restart.

    Examples
    --------
    >>> addresses = dict.fromkeys(
    ...     ["caller_address", "readiness_address", "peer_address", "store_address"], "10.0.0.1:1"
    ... )
    >>> old = GatewaySettings(node_name="a", data_centre="z", **addresses)
    >>> changed_fields(old, attrs.evolve(old, shutdown_grace_s=5.0, data_centre="y"))
    ({'shutdown_grace_s': 5.0}, {'data_centre': 'y'})
    """
    changed = {
        field.name: getattr(after, field.name)
        for field in attrs.fields(GatewaySettings)
        if getattr(before, field.name) != getattr(after, field.name)
    }
    applicable = {name: value for name, value in changed.items() if name not in _RESTART_FIELDS}
    return applicable, {name: value for name, value in changed.items() if name in _RESTART_FIELDS}
