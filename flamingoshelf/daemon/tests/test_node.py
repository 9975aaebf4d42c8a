"""A node whose object service and VM list are unreachable."""

import asyncio
import json

import aiosonic
import pytest

from flamingoshelf.daemon import Node
from flamingoshelf.settings import Settings
from lab.processes import AddressPool, wait_until_listening

pytestmark = pytest.mark.processes


@pytest.fixture
async def isolated_node():
    caller, peer, operator, absent = AddressPool().reserve(4)
    settings = Settings(
        node_name="node-0",
        data_centre="kathmandu-a",
        caller_address=caller,
        peer_address=peer,
        operator_address=operator,
        object_service_address=absent,
        vm_list_address=absent,
        cluster_secret=b"0123456789abcdef",
        max_body_bytes=1024,
        shutdown_timeout_s=1,
        readiness_notice_s=0.1,
        vm_list_lag_s=1,
        limiter="fleet",
        placer="fleet",
        log_format="text",
        log_level="INFO",
    )
    node = Node(settings=settings)
    await node.start()
    await wait_until_listening(operator)
    yield operator, caller
    await node.stop()


@pytest.mark.parametrize(
    ("path", "status"), [("/healthz", 200), ("/readyz", 503), ("/metrics", 200), ("/status", 200)]
)
async def test_operators_are_answered_before_the_first_revision(isolated_node, path, status):
    client = aiosonic.HTTPClient()
    response = await client.get(f"http://{isolated_node[0]}{path}")
    assert response.status_code == status
    if path == "/status":
        assert json.loads(await response.content())["ready"] is False
    await client.connector.cleanup()


async def test_callers_are_not_served_before_the_first_revision(isolated_node):
    host, _, port = isolated_node[1].rpartition(":")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, int(port))
