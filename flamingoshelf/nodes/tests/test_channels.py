"""Channels: order, back pressure, reuse, and their end at either side."""

import asyncio

import attrs
import pytest

from flamingoshelf.exceptions import OutcomeUnknownError, PeerUnreachableError
from flamingoshelf.nodes import message
from flamingoshelf.nodes.tests.test_link import Echo, links  # noqa: F401


@message
@attrs.frozen(kw_only=True)
class Question:
    count: int
    part_bytes: int = 10


class Server:
    """Answers questions on the channels of a link with so many parts."""

    def __init__(self, link):
        self.channels = 0
        self.sent = 0
        self.ended = asyncio.Event()
        link.serve_channels(self.serve)

    async def serve(self, channel):
        self.channels += 1
        try:
            while True:
                question = await channel.receive()
                for number in range(question.count):
                    await channel.send(bytes([number % 256]) * question.part_bytes)
                    self.sent += 1
                await channel.send(Question(count=question.count))
        finally:
            self.ended.set()


async def ask(link, count):
    channel = await link.take_channel("b")
    await channel.send(Question(count=count))
    parts = [await channel.receive() for _ in range(count + 1)]
    link.give_back_channel(channel)
    return parts


async def test_messages_and_bytes_keep_their_order(links):  # noqa: F811
    first, second = await links.start("a"), await links.start("b")
    Server(second)
    parts = await ask(first, 300)
    assert parts == [*(bytes([n % 256]) * 10 for n in range(300)), Question(count=300)]


async def test_channel_is_used_again(links):  # noqa: F811
    first, second = await links.start("a"), await links.start("b")
    server = Server(second)
    for _ in range(5):
        await ask(first, 3)
    assert server.channels == 1
    await asyncio.gather(*(ask(first, 3) for _ in range(5)))
    assert server.channels == 5


async def test_slow_reader_holds_up_its_channel_alone(links):  # noqa: F811
    first, second = await links.start("a"), await links.start("b")
    server = Server(second)
    channel = await first.take_channel("b")
    await channel.send(Question(count=2000, part_bytes=60_000))
    await asyncio.sleep(0.5)
    assert server.sent < 500
    assert (await first.request("b", Echo(text="x"), timeout_s=1.0)).text == "a:x"
    channel.abort()
    async with asyncio.timeout(1.0):
        await server.ended.wait()


async def test_end_of_the_other_node_ends_the_exchange(links):  # noqa: F811
    first, second = await links.start("a"), await links.start("b")
    Server(second)
    channel = await first.take_channel("b")
    await channel.send(Question(count=1))
    assert await channel.receive() == b"\0" * 10
    await second.stop()
    with pytest.raises(OutcomeUnknownError):
        for _ in range(3):
            await channel.receive()
    first.give_back_channel(channel)
    with pytest.raises(PeerUnreachableError):
        await first.take_channel("b")


@pytest.mark.parametrize("peer", ["unknown", "b"])
async def test_channel_needs_a_known_node_that_shares_the_secret(links, peer):  # noqa: F811
    first = await links.start("a")
    second = await links.start("b", secret=b"another-secret-of-32-characters!")
    server = Server(second)
    with pytest.raises(PeerUnreachableError):
        await first.take_channel(peer)
    assert not server.channels


async def test_node_that_serves_no_channels_closes_them(links):  # noqa: F811
    first = await links.start("a")
    await links.start("b")
    channel = await first.take_channel("b")
    with pytest.raises(OutcomeUnknownError):
        await channel.receive()
