"""Example sites: nodes, backend servers, objects and load."""

import hashlib
from typing import Any

import attrs

__all__ = ["SCENARIOS", "Scenario", "WorkspaceLoad", "api_key_of"]


@attrs.frozen(kw_only=True)
class WorkspaceLoad:
    """One workspace and its share of the load.

    Parameters
    ----------
    name : str
        Name of the workspace.
    share : float
        Fraction of all completion requests.
    rate_tokens_s : float
        Rate limit, in tokens per second.
    """

    name: str
    share: float
    rate_tokens_s: float


@attrs.frozen(kw_only=True)
class Scenario:
    """One site.

    Parameters
    ----------
    name : str
        Name of the site.
    data_centres : tuple of str
        Data centres of the site.
    node_count : int
        Nodes, spread over the data centres.
    prefill_count, decode_count, plain_count : int
        Backend servers, spread over the data centres.
    route_prefix : str
        Path prefix of the plain service.
    workspaces : tuple of WorkspaceLoad
        Workspaces of the site.
    prompt_chars, max_tokens : tuple of int
        Ranges of the prompt length in characters and of the requested ``max_tokens``.
    unfairness_tokens : int
        Fleet setting that balances goodput against the worst-served workspace.
    capacity_per_s : float
        Highest rate of completion requests that the site can serve, per second.
    """

    name: str
    data_centres: tuple[str, ...]
    node_count: int
    prefill_count: int
    decode_count: int
    plain_count: int
    route_prefix: str
    workspaces: tuple[WorkspaceLoad, ...]
    prompt_chars: tuple[int, int]
    max_tokens: tuple[int, int]
    unfairness_tokens: int
    capacity_per_s: float

    def resized(self, *, node_count: int, prefill_count: int, decode_count: int) -> "Scenario":
        """Return a copy of the scenario with other numbers of nodes and engines."""
        return attrs.evolve(
            self, node_count=node_count, prefill_count=prefill_count, decode_count=decode_count
        )

    def objects(self, prefill: list[str], decode: list[str], plain: list[str]) -> list[Any]:
        """Return the documents of all objects, for backend servers at the given addresses."""
        documents = [
            _document("fleet", "fleet", unfairness_tokens=self.unfairness_tokens),
            _document("weight_store", "weights", address="127.0.0.1:1", bytes_per_s=1e9),
            _document(
                "model_version",
                "writer-1",
                weights="writer/1",
                weight_store="weights",
                tokens_per_byte_bound=0.25,
            ),
            _document("pool", "prefill", role="prefill"),
            _document("pool", "decode", role="decode"),
            _document("pool", "plain", role="plain"),
            _document(
                "model",
                "writer",
                version="writer-1",
                prefill_pools=["prefill"],
                decode_pools=["decode"],
            ),
            _document("service", "desk", pool="plain"),
            _document("route", "desk", path_prefix=self.route_prefix, service="desk"),
        ]
        for pool, addresses in (("prefill", prefill), ("decode", decode), ("plain", plain)):
            documents += self._servers(pool, addresses)
        for workspace in self.workspaces:
            documents += self._workspace(workspace)
        return documents

    def _servers(self, pool: str, addresses: list[str]) -> list[Any]:
        return [
            _document(
                "backend_server",
                f"{pool}-{number}",
                pool=pool,
                address=address,
                data_centre=self.data_centres[number % len(self.data_centres)],
            )
            for number, address in enumerate(addresses)
        ]

    def _workspace(self, workspace: WorkspaceLoad) -> list[Any]:
        rate = workspace.rate_tokens_s
        digest = hashlib.sha256(api_key_of(workspace.name).encode()).hexdigest()
        return [
            _document("workspace", workspace.name, rate_tokens_s=rate, burst_tokens=int(rate * 10)),
            _document("key", f"{workspace.name}-key", workspace=workspace.name, sha256=digest),
        ]


def api_key_of(workspace: str) -> str:
    """Return the API key of a workspace's callers."""
    return f"fsk-{workspace}-{hashlib.sha256(workspace.encode()).hexdigest()[:24]}"


def _document(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    return {"kind": kind, "name": name, "spec": spec}


_HIMAL = Scenario(
    name="himal",
    data_centres=("kathmandu-a", "kathmandu-b", "pokhara"),
    node_count=6,
    prefill_count=3,
    decode_count=6,
    plain_count=3,
    route_prefix="/bookings",
    workspaces=(
        WorkspaceLoad(name="kathmandu-north", share=0.35, rate_tokens_s=14000.0),
        WorkspaceLoad(name="kathmandu-south", share=0.3, rate_tokens_s=12000.0),
        WorkspaceLoad(name="pokhara-lake", share=0.2, rate_tokens_s=8000.0),
        WorkspaceLoad(name="pokhara-road", share=0.1, rate_tokens_s=4500.0),
        WorkspaceLoad(name="workshop", share=0.05, rate_tokens_s=3000.0),
    ),
    prompt_chars=(800, 8000),
    max_tokens=(120, 480),
    unfairness_tokens=16384,
    capacity_per_s=17.0,
)

_SECOND_HEARTH = Scenario(
    name="second-hearth",
    data_centres=("north", "middle", "south"),
    node_count=6,
    prefill_count=2,
    decode_count=3,
    plain_count=3,
    route_prefix="/pickups",
    workspaces=(
        WorkspaceLoad(name="harbour-shop", share=0.3, rate_tokens_s=6000.0),
        WorkspaceLoad(name="station-shop", share=0.25, rate_tokens_s=5000.0),
        WorkspaceLoad(name="market-shop", share=0.2, rate_tokens_s=4000.0),
        WorkspaceLoad(name="mill-shop", share=0.15, rate_tokens_s=3000.0),
        WorkspaceLoad(name="chapel-shop", share=0.1, rate_tokens_s=3000.0),
    ),
    prompt_chars=(800, 8000),
    max_tokens=(120, 480),
    unfairness_tokens=2048,
    capacity_per_s=8.5,
)

SCENARIOS = {scenario.name: scenario for scenario in (_HIMAL, _SECOND_HEARTH)}
