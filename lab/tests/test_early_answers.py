"""Whole nodes whose servers answer large uploads early, with a part of an answer."""

import asyncio

import pytest

from lab.gateway._records import ServerFaults
from lab.gateway._site import BOOKINGS, NOTES, RESUMABLE

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

UPLOAD = b"x" * 8_000_000  # more than sockets hold
CALLS = 6


async def start_site(new_site, **faults):
    site = await new_site(node_count=1)
    limits = {**site.configuration()["limits"], "maxBodyBytes": 16_000_000}
    site.configure(limits=limits)
    await asyncio.sleep(0.5)
    for server in [*site.engines[1:], *site.plain]:  # prompts are processed
        server.faults = ServerFaults(early_next=100, **faults)
    return site


async def call(site, path, body):
    answers = []
    for number in range(CALLS):
        answers.append(
            await site.caller.call(
                site.node_addresses[0], f"{path}{number}", body=body, tokens=(100, 80)
            )
        )
    return answers


# A part of an answer without a length was passed on as a whole one: its server had ended its side
# while the upload was still being written, and then reset the connection.
@pytest.mark.parametrize("path", [BOOKINGS, NOTES, RESUMABLE])
@pytest.mark.parametrize("ends_side", [True, False], ids=["end", "reset"])
async def test_part_of_an_early_answer_is_not_whole(new_site, path, ends_side):
    site = await start_site(new_site, ends_side=ends_side)
    for answer in await call(site, path, UPLOAD):
        assert answer.status != 200 or not answer.is_complete, answer
    assert any(server.faults.early_next < 100 for server in site.servers)


# Clients take such a status for anything.
@pytest.mark.parametrize("status", [0, 42, 600, 999])
@pytest.mark.parametrize("path", [BOOKINGS, RESUMABLE])
async def test_status_that_is_none_is_not_passed_on(new_site, path, status):
    site = await start_site(new_site, early_status=status)
    for answer in await call(site, path, b"small"):
        assert answer.status in (502, 503, 504), answer
