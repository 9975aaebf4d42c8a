"""Gateway nodes as real processes, in front of stand-ins for the platform."""

import asyncio
import signal

import pytest

from flamingoshelf.http1 import BackendConnection
from lab.gateway._checks import check_orders
from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, KEY, NOTES, RESUMABLE, STOCK, WORKSPACE
from lab.processes import wait_until_listening

pytestmark = pytest.mark.processes


async def wait_until(condition, *, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_for_initial_roles(site):
    """Wait long enough for the gateway to finish its initial changes of engine roles."""
    await asyncio.sleep(2.5)


async def test_every_kind_of_request_is_served(new_site):
    site = await new_site()
    for address in site.node_addresses:
        note = await site.caller.call(address, f"{NOTES}1", body=b"papers", tokens=(1000, 80))
        assert (note.status, note.is_complete, note.events) == (200, True, list(range(1, 11)))
        booking = await site.caller.call(address, f"{BOOKINGS}1", body=b"van")
        assert booking.is_complete and booking.body.endswith(b"van")
        stock = await site.caller.call(address, f"{STOCK}1?q=a", method="GET")
        assert stock.is_complete
    for run in site.log.runs:
        assert run.headers.get("Tenant") == WORKSPACE
        assert KEY not in str(run.headers)
        assert run.headers.get("Expect-Instance") == run.server
    assert {run.target for run in site.log.runs} >= {f"{STOCK}1?q=a"}


async def test_headers_that_the_gateway_sets_are_not_taken_from_callers(new_site):
    site = await new_site()
    forged = [
        ("Tenant", "another"),
        ("Stage", "prefill"),
        ("Kv-Source", "10.0.0.1:1/h"),
        ("Kv-Hold", "1"),
        ("Pin-Ms", "4000"),
        ("Kv-Backup", "10.0.0.1:1"),
        ("Expect-Instance", "i-other"),
        ("Request-Urgency", "0"),
    ]
    address = site.node_addresses[0]
    assert (await site.caller.call(address, f"{BOOKINGS}1", headers=forged)).status == 200
    note = await site.caller.call(address, f"{NOTES}1", tokens=(100, 80), headers=forged)
    assert note.is_complete
    for run in site.log.runs:
        names = {name for name, _ in run.headers}
        assert run.headers.get("Tenant") == WORKSPACE
        assert not names & {"Kv-Hold", "Pin-Ms", "Kv-Backup", "Request-Urgency"}


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", KEY, 404), (f"{BOOKINGS}1", "wrong", 401), (f"{BOOKINGS}1", "", 401)],
)
async def test_what_is_not_allowed_does_not_run(new_site, path, key, status):
    site = await new_site(node_count=1)
    caller = site.caller
    caller._key = key
    assert (await caller.call(site.node_addresses[0], path)).status == status
    assert site.log.runs == []


async def test_configuration_and_keys_follow_the_store(new_site):
    site = await new_site()
    assert (await site.caller.call(site.node_addresses[0], f"{BOOKINGS}1")).status == 200
    site.configure(tenants=[{"name": WORKSPACE, "apiKeys": ["new"]}])
    await asyncio.sleep(1.0)
    for address in site.node_addresses:
        assert (await site.caller.call(address, f"{BOOKINGS}1")).status == 401
    # An older version of the configuration must not replace a newer one.
    site.version -= 6
    site.configure()
    await asyncio.sleep(1.0)
    assert (await site.caller.call(site.node_addresses[0], f"{BOOKINGS}1")).status == 401


async def test_leaving_server_gets_no_new_work(new_site):
    site = await new_site()
    leaving = site.plain[0]
    leaving.state = "draining"
    site.register(leaving)
    await asyncio.sleep(1.0)
    for number in range(10):
        await site.caller.call(site.node_addresses[number % 2], f"{STOCK}{number}", method="GET")
    assert leaving.instance_id not in {run.server for run in site.log.runs}


async def test_address_that_belongs_to_another_server_runs_nothing(new_site):
    site = await new_site(plain_count=2)
    site.plain[0].instance_id = "i-new-owner"
    for number in range(6):
        answer = await site.caller.call(site.node_addresses[0], f"{BOOKINGS}{number}")
        assert answer.status == 200
    assert {run.server for run in site.log.runs} == {site.plain[1].instance_id}


async def test_coordinator_that_is_killed_costs_only_its_own_streams(new_site):
    site = await new_site(node_count=3)
    await wait_for_initial_roles(site)
    # The node that registered first is the coordinator.
    entries = site.store._objects["gateway-nodes"]
    first = min(
        (name for name in entries if name.startswith("front")),
        key=lambda name: entries[name]["metadata"]["revision"],
    )
    number = int(first.rpartition("-")[2])
    others = [a for n, a in enumerate(site.node_addresses) if n != number]
    running = [
        asyncio.ensure_future(site.caller.call(a, f"{NOTES}{a}", tokens=(1000, 400)))
        for a in others
    ]
    await asyncio.sleep(0.2)
    site.nodes[number].kill()
    assert all(answer.is_complete for answer in await asyncio.gather(*running))
    for address in others:
        answer = await site.caller.call(address, f"{NOTES}2", tokens=(1000, 80))
        assert answer.is_complete
    site.nodes[number].start()
    await site.wait_until_ready(site.ready_addresses[number])
    answer = await site.caller.call(site.node_addresses[number], f"{NOTES}3", tokens=(1000, 80))
    assert answer.is_complete


async def test_planned_stop_cuts_no_stream_and_ends_in_time(new_site):
    site = await new_site()
    address, node = site.node_addresses[0], site.nodes[0]
    running = asyncio.ensure_future(site.caller.call(address, f"{NOTES}1", tokens=(1000, 1600)))
    await asyncio.sleep(0.3)
    node.send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    ready = await site.caller.call(site.ready_addresses[0], "/ready", method="GET")
    assert ready.status == 503
    late = await site.caller.call(address, f"{BOOKINGS}1")
    assert late.status == 200 and late.headers.get("Connection") == "close"
    assert (await running).is_complete
    await wait_until(lambda: not node.is_running)
    assert node._popen.returncode == 0


@pytest.mark.parametrize("is_signalled", [True, False], ids=["signal", "no signal"])
async def test_changed_settings_are_taken_over_without_cutting_a_request(
    new_site, tmp_path, is_signalled
):
    site = await new_site()
    address, node = site.node_addresses[0], site.nodes[0]
    running = asyncio.ensure_future(site.caller.call(address, f"{NOTES}1", tokens=(1000, 1600)))
    await asyncio.sleep(0.3)
    file = tmp_path / "node-0.conf"
    file.write_text(file.read_text().replace("bounds.graceS=4", "bounds.graceS=6"))
    if is_signalled:
        node.send(signal.SIGHUP)
    await wait_until(lambda: '"shutdown_grace_s": 6.0' in node.log)
    file.write_text("nodeName=\n")  # incomplete, as while the file is being written
    await wait_until(lambda: "settings not valid, those in force stay" in node.log)
    assert (await site.caller.call(address, f"{BOOKINGS}1")).status == 200
    assert (await running).is_complete


async def test_stream_that_may_be_resumed_survives_its_engine(new_site):
    site = await new_site(prefill_count=1, decode_count=3)
    await wait_for_initial_roles(site)
    running = asyncio.ensure_future(
        site.caller.call(site.node_addresses[0], f"{RESUMABLE}1", tokens=(1000, 800))
    )
    await wait_until(lambda: site.log.runs)
    await asyncio.sleep(0.2)
    engine = next(e for e in site.engines if e.instance_id == site.log.runs[0].server)
    await engine.stop()
    answer = await running
    assert answer.is_complete and answer.events == list(range(1, 101))
    assert len(site.log.runs) == 2


async def test_caller_that_leaves_frees_the_engine(new_site):
    site = await new_site()
    connection = await BackendConnection.open(site.node_addresses[0], timeout_s=1.0)
    running = asyncio.ensure_future(
        site.caller.call(
            site.node_addresses[0],
            f"{NOTES}1",
            tokens=(1000, 800),
            deadline_ms=14_000,
            connection=connection,
        )
    )
    await wait_until(lambda: site.log.runs)
    running.cancel()
    connection.close()
    await wait_until(lambda: site.log.runs[0].ended == "left", timeout_s=1.0)
    assert not any(engine.held for engine in site.engines)


async def test_outage_of_the_store_stops_nothing_and_a_restart_waits_for_it(new_site):
    site = await new_site()
    site.store.faults.mode = "silent"
    for address in site.node_addresses:
        assert (await site.caller.call(address, f"{BOOKINGS}1")).status == 200
    site.nodes[0].kill()
    site.nodes[0].start()
    await wait_until_listening(site.node_addresses[0])
    await asyncio.sleep(1.5)
    answer = await site.caller.call(site.node_addresses[0], f"{BOOKINGS}2")
    assert answer.status == 503 and answer.headers.get("Retry-After")
    ready = await site.caller.call(site.ready_addresses[0], "/ready", method="GET")
    assert ready.status == 503
    site.store.faults.mode = ""
    await site.wait_until_ready(site.ready_addresses[0])
    assert (await site.caller.call(site.node_addresses[0], f"{BOOKINGS}3")).status == 200


async def test_lost_history_of_the_store_loses_no_change(new_site):
    site = await new_site()
    site.store.faults.mode = "reset"
    site.store._wake_watches()
    site.configure(tenants=[{"name": WORKSPACE, "apiKeys": ["new"]}])
    await asyncio.sleep(0.3)
    site.store.forget_history()
    site.store.faults.mode = ""
    await asyncio.sleep(1.5)
    for address in site.node_addresses:
        assert (await site.caller.call(address, f"{BOOKINGS}1")).status == 401


async def test_roles_follow_the_measured_demand_with_one_holder_and_its_token(new_site):
    """Three of four engines start as prefill engines; long answers need more decode engines."""
    site = await new_site(node_count=3, prefill_count=3, decode_count=1)
    await asyncio.sleep(2)
    assert not site.log.orders  # nothing is known of the engines and their requests yet
    for _ in range(3):
        answers = await asyncio.gather(
            *(
                site.caller.call(address, f"{NOTES}1", tokens=(200, 400))
                for address in site.node_addresses * 3
            )
        )
        assert {answer.status for answer in answers} == {200}
    await wait_until(lambda: site.log.orders)
    await asyncio.sleep(0.5)
    holders = {order["holder"] for order in site.log.orders}
    assert len(holders) == 1 and holders <= {"front-0", "front-1", "front-2"}
    # Engines without load change at each plan, every half second; each plan has a token of its own.
    assert check_orders(site.log.orders) == []
    assert sum(engine.role == "decode" for engine in site.engines) > 1


async def test_restore_of_the_store_is_survived(new_site):
    """The copy is older than the nodes' registrations."""
    site = await new_site(node_count=3)
    copy = site.store.take_copy()
    for kind in ("gateway-nodes", "gateway-duties"):
        copy.objects.pop(kind, None)
    site.store.faults.mode = "reset"
    await asyncio.sleep(1.0)
    site.store.restore(copy)
    site.store.faults.mode = ""
    await wait_until(lambda: len(site.store.objects("gateway-nodes")) == 4)  # and the secret
    for address in site.node_addresses:
        answer = await site.caller.call(address, f"{NOTES}1", tokens=(200, 80))
        assert answer.status == 200 and answer.is_complete
    # A node that starts anew joins the others with the secret that they wrote again.
    await site.nodes[2].stop()
    site.nodes[2].start()
    await site.wait_until_ready(site.ready_addresses[2])
    answer = await site.caller.call(site.node_addresses[2], f"{NOTES}1", tokens=(200, 80))
    assert answer.status == 200


async def test_node_that_starts_before_the_configuration_is_written_again_asks_its_peers(new_site):
    site = await new_site(node_count=3)
    copy = site.store.take_copy()
    site.configure(routes=[])
    newest = site.store.objects("config")["main"]
    address = site.node_addresses[0]
    async with asyncio.timeout(5):
        while (await site.caller.call(address, f"{STOCK}1", method="GET")).status != 404:
            await asyncio.sleep(0.05)
    site.store.restore(copy)
    site.store.put("config", "main", copy.objects["config"]["main"]["spec"])  # not written yet
    await asyncio.sleep(1.0)
    await site.nodes[2].stop()
    site.nodes[2].start()
    await site.wait_until_ready(site.ready_addresses[2])
    answer = await site.caller.call(site.node_addresses[2], f"{STOCK}1", method="GET")
    assert answer.status == 404  # the route that was removed is not served again
    assert f'"version": {newest["version"]}' in site.nodes[2].log


async def test_server_that_leaves_gets_no_requests_of_any_node_soon(new_site):
    """It states so in its answers alone; its entry stays ready."""
    site = await new_site(node_count=3)
    leaving, staying = site.plain
    leaving.is_leaving = True

    async def call_all():
        for address in site.node_addresses * 4:
            answer = await site.caller.call(address, f"{STOCK}1", method="GET")
            assert answer.status == 200

    await call_all()
    await asyncio.sleep(1.0)  # the nodes tell one another
    before = len([run for run in site.log.runs if run.server == leaving.instance_id])
    assert before
    await call_all()
    after = len([run for run in site.log.runs if run.server == leaving.instance_id])
    assert after == before


async def test_server_that_asks_for_a_pause_gets_nothing_from_a_node_until_its_end(new_site):
    site = await new_site(node_count=1)
    server = site.plain[0]
    arrivals = []
    serve = server._serve

    async def record(exchange, body):
        arrivals.append(asyncio.get_running_loop().time())
        await serve(exchange, body)

    server._serve = record
    server.faults = ServerFaults(full=True, pause_s=1.0)
    started_s = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() < started_s + 2.0:
        answer = await site.caller.call(site.node_addresses[0], f"{STOCK}1", method="GET")
        assert answer.status == 200  # by the other server
        if len(arrivals) == 1:
            server.faults = ServerFaults()
    first, second = arrivals[:2]
    assert second - first >= 1.0


async def test_metrics_and_logs_show_a_refusal(new_site):
    site = await new_site(node_count=1)
    await site.caller.call(site.node_addresses[0], "/none/1", request_id="q-refused")
    assert '"reason": "no_route"' in site.nodes[0].log
    metrics = await site.caller.call(site.metrics_addresses[0], "/metrics", method="GET")
    assert b'reason="no_route"' in metrics.body


async def test_bad_settings_are_named(tmp_path):
    import subprocess
    import sys

    path = tmp_path / "bad.conf"
    path.write_text("nodeName=a\nbind.front=nowhere\nbounds.graceS=soon\n")
    ended = subprocess.run(
        [sys.executable, "-m", "flamingoshelf.platform", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert ended.returncode == 2
    for text in ("bind.front", "'nowhere'", "ip:port", "bounds.graceS", "zone: is missing"):
        assert text in ended.stderr
