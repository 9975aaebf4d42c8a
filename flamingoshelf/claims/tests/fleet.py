"""A small fleet in one process: real claim and service code with fake store, links and service."""

import asyncio
import hashlib
import json
import random
from collections import Counter, defaultdict

from starlette.requests import Request

from flamingoshelf.backends import PlainReply
from flamingoshelf.base import VersionedObject
from flamingoshelf.callers._admission import Admission
from flamingoshelf.callers._services import ServiceEndpoint
from flamingoshelf.claims import (
    AttemptRegistry,
    BatchingPolicy,
    ClaimService,
    ClaimWriter,
    RetentionRule,
)
from flamingoshelf.exceptions import (
    ConflictError,
    ObjectServiceError,
    OutcomeUnknownError,
    PeerUnreachableError,
)
from flamingoshelf.objects import Catalog, parse_document
from flamingoshelf.retries import Backoff, RetryBudgets
from flamingoshelf.routing import EjectionRule, ServerSelector
from flamingoshelf.services import ServiceRouter
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import TaskGroup

RULE = RetentionRule(retention_s=1e6, generation_s=20.0, generation_bytes=600)
KEY_OF_A, KEY_OF_B = "a" * 32, "b" * 32


class FakeStore:
    """Object service in memory with outages, lost answers and late writes."""

    def __init__(self):
        self.objects = {}
        self.versions = 0
        self.writes = 0
        self.down = False
        self.lose_answers = 0
        self.late_writes = 0
        self.delay_s = 0.001

    async def get(self, key):
        await self._begin_call()
        return self.objects.get(key)

    async def keys(self, prefix):
        await self._begin_call()
        return sorted(key for key in self.objects if key.startswith(prefix))

    async def put(self, key, value, *, expected_version):
        await self._begin_call()
        if self.late_writes:
            self.late_writes -= 1
            asyncio.get_running_loop().call_later(0.3, self._write, key, value, expected_version)
            raise OutcomeUnknownError("timeout", step="put")
        version = self._write(key, value, expected_version)
        if version is None:
            raise ConflictError("version", step="put")
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknownError("answer lost", step="put")
        return version

    async def delete(self, key, *, expected_version):
        await self._begin_call()
        if self._version(key) != expected_version:
            raise ConflictError("version", step="delete")
        del self.objects[key]

    async def _begin_call(self):
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise ObjectServiceError("down", step="store")

    def _version(self, key):
        return self.objects[key].version if key in self.objects else 0

    def _write(self, key, value, expected_version):
        if self._version(key) != expected_version:
            return None
        self.versions += 1
        self.writes += 1
        self.objects[key] = VersionedObject(key=key, value=value, version=self.versions)
        return self.versions


class NodeStore:
    """One node's access to the store; fails while the node is in `Fleet.cut_from_store`."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def __getattr__(self, method):
        async def call(*args, **kwargs):
            if self._name in self._fleet.cut_from_store:
                raise ObjectServiceError("cut off", step="store")
            return await getattr(self._fleet.store, method)(*args, **kwargs)

        return call


class FakeLink:
    """Requests between nodes of the fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.node_name = name
        self.incarnation = f"{name}-{random.random()}"
        self.handlers = {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, peer, message, *, timeout_s):
        if peer in self.fleet.cut_off or self.node_name in self.fleet.cut_off:
            raise PeerUnreachableError("cut off", step="request", peer=peer)
        if peer not in self.fleet.nodes:
            raise PeerUnreachableError("not running", step="request", peer=peer)
        node = self.fleet.nodes[peer]
        if self.fleet.late_messages:
            self.fleet.late_messages -= 1
            node.tasks.start(self._late(node, message), name="late")
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("no reply", step="request", peer=peer)
        return await node.link.handlers[type(message)](self.node_name, message)

    def notify(self, peer, message):
        raise NotImplementedError

    @staticmethod
    async def _late(node, message):
        await asyncio.sleep(4)
        await node.link.handlers[type(message)]("late", message)


class FakeService:
    """Backend server that executes calls; each call takes its behaviour from `modes`, if any."""

    def __init__(self):
        self.executions: Counter[str] = Counter()
        self.sent = set()
        self.modes = []
        self.delay_s = 0.01

    async def call(self, address, call, *, timeout_s):
        mode = self.modes.pop(0) if self.modes else "answer"
        headers = dict(call.headers)
        if mode == "refuse":
            raise PeerUnreachableError("refused", step="call", peer=address)
        self.sent.add(headers["x-request"])
        if mode == "crash_before":
            raise OutcomeUnknownError("reset", step="call", peer=address)
        await asyncio.sleep(self.delay_s)
        key = headers["Idempotency-Key"]
        self.executions[key] += 1
        if mode == "crash_after":
            raise OutcomeUnknownError("reset", step="call", peer=address)
        if mode == "slow":
            await asyncio.sleep(1.5)
        body = f"{headers['x-request']} {self.executions[key]}".encode()
        return PlainReply(status=201, headers={"content-type": "text/plain"}, body=body)


class Node:
    """Claims and service endpoint of one node."""

    def __init__(self, fleet, name):
        self.tasks = TaskGroup(owner=name)
        self.link = FakeLink(fleet, name)
        self.metrics = Metrics(node_name=name)
        randomness = random.Random(7)
        self.writer = ClaimWriter(
            store=NodeStore(fleet, name),
            link=self.link,
            metrics=self.metrics,
            rule=fleet.rule,
            batching=BatchingPolicy(interval_s=0.1, max_outcome_wait_s=0.05),
            wall_time_s=fleet.wall_time_s,
            random_source=randomness,
        )
        self.claims = ClaimService(
            writer=self.writer,
            attempts=AttemptRegistry(link=self.link),
            link=self.link,
            ownership=fleet,
            metrics=self.metrics,
            wall_time_s=fleet.wall_time_s,
        )
        selector = ServerSelector(data_centre="a", rule=EjectionRule(), random_source=randomness)
        router = ServiceRouter(
            catalog=lambda: fleet.catalog,
            client=fleet.service,
            selector=selector,
            budgets=RetryBudgets(node_count=lambda: 1),
            metrics=self.metrics,
            backoff=Backoff(random_source=randomness),
        )
        admission = Admission(
            catalog=lambda: fleet.catalog,
            accepts_keys=lambda: True,
            metrics=self.metrics,
            max_body_bytes=10_000,
        )
        self.endpoint = ServiceEndpoint(
            admission=admission, router=router, claims=self.claims, background=self.tasks
        )

    async def crash(self):
        await self.tasks.stop()
        await self.claims._tasks.stop()
        await self.writer.stop()


class Fleet:
    """Nodes that share a store and a service; also serves as their `Ownership`."""

    def __init__(self, names=("n0", "n1", "n2"), rule=RULE, **service):
        self.rule = rule
        self.store = FakeStore()
        self.service = FakeService()
        self.order = list(names)
        self.cut_off = set()
        self.cut_from_store = set()
        self.late_messages = 0
        self.starts = 0
        self.catalog = build_catalog(**service)
        self.nodes = {}
        self.nodes = {name: Node(self, name) for name in names}

    def wall_time_s(self):
        return 1e9 + asyncio.get_running_loop().time()

    def candidates(self, duty, key):
        return self.order

    async def restart(self, name):
        await self.nodes.pop(name).crash()
        await asyncio.sleep(0)
        self.nodes[name] = Node(self, name)

    async def call(self, name, key, body, request_id="r", api_key=KEY_OF_A):
        """Book through a node; return the status and the body, or the decoded problem document."""
        headers = {
            "authorization": f"Bearer {api_key}",
            "idempotency-key": f'"{key}"',
            "x-request": request_id,
        }
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/bookings/van",
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        response = await self.nodes[name].endpoint.call(Request(scope, receive))
        if response.media_type == "application/problem+json":
            return response.status_code, json.loads(bytes(response.body))
        return response.status_code, response.body


def build_catalog(**service):
    def document(kind, name, **spec):
        return {"kind": kind, "name": name, "spec": spec}

    documents = [
        document("pool", "plain", role="plain"),
        document("service", "desk", pool="plain", **service),
        document("route", "desk", path_prefix="/bookings", service="desk"),
    ]
    for number in range(2):
        address = f"127.0.0.1:{9000 + number}"
        documents.append(
            document("backend_server", f"s{number}", pool="plain", address=address, data_centre="a")
        )
    for name, key in (("wa", KEY_OF_A), ("wb", KEY_OF_B)):
        digest = hashlib.sha256(key.encode()).hexdigest()
        documents.append(document("workspace", name, rate_tokens_s=1, burst_tokens=1))
        documents.append(document("key", f"{name}-key", workspace=name, sha256=digest))
    return Catalog(revision=1, objects=[parse_document(item) for item in documents])


def group_by_key(calls):
    """Return the calls grouped by idempotency key."""
    grouped = defaultdict(list)
    for call in calls:
        grouped[call.key].append(call)
    return grouped
