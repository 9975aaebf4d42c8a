"""Kinds of configuration objects that operators change.

Each kind is an `attrs` class. A field that names other objects has their kind in its metadata,
see `_reference_field`.
"""

from enum import StrEnum
from typing import Any, ClassVar

import attrs

from flamingoshelf.utils import check_positive, check_range

__all__ = [
    "BackendServer",
    "BackendState",
    "Fleet",
    "Key",
    "Kind",
    "Model",
    "ModelVersion",
    "NamedObject",
    "ObjectId",
    "ObjectSpec",
    "Pool",
    "PoolRole",
    "Route",
    "SPEC_CLASSES",
    "ServiceSpec",
    "WeightStore",
    "Workspace",
    "references_of",
]


class Kind(StrEnum):
    """Kinds of objects."""

    FLEET = "fleet"
    WORKSPACE = "workspace"
    KEY = "key"
    MODEL = "model"
    MODEL_VERSION = "model_version"
    POOL = "pool"
    BACKEND_SERVER = "backend_server"
    ROUTE = "route"
    SERVICE = "service"
    WEIGHT_STORE = "weight_store"


class PoolRole(StrEnum):
    """What the backend servers of a pool do."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class BackendState(StrEnum):
    """Whether a backend server takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


_REFERENCE_METADATA_KEY = "refers_to"


def _reference_field(kind: Kind, **options: Any) -> Any:
    """Return a field that holds the name, or a tuple of names, of objects of `kind`."""
    return attrs.field(metadata={_REFERENCE_METADATA_KEY: kind}, **options)


def _validate_positive(instance: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    check_positive(attribute.name, value)


def _validate_fraction(instance: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    check_range(attribute.name, value, low=0, high=1)


def _validate_address(instance: Any, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    host, separator, port = str(value).rpartition(":")
    if not separator or not port.isdigit() or not host.replace(".", "").isdigit():
        raise ValueError(f"{attribute.name} is {value!r}; it must be IP:PORT")


@attrs.frozen(kw_only=True)
class Fleet:
    """Settings of the whole fleet; there is one object of this kind, named ``fleet``.

    Parameters
    ----------
    unfairness_tokens : int
        Tokens by which a workspace may exceed its fair share where that raises goodput.
    first_token_target_s, token_gap_target_s : float
        Latency targets, in seconds.
    key_freshness_s : float
        Longest time that a node accepts keys without a confirmed configuration.
    lifted_quarantines : tuple of str
        Keys of request contents that are run although they crashed engines.
    outage_key_lifetime_s : float
        Longest time that keys are accepted without a confirmed configuration while every data
        centre reports that the object service is unreachable.
    """

    unfairness_tokens: int = attrs.field(default=8192, validator=_validate_positive)
    first_token_target_s: float = attrs.field(default=0.47, validator=_validate_positive)
    token_gap_target_s: float = attrs.field(default=0.053, validator=_validate_positive)
    key_freshness_s: float = attrs.field(default=10.0, validator=_validate_positive)
    lifted_quarantines: tuple[str, ...] = ()
    outage_key_lifetime_s: float = attrs.field(default=86_400.0, validator=_validate_positive)


@attrs.frozen(kw_only=True)
class Workspace:
    """A tenant.

    Parameters
    ----------
    rate_tokens_s : float
        Rate limit over the whole fleet, in prompt and output tokens a second.
    burst_tokens : int
        Tokens that may be spent at once.
    weight : float
        Share of a contended pool relative to other workspaces.
    priority : int
        Priority that is passed to the engines; lower is more urgent.
    max_wait_s : float
        Longest time in seconds that a request may wait for a place.
    """

    rate_tokens_s: float = attrs.field(validator=_validate_positive)
    burst_tokens: int = attrs.field(validator=_validate_positive)
    weight: float = attrs.field(default=1.0, validator=_validate_positive)
    priority: int = 0
    max_wait_s: float = attrs.field(default=30.0, validator=_validate_positive)


@attrs.frozen(kw_only=True)
class Key:
    """A caller's key, held as its SHA-256.

    Parameters
    ----------
    workspace : str
        Workspace that requests with this key run for.
    sha256 : str
        Hexadecimal digest of the key.
    withdrawn : bool
        Whether requests with the key are refused.
    """

    workspace: str = _reference_field(Kind.WORKSPACE)
    sha256: str = attrs.field()
    withdrawn: bool = False

    @sha256.validator
    def _check_sha256(self, attribute: "attrs.Attribute[str]", value: str) -> None:
        if len(value) != 64 or set(value) - set("0123456789abcdef"):
            raise ValueError(f"sha256 is {value!r}; it must be 64 lower-case hexadecimal digits")


@attrs.frozen(kw_only=True)
class WeightStore:
    """A store of model weights with a limited rate.

    Parameters
    ----------
    address : str
        ``ip:port``.
    bytes_per_s : float
        Rate in bytes a second that all loads together may use.
    """

    address: str = attrs.field(validator=_validate_address)
    bytes_per_s: float = attrs.field(validator=_validate_positive)


@attrs.frozen(kw_only=True)
class ModelVersion:
    """One version of a model.

    Parameters
    ----------
    weights : str
        Name of the weights in the weight store.
    weight_store : str
        Weight store that holds them.
    weights_bytes : int
        Size of the weights in bytes.
    tokens_per_byte_bound : float
        Upper bound of the prompt tokens per byte of UTF-8 prompt text.
    kv_bytes_per_token : int
        Size of the KV cache per token, in bytes.
    context_tokens : int
        Largest number of prompt and output tokens of one request.
    """

    weights: str
    weight_store: str = _reference_field(Kind.WEIGHT_STORE)
    weights_bytes: int = attrs.field(default=1, validator=_validate_positive)
    tokens_per_byte_bound: float = attrs.field(default=1.0, validator=_validate_fraction)
    kv_bytes_per_token: int = attrs.field(default=163_840, validator=_validate_positive)
    context_tokens: int = attrs.field(default=32_768, validator=_validate_positive)


@attrs.frozen(kw_only=True)
class Pool:
    """A set of backend servers with one role.

    Parameters
    ----------
    role : PoolRole
        What the backend servers of the pool do.
    """

    role: PoolRole


@attrs.frozen(kw_only=True)
class Model:
    """A model under the name that callers use.

    Parameters
    ----------
    version : str
        Version that the engines run.
    prefill_pools, decode_pools : tuple of str
        Pools that serve the model.
    """

    version: str = _reference_field(Kind.MODEL_VERSION)
    prefill_pools: tuple[str, ...] = _reference_field(Kind.POOL)
    decode_pools: tuple[str, ...] = _reference_field(Kind.POOL)


@attrs.frozen(kw_only=True)
class BackendServer:
    """A model engine or a plain server.

    Parameters
    ----------
    pool : str
        Pool that the server belongs to.
    address : str
        ``ip:port``.
    data_centre : str
        Data centre of the server.
    state : BackendState
        Whether the server takes new work.
    places : int
        Number of requests that a decode engine runs concurrently.
    kv_pieces : int
        Number of KV cache pieces (blocks) of a decode engine.
    piece_tokens : int
        Number of tokens that one piece holds.
    prefill_tokens_s : float
        Tokens a second that a prefill engine processes.
    link_bytes_s : float
        Rate of the server's link for KV cache transfers, in bytes a second.
    checks_fencing : bool
        Whether the server refuses orders with an old fencing number.
    """

    pool: str = _reference_field(Kind.POOL)
    address: str = attrs.field(validator=_validate_address)
    data_centre: str
    state: BackendState = BackendState.LIVE
    places: int = attrs.field(default=20, validator=_validate_positive)
    kv_pieces: int = attrs.field(default=64, validator=_validate_positive)
    piece_tokens: int = attrs.field(default=4096, validator=_validate_positive)
    prefill_tokens_s: float = attrs.field(default=16000.0, validator=_validate_positive)
    link_bytes_s: float = attrs.field(default=2.5e9, validator=_validate_positive)
    checks_fencing: bool = False

    @property
    def key(self) -> str:
        """Identity of the server among those of its pool."""
        return self.address

    @property
    def accepts_new_work(self) -> bool:
        """Whether the server may be chosen for new work."""
        return self.state is BackendState.LIVE


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A service on plain backend servers.

    Parameters
    ----------
    pool : str
        Pool of its servers.
    idempotent : bool
        Whether all of its calls may be repeated. Calls with the methods GET and HEAD always may.
    honours_idempotency_keys : bool
        Whether the service itself carries out a call once for each idempotency key.
    timeout_s : float
        Longest time in seconds that a call may take.
    """

    pool: str = _reference_field(Kind.POOL)
    idempotent: bool = False
    honours_idempotency_keys: bool = False
    timeout_s: float = attrs.field(default=10.0, validator=_validate_positive)


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix that is routed to a plain service; the longest matching prefix applies.

    Parameters
    ----------
    path_prefix : str
        Prefix of the request's path, such as ``/bookings``.
    service : str
        Service that answers the requests.
    open : bool
        Whether requests without a key are served.
    """

    path_prefix: str
    service: str = _reference_field(Kind.SERVICE)
    open: bool = False

    def __attrs_post_init__(self) -> None:
        if not self.path_prefix.startswith("/") or self.path_prefix.startswith("/v1/"):
            raise ValueError(
                f"path_prefix is {self.path_prefix!r}; it must start with '/' but not with '/v1/'"
            )


ObjectSpec = (
    Fleet
    | Workspace
    | Key
    | WeightStore
    | ModelVersion
    | Pool
    | Model
    | BackendServer
    | ServiceSpec
    | Route
)

SPEC_CLASSES: dict[Kind, type[Any]] = {
    Kind.FLEET: Fleet,
    Kind.WORKSPACE: Workspace,
    Kind.KEY: Key,
    Kind.WEIGHT_STORE: WeightStore,
    Kind.MODEL_VERSION: ModelVersion,
    Kind.POOL: Pool,
    Kind.MODEL: Model,
    Kind.BACKEND_SERVER: BackendServer,
    Kind.SERVICE: ServiceSpec,
    Kind.ROUTE: Route,
}


@attrs.frozen(kw_only=True, order=True)
class ObjectId:
    """Kind and name of an object."""

    kind: Kind
    name: str

    _SEPARATOR: ClassVar[str] = "/"

    def __str__(self) -> str:
        return f"{self.kind.value}{self._SEPARATOR}{self.name}"


@attrs.frozen(kw_only=True)
class NamedObject:
    """One object: its name and its specification."""

    id: ObjectId
    spec: ObjectSpec


def references_of(item: NamedObject) -> list[tuple[str, ObjectId]]:
    """Return the field name and the target of every reference that `item` holds."""
    references = []
    for attribute in attrs.fields(type(item.spec)):
        kind = attribute.metadata.get(_REFERENCE_METADATA_KEY)
        if kind is None:
            continue
        value = getattr(item.spec, attribute.name)
        names = (value,) if isinstance(value, str) else value
        references += [(attribute.name, ObjectId(kind=kind, name=name)) for name in names]
    return references
