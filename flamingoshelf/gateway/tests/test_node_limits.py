"""Share of one node in the limits of the fleet."""

import attrs
import pytest

from flamingoshelf.gateway import ActiveConfiguration, GatewaySettings
from flamingoshelf.gateway._node_limits import NodeLimits
from flamingoshelf.gateway.tests.conftest import server
from flamingoshelf.routing import GatewayConfiguration, ServiceProfile, Workspace

SETTINGS = GatewaySettings(
    node_name="n",
    data_centre="a",
    caller_address="127.0.0.1:1",
    readiness_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
    store_address="127.0.0.1:4",
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_reserve=202.0,
    limit_excess=0.1,
    limit_slack_tokens=1000.0,
)


def new_limits(configuration, *, nodes=1, settings=SETTINGS):
    return NodeLimits(
        settings=lambda: settings, configuration=configuration, node_count=lambda: nodes
    )


def with_connections(count):
    active = ActiveConfiguration()
    profile = ServiceProfile(name="s", health_path="/h", max_connections=count)
    active.adopt(GatewayConfiguration(version=1, routes=(), services={"s": profile}, workspaces={}))
    return active


@pytest.mark.parametrize(
    ("limit", "nodes", "expected"),
    [
        pytest.param(110, 9, 12, id="share of a node"),
        pytest.param(600, 81, 7, id="large fleet"),
        pytest.param(600, 400, 2, id="share below the minimum"),
        pytest.param(0, 9, 64, id="no limit"),
    ],
)
def test_connections_to_a_server(limit, nodes, expected):
    limits = new_limits(with_connections(limit), nodes=nodes)
    assert limits.connections(server("x")) == expected


def test_connections_before_the_configuration_or_server_is_known():
    assert new_limits(ActiveConfiguration()).connections(server("x")) == 8
    assert new_limits(with_connections(110)).connections(None) == 8


@pytest.mark.parametrize("nodes", [6, 81, 130])
def test_retries_in_a_window_stay_within_the_fleet_bound(nodes):
    """The sum of saved retries, retries earned over time and retries earned by requests."""
    retries = new_limits(ActiveConfiguration()).retries()
    saved = nodes * max(retries.min_node_reserve, retries.fleet_reserve / nodes)
    earned = retries.fleet_floor_per_s * SETTINGS.retry_window_s
    requests = 1000
    most = saved + earned + retries.ratio * requests
    assert most <= SETTINGS.retry_ratio * requests + SETTINGS.retry_reserve


def test_workspace_limit_includes_a_share_of_the_tolerated_excess():
    active = ActiveConfiguration()
    workspace = Workspace(name="w", keys=frozenset(), rate_tokens_s=100.0, burst_tokens=50.0)
    active.adopt(
        GatewayConfiguration(version=1, routes=(), services={}, workspaces={"w": workspace})
    )
    limit = new_limits(active).workspace_limit("w")
    assert limit.rate_tokens_s == pytest.approx(110.0)
    assert limit.burst_tokens == pytest.approx(55.0 + 700.0)
    assert limit.initial_tokens == 50.0
    assert new_limits(active).workspace_limit("other") is None
    strict = attrs.evolve(SETTINGS, limit_excess=0.0, limit_slack_tokens=0.0)
    assert new_limits(active, settings=strict).workspace_limit("w").burst_tokens == 50.0
