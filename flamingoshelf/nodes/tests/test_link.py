"""Requests, authentication, TLS and stops of links between nodes."""

import asyncio
import contextlib
import datetime
import ipaddress
import itertools
import os
import threading

import attrs
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from flamingoshelf.exceptions import (
    ConfigurationError,
    OutcomeUnknownError,
    PeerUnreachableError,
    RemoteError,
)
from flamingoshelf.nodes import WebsocketNodeLink, load_node_tls, message
from flamingoshelf.nodes._handshake import GREETING_HEADER, Identity, new_greeting
from lab.proxy import FaultProxy, ProxyMode

SECRET = b"a-secret-of-32-characters-for-it"
_hosts = itertools.count(1)


@message
@attrs.frozen(kw_only=True)
class Echo:
    text: str
    wait_s: float = 0.0


def new_address():
    pid = os.getpid()
    return f"127.{220 + (pid >> 8) % 20}.{pid & 255}.{next(_hosts)}:7400"


class Links:
    """Links of one test, each of which can resolve the addresses of the others."""

    def __init__(self):
        self.addresses = {}
        self.running = []

    async def start(self, name, *, address=None, incarnation="1", secret=SECRET, tls=None):
        self.addresses[name] = address or new_address()
        link = WebsocketNodeLink(
            node_name=name,
            incarnation=incarnation,
            listen_address=self.addresses[name],
            secret=secret,
            resolve=self.addresses.get,
            tls=tls,
        )
        link.register(Echo, self.echo)
        await link.start()
        self.running.append(link)
        return link

    async def echo(self, peer, request):
        await asyncio.sleep(request.wait_s)
        if request.text == "fail":
            raise ValueError("failure requested by the test")
        if request.text == "large":
            return Echo(text="x" * 5_000_000)
        return Echo(text=f"{peer}:{request.text}")


@pytest.fixture
async def links():
    links = Links()
    yield links
    for link in links.running:
        await link.stop()


async def test_requests_are_answered_concurrently(links):
    first, _ = await links.start("a"), await links.start("b")
    replies = await asyncio.gather(
        *(first.request("b", Echo(text=str(n), wait_s=0.3), timeout_s=2) for n in range(50))
    )
    assert [reply.text for reply in replies] == [f"a:{n}" for n in range(50)]
    assert first.counters.dials == 1
    assert first.counters.messages_sent == first.counters.messages_received == 50
    assert first.incarnation_of("b") == "1"


@pytest.mark.parametrize(
    ("peer", "text", "wait_s", "error"),
    [
        ("b", "fail", 0.0, RemoteError),
        ("b", "large", 0.0, RemoteError),
        ("b", "x" * 5_000_000, 0.0, PeerUnreachableError),
        ("b", "slow", 5.0, OutcomeUnknownError),
        ("a", "fail", 0.0, RemoteError),
        ("a", "slow", 5.0, OutcomeUnknownError),
        ("unknown", "text", 0.0, PeerUnreachableError),
    ],
)
async def test_a_failed_request_leaves_the_connection_usable(links, peer, text, wait_s, error):
    first, _ = await links.start("a"), await links.start("b")
    with pytest.raises(error):
        await first.request(peer, Echo(text=text, wait_s=wait_s), timeout_s=1.0)
    assert (await first.request("b", Echo(text="next"), timeout_s=2.0)).text == "a:next"
    assert first.counters.dials == 1


async def test_a_peer_that_does_not_accept_delays_no_other(links):
    first, _ = await links.start("a"), await links.start("b")
    silent = new_address()
    host, _, port = silent.rpartition(":")
    server = await asyncio.start_server(lambda reader, writer: None, host, int(port))
    links.addresses["silent"] = silent
    waiting = asyncio.create_task(first.request("silent", Echo(text="x"), timeout_s=5))
    async with asyncio.timeout(1.0):
        await first.request("b", Echo(text="x"), timeout_s=1.0)
    with pytest.raises(PeerUnreachableError):
        await waiting
    dials = first.counters.dials
    for _ in range(20):
        with pytest.raises(PeerUnreachableError):
            await first.request("silent", Echo(text="x"), timeout_s=5)
    assert first.counters.dials == dials, "the peer was dialled again during the backoff"
    server.close()


async def test_a_restarted_peer_shows_its_new_incarnation(links):
    first, second = await links.start("a"), await links.start("b")
    await first.request("b", Echo(text="x"), timeout_s=2)
    await second.stop()
    await links.start("b", address=links.addresses["b"], incarnation="2")
    async with asyncio.timeout(5):
        while first.incarnation_of("b") != "2":
            try:
                await first.request("b", Echo(text="x"), timeout_s=1)
            except (PeerUnreachableError, OutcomeUnknownError):
                await asyncio.sleep(0.05)


def opening_request(header):
    return (
        "GET / HTTP/1.1\r\nHost: b\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
        f"{GREETING_HEADER}: {header}\r\n\r\n"
    ).encode()


def greeting(secret=SECRET, target="b"):
    identity = Identity(name="a", incarnation="1")
    return new_greeting(identity, target=target).encode(secret)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00\xff\x00\xff\r\n\r\n",
        b"GET /status HTTP/1.1\r\nHost: b\r\n\r\n",
        opening_request(""),
        opening_request("no-greeting"),
        opening_request(greeting(secret=b"another-secret-of-32-characters-")),
        opening_request(greeting(target="c")),
    ],
    ids=["silent", "garbage", "http", "no greeting", "malformed", "other secret", "other target"],
)
async def test_unauthenticated_connection_is_closed_without_a_reply(links, data):
    link = await links.start("b")
    host, _, port = links.addresses["b"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(5):
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
    writer.close()
    await asyncio.sleep(0.05)
    assert link.counters.strangers == 1


async def test_replayed_greeting_is_rejected(links):
    await links.start("b")
    url = f"ws://{links.addresses['b']}"
    headers = {GREETING_HEADER: greeting()}
    async with connect(url, additional_headers=headers, proxy=None) as socket:
        assert await socket.recv()
    with pytest.raises((WebSocketException, OSError, EOFError)):
        await connect(url, additional_headers=headers, proxy=None)


async def test_a_greeting_without_a_valid_second_proof_is_rejected(links):
    link = await links.start("b")
    headers = {GREETING_HEADER: greeting()}
    url = f"ws://{links.addresses['b']}"
    async with connect(url, additional_headers=headers, proxy=None) as socket:
        await socket.recv()
        await socket.send(b"\x81X\x20" + bytes(32))
        with pytest.raises(WebSocketException):
            await socket.recv()
    assert link.counters.strangers == 1


def issue_certificate(name, issuer=None):
    """Return a key and its certificate; a self-signed authority if there is no issuer."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer_key, issuer_name = (key, subject) if issuer is None else (issuer[0], issuer[1].subject)
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer_name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(issuer_key, hashes.SHA256())
    )
    return key, certificate


def write_tls_files(folder, name, issuer):
    key, certificate = issue_certificate(name, issuer)
    pem = serialization.Encoding.PEM
    key_format = serialization.PrivateFormat.PKCS8
    no_encryption = serialization.NoEncryption()
    folder.mkdir(exist_ok=True)
    (folder / "key").write_bytes(key.private_bytes(pem, key_format, no_encryption))
    (folder / "certificate").write_bytes(certificate.public_bytes(pem))
    (folder / "authority").write_bytes(issuer[1].public_bytes(pem))
    return load_node_tls(
        certificate_file=folder / "certificate",
        key_file=folder / "key",
        authority_file=folder / "authority",
    )


async def test_nodes_exchange_messages_over_tls(links, tmp_path):
    authority = issue_certificate("fleet")
    first = await links.start("a", tls=write_tls_files(tmp_path / "a", "a", authority))
    await links.start("b", tls=write_tls_files(tmp_path / "b", "b", authority))
    assert (await first.request("b", Echo(text="x"), timeout_s=2)).text == "a:x"


@pytest.mark.parametrize("dialler_tls", ["none", "other authority"])
async def test_tls_is_required_when_set(links, tmp_path, dialler_tls):
    other = write_tls_files(tmp_path / "a", "a", issue_certificate("other"))
    first = await links.start("a", tls=None if dialler_tls == "none" else other)
    second = await links.start(
        "b", tls=write_tls_files(tmp_path / "b", "b", issue_certificate("fleet"))
    )
    with pytest.raises(PeerUnreachableError):
        await first.request("b", Echo(text="x"), timeout_s=3)
    with pytest.raises(PeerUnreachableError):
        await second.request("a", Echo(text="x"), timeout_s=3)


def test_tls_files_are_checked(tmp_path):
    write_tls_files(tmp_path, "a", issue_certificate("fleet"))
    (tmp_path / "key").write_text("no key")
    with pytest.raises(ConfigurationError):
        load_node_tls(
            certificate_file=tmp_path / "certificate",
            key_file=tmp_path / "key",
            authority_file=tmp_path / "authority",
        )


async def test_silent_peers_do_not_delay_a_stop(links):
    """Guard against a stop that waits for unresponsive peers.

    Each of two paused peers delayed the stop of a node by two seconds, beyond its grace period.
    """
    proxies = []
    for name in ("b", "c"):
        await links.start(name)
        proxy = FaultProxy(listen_address=new_address(), target_address=links.addresses[name])
        await proxy.start()
        proxies.append(proxy)
        links.addresses[name] = proxy.address
    link = await links.start("a")
    for name in ("b", "c"):
        await link.request(name, Echo(text="x"), timeout_s=2.0)
    for proxy in proxies:
        proxy.mode = ProxyMode.STALL
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    await link.stop()
    elapsed_s = loop.time() - start_s
    for proxy in proxies:
        await proxy.stop()
    assert elapsed_s < 1.0  # 0.15 s on an idle machine; it was 2 s for each silent peer


async def test_process_with_silent_peers_ends_at_once():
    """Guard against a closing task that outlives the stop.

    A peer is paused while this node handles its request; then the node stops.
    """
    links = Links()
    links.addresses["a"] = new_address()
    proxy = FaultProxy(listen_address=new_address(), target_address=links.addresses["a"])
    await proxy.start()
    is_listening, has_request, may_stop = (threading.Event() for _ in range(3))

    async def run_node():
        nodes = Links()
        link = await nodes.start("a", address=links.addresses["a"])

        async def block_forever(peer, request):
            has_request.set()
            await asyncio.Event().wait()

        link.register(Echo, block_forever)
        is_listening.set()
        await asyncio.to_thread(may_stop.wait)
        await link.stop()

    node = asyncio.create_task(asyncio.to_thread(asyncio.run, run_node()))
    await asyncio.to_thread(is_listening.wait, 5)
    peer = await links.start("b")
    links.addresses["a"] = proxy.address
    pending_request = asyncio.create_task(peer.request("a", Echo(text="x"), timeout_s=10))
    await asyncio.to_thread(has_request.wait, 5)
    proxy.mode = ProxyMode.STALL
    may_stop.set()
    # 0.15 s on an idle machine; with a task that still closed a websocket, it was 1.85 s more.
    async with asyncio.timeout(1.0):
        await asyncio.shield(node)
    await proxy.stop()
    with pytest.raises(OutcomeUnknownError):
        await pending_request
    await peer.stop()
