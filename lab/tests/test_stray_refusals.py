"""Whole nodes, and servers that write an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, STOCK

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

CALLS = 300
NOT_RUN_STATUSES = (408, 421, 429, 503)


# Callers were told that a booking hadn't run while it ran, or it ran at a second server.
async def test_refusal_without_an_id_is_no_answer_on_a_used_connection(new_site):
    site = await new_site()
    for server in site.plain:
        server.faults = ServerFaults(stray_refusals=0.3)

    async def call(number):
        path, method = ((BOOKINGS, "POST"), (STOCK, "GET"))[number % 2]
        address = site.node_addresses[number // 2 % 2]
        return await site.caller.call(address, f"{path}{number}", method=method)

    answers = []
    for first in range(0, CALLS, 6):
        answers += await asyncio.gather(*(call(first + number) for number in range(6)))
    bookings = [(answer, site.log.runs_of(answer.request_id)) for answer in answers[::2]]
    assert not [answer.status for answer, runs in bookings if len(runs) > 1]
    assert not [a.status for a, runs in bookings if a.status in NOT_RUN_STATUSES and runs]
    # The answer that follows belongs to the request.
    assert sum(answer.status == 200 for answer in answers) >= 0.98 * CALLS
