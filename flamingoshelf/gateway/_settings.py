"""Settings of a gateway node."""

from typing import Any

import attrs

__all__ = ["GatewaySettings", "changed_fields"]

# What is set up once: a change of it needs a new process.
_FIXED_FIELDS = frozenset(
    {
        "node_name",
        "data_centre",
        "caller_address",
        "readiness_address",
        "peer_address",
        "peer_listen_address",
        "store_address",
        "is_first_start",
        "processor_share",
        "processor_speed",
        "link_mbit_s",
    }
)
# A coordinator that uses a whole core for 200 nodes sends about this much.
_LINK_MBIT_S_PER_CORE = 20.0


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Checked settings of one gateway node.

    Parameters
    ----------
    node_name, data_centre : str
        Name and place of this node's VM.
    caller_address, readiness_address, peer_address : str
        ``ip:port`` for callers, for readiness checks and for other nodes.
    store_address : str
        ``ip:port`` of the platform's store.
    peer_listen_address : str or None
        ``ip:port`` to listen at for other nodes, if they reach this one through a forwarder.
    is_first_start : bool
        Whether the fleet starts for the first time.
    shutdown_grace_s : float
        Time from SIGTERM until the process is killed.
    order_lease_s : float
        Time for which the right to give orders is kept from others.
    retry_ratio, retry_window_s, retry_reserve : float
        Repeats that the fleet may send to a service in a window: the ratio of its requests and
        the reserve.
    processor_share, processor_speed : float
        Part of a processor that the VM can use, and its speed against a usual core.
    link_mbit_s : float
        Rate of the VM's network link.
    limit_excess, limit_slack_tokens : float
        What is tolerated above workspaces' limits: a part of them, and tokens in each window.
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
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 20.0
    processor_share: float = 1.0
    processor_speed: float = 1.0
    link_mbit_s: float = 1000.0
    limit_excess: float = 0.0
    limit_slack_tokens: float = 0.0

    @property
    def capacity(self) -> float:
        """Usual cores that the VM is worth, or fewer if its link is slow for them."""
        cores = self.processor_share * self.processor_speed
        return min(cores, self.link_mbit_s / _LINK_MBIT_S_PER_CORE)


def changed_fields(
    before: GatewaySettings, after: GatewaySettings
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the new values that a running node takes over, and those that need a restart.

    Examples
    --------
    >>> addresses = dict.fromkeys(
    ...     ["caller_address", "readiness_address", "peer_address", "store_address"], "10.0.0.1:1"
    ... )
    >>> old = GatewaySettings(node_name="a", data_centre="z", **addresses)
    >>> changed_fields(old, attrs.evolve(old, shutdown_grace_s=5.0, data_centre="y"))
    ({'shutdown_grace_s': 5.0}, {'data_centre': 'y'})
    """
    new = {
        field.name: getattr(after, field.name)
        for field in attrs.fields(GatewaySettings)
        if getattr(before, field.name) != getattr(after, field.name)
    }
    taken = {name: value for name, value in new.items() if name not in _FIXED_FIELDS}
    return taken, {name: value for name, value in new.items() if name in _FIXED_FIELDS}
