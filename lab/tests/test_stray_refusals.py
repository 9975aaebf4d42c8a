"""Whole nodes, and servers that write an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, NOTES, STOCK

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

CALLS = 300
ROUNDS, CALM_NOTES = 4, 20
SHORT, LONG = (100, 16), (100, 400)  # tokens of notes
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


# Callers were told that a note hadn't run while it ran, or it ran at a second engine: its first
# engine had refused it, sent that refusal once more, and ran it when it was sent there again.
async def test_second_copy_of_a_refusal_is_not_that_of_the_request_sent_again(new_site):
    site = await new_site(node_count=1, decode_count=2)
    answers = []

    async def send_note(tokens):
        address, path = site.node_addresses[0], f"{NOTES}1"
        answers.append(await site.caller.call(address, path, tokens=tokens, deadline_ms=8000))

    for _ in range(ROUNDS):
        for _ in range(CALM_NOTES):  # these earn the retries
            await send_note(SHORT)
        running = [asyncio.create_task(send_note(LONG)) for _ in range(3)]
        await asyncio.sleep(0.15)
        for engine in site.engines[1:]:  # those that decode
            engine.faults = ServerFaults(refuse_next=1, repeated_refusals=1.0)
        await send_note(SHORT)
        await asyncio.gather(*running)
    runs_of = {answer.request_id: site.log.runs_of(answer.request_id) for answer in answers}
    assert not [name for name, runs in runs_of.items() if len(runs) > 1]
    refused = [answer for answer in answers if answer.status in NOT_RUN_STATUSES]
    assert not [answer.request_id for answer in refused if runs_of[answer.request_id]]
    served = [answer for answer in answers if answer.status == 200 and answer.is_complete]
    assert len(served) >= 0.95 * len(answers)
