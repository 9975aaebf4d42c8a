"""Whole nodes, some cut from all servers, where new connections to servers are slow for all."""

import asyncio

import pytest

from flamingoshelf.utils import now_s
from lab.gateway._cut_load import CutLoad, served_share
from lab.gateway._paths import CutForm
from lab.tests.test_cut_nodes import CONTACT_S, INTERVAL_S, coordinator_of

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

WARM_S, CUT_S, AFTER_S = 7.0, 8.0, 4.0  # the first connections of all nodes are slow, too
CONNECTIONS_PER_S = 20.0  # of all nodes, to all servers
HEALED_S = 1.0
MIN_SERVED = 0.9


# The nodes that were cut off opened so many connections, and all nodes gave so many up, that none
# was answered in time: nodes that reached every server believed that nobody did, refused all, and
# went on to do so after the end of the cut.
@pytest.mark.parametrize(
    ("node_count", "cut_count", "form"),
    [(6, 4, CutForm.RESET), (6, 4, CutForm.HANG), (4, 2, CutForm.RESET)],
)
async def test_slow_connections_and_cut_nodes_keep_nobody_from_the_servers(
    new_path_site, node_count, cut_count, form
):
    site = await new_path_site(node_count)
    site.accept_queue.per_s = CONNECTIONS_PER_S
    numbers = [(coordinator_of(site) + 1 + step) % node_count for step in range(node_count)]
    nodes, others = numbers[:cut_count], numbers[cut_count:]
    load = CutLoad(site, interval_s=INTERVAL_S)
    running = asyncio.ensure_future(load.run(WARM_S + CUT_S + AFTER_S))
    await asyncio.sleep(WARM_S)
    began_s = now_s()
    site.cut(nodes, form)
    await asyncio.sleep(CUT_S)
    healed_s = now_s()
    site.heal()
    await running
    assert load.find_breaches() == []
    for span in ((began_s + CONTACT_S, healed_s), (healed_s + HEALED_S, now_s())):
        for some in (nodes, others):
            assert served_share(load.between(*span, some)) >= MIN_SERVED, (span, some)
