"""Shortage of room for streams of two priorities, from workspaces that have priorities, too."""

import itertools

import pytest

from flamingoshelf.gateway._admission import AdmittedRequest
from flamingoshelf.gateway._wire import CallerRequest
from flamingoshelf.http1 import Headers, RequestHead
from flamingoshelf.routing import CallKind, GatewayConfiguration, Route, RouteTarget, Workspace


def stream_route(name, priority, service="s"):
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=CallKind.STREAM,
        targets=(RouteTarget(service=service),),
        timeout_s=14.0,
        latency_goal_s=0.9,
        priority=priority,
    )


def new_request(route, workspace_priority, *others):
    workspace = Workspace(name="w", keys=frozenset({"key"}), priority=workspace_priority)
    configuration = GatewayConfiguration(
        version=1, routes=(route, *others), services={}, workspaces={"w": workspace}
    )
    return AdmittedRequest(
        head=RequestHead(method="POST", target="/r/1", headers=Headers([("Host", "h")])),
        caller=CallerRequest(request_id="q1"),
        route=route,
        workspace=workspace,
        configuration_version=1,
        ranks_below=configuration.ranks_below(route),
        deadline_s=14.0,
        arrived_s=0.0,
    )


# Failed before: the workspace's priority hid that of the route, so urgent streams waited and were
# refused like all others.
@pytest.mark.parametrize(
    ("urgent_workspace", "usual_workspace"), list(itertools.product([0, 1, 5, None], repeat=2))
)
def test_urgent_streams_rank_first_whatever_their_workspace(urgent_workspace, usual_workspace):
    urgent, usual = stream_route("urgent", 0), stream_route("usual", 2)
    first = new_request(urgent, urgent_workspace, usual)
    second = new_request(usual, usual_workspace, urgent)
    assert first.priority < second.priority
    assert (first.engine_urgency, second.engine_urgency) == (4, None)


def test_workspaces_rank_streams_of_one_priority():
    urgent, usual = stream_route("urgent", 0), stream_route("usual", 2)
    assert new_request(usual, 0, urgent).priority < new_request(usual, 1, urgent).priority


@pytest.mark.parametrize("other_service", ["s", "t"])
def test_streams_of_a_service_without_ranks_are_as_before(other_service):
    """All streams of the service have one priority; another service's streams don't matter."""
    route = stream_route("a", 1)
    other = stream_route("b", 1 if other_service == "s" else 0, service=other_service)
    request = new_request(route, 0, other)
    assert (request.priority, request.engine_urgency) == (0, None)
    assert new_request(route, None, other).priority == 1
