"""Interfaces between packages.

Replaceable behaviour is declared as a `Protocol`. Method names are uniform: `start` and `stop` for
components that own tasks, `request` and `notify` for messages, `get`, `put`, `delete`, `keys` and
`watch` for objects.
"""

from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum
from typing import Any, Protocol, TypeVar, runtime_checkable

import attrs

__all__ = [
    "Duty",
    "NodeLink",
    "ObjectService",
    "Ownership",
    "Service",
    "VersionedObject",
    "VirtualMachine",
    "VmList",
    "VmListSnapshot",
    "VmState",
]

MessageT = TypeVar("MessageT")


@runtime_checkable
class Service(Protocol):
    """A component that owns background tasks."""

    async def start(self) -> None:
        """Start the tasks."""

    async def stop(self) -> None:
        """Stop the tasks and release their resources."""


@attrs.frozen(kw_only=True)
class VersionedObject:
    """One object of the platform's object service.

    Parameters
    ----------
    key : str
        Name of the object.
    value : bytes
        Content, at most one megabyte.
    version : int
        Version that the service assigned; every update raises it.
    """

    key: str
    value: bytes
    version: int


class ObjectService(Protocol):
    """The platform's versioned object service.

    All methods raise `ObjectServiceError` if the call had no effect. `put` and `delete` raise
    `OutcomeUnknownError` if the reply was lost, so that the call may have taken effect, and
    `ConflictError` if the object has another version than the expected one.
    """

    async def get(self, key: str) -> VersionedObject | None:
        """Return the object, or None if it does not exist."""

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write `value` and return the new version.

        The object must have `expected_version`; 0 means that it must not exist.
        """

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete the object if it has `expected_version`."""

    async def keys(self, prefix: str) -> Sequence[str]:
        """Return the sorted names that begin with `prefix`."""

    async def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> VersionedObject | None:
        """Return the object once its version exceeds `after_version`, or None after `timeout_s`."""


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class VirtualMachine:
    """One entry of the platform's VM list.

    Parameters
    ----------
    name : str
        Name assigned by the platform; never reused for another VM.
    address : str
        ``ip:port`` at which the node's peers reach it.
    data_centre : str
        Data centre of the VM.
    state : VmState
        Whether the VM stays in service or is about to leave.
    """

    name: str
    address: str
    data_centre: str
    state: VmState = VmState.LIVE


@attrs.frozen(kw_only=True)
class VmListSnapshot:
    """The platform's VM list at one version; it may lag behind the actual set of VMs."""

    version: int
    vms: tuple[VirtualMachine, ...]


class VmList(Protocol):
    """Source of the platform's VM list."""

    async def snapshot(self) -> VmListSnapshot:
        """Return the current list; raise `ObjectServiceError` if it can't be fetched."""


class NodeLink(Protocol):
    """Messages between this node and its peers.

    Messages are `attrs` classes of `flamingoshelf.nodes`. A peer is named by its VM name.
    """

    @property
    def node_name(self) -> str:
        """VM name of this node."""

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the node's process."""

    async def request(self, peer: str, message: Any, *, timeout_s: float) -> Any:
        """Send `message` and return the peer's reply.

        Raises
        ------
        PeerUnreachableError
            Nothing was sent.
        OutcomeUnknownError
            The message may have arrived, but no reply came within `timeout_s`.
        RemoteError
            The peer's handler failed.
        """

    def notify(self, peer: str, message: Any) -> None:
        """Send `message` without a reply; it may be lost."""

    def register(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], Awaitable[Any]]
    ) -> None:
        """Register ``handler(peer, message)`` for messages of `message_type`.

        The handler's return value is sent as the reply. Handlers of notifications return None.
        """


class Duty(StrEnum):
    """Kinds of work that the slot table assigns to nodes."""

    WORKSPACE_LIMIT = "workspace_limit"
    BACKEND_ORDERS = "backend_orders"
    WEIGHT_STORE = "weight_store"
    CLAIM_SHARD = "claim_shard"
    DISPATCH = "dispatch"
    SWEEP = "sweep"
    CONFIGURATION_WATCH = "configuration_watch"


class Ownership(Protocol):
    """Assignment of duties to nodes.

    An exclusive duty has at most one holder at any time, even during failures. An advisory duty
    may briefly have two holders.
    """

    def holders(self, duty: Duty, key: str, *, count: int = 1) -> Sequence[str]:
        """Return at most `count` holders of an exclusive duty for `key`."""

    def holds(self, duty: Duty, key: str) -> bool:
        """Return whether this node may exercise the exclusive duty for `key` now."""

    def candidates(self, duty: Duty, key: str) -> Sequence[str]:
        """Return the reachable nodes for an advisory duty, best first."""

    def fencing_number(self, duty: Duty, key: str) -> int:
        """Return a number that increases each time the holder of the exclusive duty changes."""
