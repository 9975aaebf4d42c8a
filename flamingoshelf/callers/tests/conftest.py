"""Caller application with fake engines, placer and limiter that tests control."""

import asyncio
import hashlib
import json
import random

import aiosonic
import attrs
import pytest
from result import Ok

from flamingoshelf.backends import (
    DecodedToken,
    DecodeEnd,
    EngineLoad,
    PrefillResult,
)
from flamingoshelf.callers import (
    Admission,
    CompletionDependencies,
    CompletionEndpoints,
    ServiceEndpoint,
    build_caller_app,
)
from flamingoshelf.daemon._http_server import HttpServer
from flamingoshelf.dispatch import Grant
from flamingoshelf.http_client import new_http_client
from flamingoshelf.limits import Charge
from flamingoshelf.objects import Catalog, parse_document
from flamingoshelf.quarantine import Quarantine, QuarantineService
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup
from lab.local_fleet import LocalFleet
from lab.processes import AddressPool, wait_until_listening

KEY = "fsk-desk-0123456789abcdef"
WITHDRAWN_KEY = "fsk-desk-fedcba9876543210"
MAX_BODY_BYTES = 4096


def _document(kind, name, **spec):
    return parse_document({"kind": kind, "name": name, "spec": spec})


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


@pytest.fixture
def catalog():
    return Catalog(
        revision=1,
        objects=[
            _document("workspace", "desk", rate_tokens_s=1000, burst_tokens=10_000),
            _document("key", "desk-1", workspace="desk", sha256=_digest(KEY)),
            _document(
                "key", "desk-2", workspace="desk", sha256=_digest(WITHDRAWN_KEY), withdrawn=True
            ),
            _document("weight_store", "weights", address="127.0.0.1:1", bytes_per_s=1e9),
            _document(
                "model_version",
                "writer-1",
                weights="w",
                weight_store="weights",
                context_tokens=2048,
                tokens_per_byte_bound=0.25,
            ),
            _document("pool", "prefill", role="prefill"),
            _document("pool", "decode", role="decode"),
            _document(
                "model",
                "writer",
                version="writer-1",
                prefill_pools=["prefill"],
                decode_pools=["decode"],
            ),
        ],
    )


@attrs.define(slots=False)
class FakeEngines:
    """Fake engines that record the attempts they hold.

    Decoding pauses before token ``gate_index`` until ``gate`` is set.
    """

    token_count: int = 5
    gate_index: int = 10**6
    gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    held: set[str] = attrs.field(factory=set)
    prompts: list[str] = attrs.field(factory=list)

    async def prefill(self, address, task, *, timeout_s):
        self.held.add(task.request_id)
        self.prompts.append(task.prompt)
        return PrefillResult(
            request_id=task.request_id,
            prompt_tokens=7,
            cached_tokens=0,
            kv_bytes=1,
            lifetime_s=1,
        )

    async def import_kv(self, address, **order):
        pass

    async def decode(self, address, *, request_id, **options):
        for index in range(self.token_count):
            if index >= self.gate_index:
                await self.gate.wait()
            yield DecodedToken(request_id=request_id, index=index, text=f"t{index} ")
        self.held.discard(request_id)
        yield DecodeEnd(
            request_id=request_id, finish_reason="stop", completion_tokens=self.token_count
        )

    async def cancel(self, address, request_id):
        self.held.discard(request_id)

    async def load(self, address):
        return EngineLoad(held=tuple(self.held), used_pieces=0, queued=0)


@attrs.define
class FakePlacer:
    """Fake placer that grants as soon as ``open`` is set."""

    open: asyncio.Event = attrs.field(factory=asyncio.Event)
    waiting: int = 0
    granted: int = 0

    async def acquire(self, request):
        self.waiting += 1
        try:
            await self.open.wait()
        finally:
            self.waiting -= 1
        self.granted += 1
        grant = Grant(
            request_id=request.request_id,
            prefill_server="prefill-0",
            prefill_address="p",
            decode_server="decode-0",
            decode_address="d",
        )
        return Ok(grant)

    def release_prefill(self, grant):
        pass

    def release(self, grant):
        self.granted -= 1

    def report_failure(self, *arguments, **options):
        pass


@attrs.define
class FakeLimiter:
    """Fake limiter that accepts every charge and records the used tokens."""

    used: list[int] = attrs.field(factory=list)

    async def charge(self, *, request_id, workspace, tokens):
        return Ok(Charge(request_id=request_id, workspace=workspace, tokens=tokens))

    def update(self, charge, *, used_tokens, reserved_tokens):
        pass

    def settle(self, charge, *, used_tokens):
        self.used.append(used_tokens)


@attrs.define
class CallerSite:
    """The application at `address` with its fakes and an HTTP client."""

    address: str
    engines: FakeEngines
    placer: FakePlacer
    limiter: FakeLimiter
    client: aiosonic.HTTPClient
    accepts_keys: bool = True
    is_leaving: bool = False

    async def post(self, document, *, path="/v1/completions", key=KEY, headers=None):
        """Send a POST request; return status and parsed body."""
        all_headers = {"Authorization": f"Bearer {key}"} if key else {}
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        response = await self.client.post(
            f"http://{self.address}{path}", data=body, headers=all_headers | (headers or {})
        )
        return response.status_code, json.loads(await response.content())

    async def open_raw(self, data):
        """Send `data` over a new connection; return reader and writer."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        return reader, writer

    async def open_completion(self, document):
        """Send a completion request over a new connection; return reader and writer."""
        body = json.dumps(document).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return await self.open_raw(head.encode() + body)


@pytest.fixture
async def caller_site(catalog):
    engines, placer, limiter = FakeEngines(), FakePlacer(), FakeLimiter()
    placer.open.set()
    client = new_http_client()
    site = CallerSite(
        address=AddressPool().reserve()[0],
        engines=engines,
        placer=placer,
        limiter=limiter,
        client=client,
    )
    metrics = Metrics(node_name="node-0")
    admission = Admission(
        catalog=lambda: catalog,
        accepts_keys=lambda: site.accepts_keys,
        metrics=metrics,
        max_body_bytes=MAX_BODY_BYTES,
    )
    background = TaskGroup(owner="background")
    dependencies = CompletionDependencies(
        engines=engines,
        placer=placer,
        quarantine=QuarantineService(
            quarantine=Quarantine(), peers=tuple, metrics=metrics, random_source=random.Random(1)
        ),
        limiter=limiter,
        metrics=metrics,
        background=background,
    )
    app = build_caller_app(
        admission=admission,
        completions=CompletionEndpoints(
            admission=admission, dependencies=dependencies, incarnation="i"
        ),
        services=ServiceEndpoint(
            admission=admission,
            router=None,  # type: ignore[arg-type]
            claims=None,  # type: ignore[arg-type]
            background=background,
        ),
        is_leaving=lambda: site.is_leaving,
    )
    server = HttpServer(app=app, address=site.address, shutdown_timeout_s=1)
    await server.start()
    await wait_until_listening(site.address)
    yield site
    await server.stop()
    await background.drain()
    await client.connector.cleanup()


@pytest.fixture
async def fleet():
    """Nodes and engines in this process, under simulated time; the test starts them."""
    fleet = LocalFleet()
    yield fleet
    await fleet.stop()
