"""Interfaces that packages use of one another.

Behaviour that varies is a `Protocol`. The verbs are uniform: `start` and `stop` for whatever owns
tasks, `request` and `notify` for messages, `get`, `put`, `delete`, `keys` and `watch` for objects.
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
    """Something that owns tasks."""

    async def start(self) -> None:
        """Start the tasks."""

    async def stop(self) -> None:
        """End the tasks and release what they hold."""


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

    All methods raise `ObjectServiceError` when nothing took effect, and `put` and `delete` raise
    `OutcomeUnknownError` when the answer was lost and `ConflictError` when another version was
    found.
    """

    async def get(self, key: str) -> VersionedObject | None:
        """Return the object, or None if there is none."""

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write `value` if the object has `expected_version` (0: absent); return the version."""

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete the object if it has `expected_version`."""

    async def keys(self, prefix: str) -> Sequence[str]:
        """Return the sorted names that begin with `prefix`."""

    async def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> VersionedObject | None:
        """Wait until the object's version is above `after_version`; None when time ran out."""


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
        Name that the platform gave; never used again for another VM.
    address : str
        ``ip:port`` at which the node's peers reach it.
    data_centre : str
        Data centre of the VM.
    state : VmState
        Whether the VM is to leave.
    """

    name: str
    address: str
    data_centre: str
    state: VmState = VmState.LIVE


@attrs.frozen(kw_only=True)
class VmListSnapshot:
    """The platform's VM list at one version. It lags behind the truth."""

    version: int
    vms: tuple[VirtualMachine, ...]


class VmList(Protocol):
    """Source of the platform's VM list."""

    async def snapshot(self) -> VmListSnapshot:
        """Return the list; raise `ObjectServiceError` if it can't be had."""


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
        """Have ``handler(peer, message)`` answer messages of `message_type`.

        The handler's return value is the reply; None stands for no reply to a notification.
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
    """Which node has which duty.

    An exclusive duty has one holder at the most at any time, whatever fails. An advisory duty
    may have two for a short time.
    """

    def holders(self, duty: Duty, key: str, *, count: int = 1) -> Sequence[str]:
        """Return the holders of an exclusive duty for `key`, `count` of them at the most."""

    def holds(self, duty: Duty, key: str) -> bool:
        """Return whether this node may exercise the exclusive duty for `key` now."""

    def candidates(self, duty: Duty, key: str) -> Sequence[str]:
        """Return the reachable nodes for an advisory duty, best first."""

    def fencing_number(self, duty: Duty, key: str) -> int:
        """Return a number that grows each time the exclusive duty changes hands."""
