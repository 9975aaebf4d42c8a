"""Whole nodes, while another writer has left an odd entry among those of the backend servers."""

import asyncio
import json

import pytest

from lab.gateway._checks import is_served
from lab.gateway._site import BOOKINGS, RESUMABLE

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

ODD_ENTRIES = {
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested less": b'{"a":' * 500 + b"1" + b"}" * 500,
    "long number": b'{"slots": ' + b"9" * 5000 + b"}",
    "not JSON": b'{"service": }',
    "not UTF-8": b'{"service": "\xff"}',
}
ODD_FIELDS: dict[str, dict[str, object]] = {
    "nested field": {"models": "NESTED"},
    "large slots": {"slots": 10**400},
    "long start": {"born": 10**30},
    "port out of range": {"address": "127.0.0.1:70000"},
    "port without end": {"address": "127.0.0.1:" + "9" * 5000},
    "port in other digits": {"address": "127.0.0.1:\u0661\u0662\u0663\u0664"},
    "name in place of an address": {"address": "desk-app.example:80"},
    "no address": {"address": "127.0.0.1:"},
}


def odd_entry(site, name):
    """Return the bytes of an entry that resembles that of a server but for one field."""
    if name in ODD_ENTRIES:
        return ODD_ENTRIES[name]
    entry = {**site.plain[0].entry(), **ODD_FIELDS[name]}
    nested = "[" * 100_000 + "]" * 100_000
    return json.dumps(entry).replace('"NESTED"', nested).encode()


# One odd entry kept the nodes from following the list of servers, and from starting; others were
# used, and each call to them ended in 500.
@pytest.mark.parametrize("name", [*ODD_ENTRIES, *ODD_FIELDS])
async def test_odd_entry_costs_nothing_but_itself(new_site, name):
    site = await new_site(node_count=3, plain_count=2)  # the last one follows the first one
    site.store.put_raw("servers", "i-odd", odd_entry(site, name))
    await asyncio.sleep(0.3)
    gone = site.plain[0]
    site.store.remove("servers", gone.instance_id)
    await asyncio.sleep(0.5)
    await gone.stop()
    for node, address in zip(site.nodes[1:], site.ready_addresses[1:], strict=True):
        node.kill()
        node.start()
        await site.wait_until_ready(address)
    calls = []
    for number in range(10):
        for address in site.node_addresses:
            calls.append(await site.caller.call(address, f"{BOOKINGS}{number}"))
    tokens = (100, 80)
    for address in site.node_addresses:
        calls.append(await site.caller.call(address, f"{RESUMABLE}1", tokens=tokens))
    assert all(is_served(answer) for answer in calls), {a.status for a in calls}
    assert all(node.is_running for node in site.nodes)
