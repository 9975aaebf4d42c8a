"""Registration of this node in the platform's store."""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Any

from loguru import logger

from flamingoshelf.cluster._members import Member, MemberList
from flamingoshelf.exceptions import ConflictError, FlamingoshelfError
from flamingoshelf.store import KindSnapshot, KindStore, StoreEras
from flamingoshelf.utils import TaskGroup

__all__ = ["Registration"]

_NODE_KIND = "gateway-nodes"
_SECRET_NAME = "link-secret"
_SECRET_BYTES = 32  # length of the SHA-256 digest of the HMAC that uses the secret as its key
_RETRY_BASE_S = 0.1  # the store replies within a few milliseconds
_RENEWAL_JITTER_S = 0.5  # spreads the writes of all nodes after a restore of the store
_SECRET_WAIT_S = 2.0  # the jitter and some retries of the nodes that write the secret again
_MAX_RETRY_S = 1.0  # a node has to join within a second after the store has recovered


class Registration:
    """Writes this node's entry to the store, and reads the other entries and the shared secret.

    Attempts are repeated with a backoff until one succeeds.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    name, address, data_centre, incarnation : str
        Content of the entry: the node and its run.
    capacity : float
        Number of cores that the VM can use, lower if its network link is slow.
    is_first_start : bool
        Whether the fleet starts for the first time, so that the entry probably does not exist yet.
    members : MemberList
        List to which this node and the other registered nodes are added.
    on_registered : callable
        ``await on_registered(member, secret)`` is called once with this node's entry and the
        secret that the nodes share.
    random_source : random.Random
        Source of the jitter of the retries.
    eras : StoreEras
        Eras of the store; after a restore from a copy, this node writes again what may be gone.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        name: str,
        address: str,
        data_centre: str,
        incarnation: str,
        capacity: float,
        is_first_start: bool,
        members: MemberList,
        on_registered: Callable[[Member, bytes], Any],
        random_source: random.Random,
        eras: StoreEras,
    ) -> None:
        self._eras = eras
        self._registered: tuple[Member, bytes] | None = None
        self._store = store
        self._name = name
        self._address = address
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._capacity = capacity
        self._is_first_start = is_first_start
        self._members = members
        self._on_registered = on_registered
        self._random = random_source
        self._tasks = TaskGroup(owner="registration")
        eras.subscribe(self._on_restored)

    async def start(self) -> None:
        """Start the registration in the background."""
        self._tasks.start(self._run(), name="register")

    async def stop(self) -> None:
        """Cancel a registration that is in progress."""
        await self._tasks.stop()

    def remove_node(self, name: str) -> None:
        """Remove a node that has left permanently from the list, and its entry from the store."""
        self._members.remove(name)
        self._tasks.start(self._delete(name), name="delete")

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                member, secret = await self._register()
            except FlamingoshelfError as error:
                failures += 1
                if failures == 1:
                    logger.bind(step="register", peer=error.peer).warning(
                        "registration failed; retrying: {}", error.message
                    )
                backoff_s = min(_MAX_RETRY_S, _RETRY_BASE_S * 2**failures)
                await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
                continue
            logger.bind(step="register", rank=member.rank, members=len(self._members)).info(
                "node registered"
            )
            self._registered = member, secret
            await self._on_registered(member, secret)
            return

    def _on_restored(self) -> None:
        self._tasks.start(self._renew(), name="renew")

    async def _renew(self) -> None:
        """Write entry and secret again after a restore of the store, which may have lost them.

        The rank stays the same, so that the order of the nodes does.
        """
        if self._registered is None:
            return  # the registration under way is made in the new era
        member, secret = self._registered
        era = self._eras.current
        failures = 0
        await asyncio.sleep(self._random.uniform(0.0, _RENEWAL_JITTER_S))
        while era == self._eras.current:
            try:
                await self._store.put(
                    _NODE_KIND,
                    self._name,
                    {**self._content, "rank": member.rank},
                    is_likely_new=False,
                )
                await self._restore_secret(secret)
            except FlamingoshelfError as error:
                failures += 1
                logger.bind(step="register", peer=error.peer, era=era).info(
                    "renewal of the registration failed; retrying: {}", error.message
                )
                backoff_s = min(_MAX_RETRY_S, _RETRY_BASE_S * 2**failures)
                await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
                continue
            logger.bind(step="register", era=era, rank=member.rank).info("registration renewed")
            return

    async def _restore_secret(self, secret: bytes) -> None:
        try:
            await self._store.create(_NODE_KIND, _SECRET_NAME, {"secret": secret.decode()})
        except ConflictError:
            logger.bind(step="register").debug("the shared secret is still in the store")

    @property
    def _content(self) -> dict[str, Any]:
        return {
            "address": self._address,
            "data_centre": self._data_centre,
            "capacity": self._capacity,
            # Makes the entry of each run differ: without a change, the store would give no new
            # revision, and so no new rank.
            "incarnation": self._incarnation,
        }

    async def _register(self) -> tuple[Member, bytes]:
        written = await self._store.put(
            _NODE_KIND, self._name, self._content, is_likely_new=self._is_first_start
        )
        member = Member(
            name=self._name,
            address=self._address,
            data_centre=self._data_centre,
            rank=written.revision,
            capacity=self._capacity,
        )
        snapshot = await self._store.list(_NODE_KIND)
        secret = _parse_secret(snapshot)
        if secret is None and self._eras.was_restored and not self._is_first_start:
            # Nodes that know the secret write it again; a second one would split the fleet.
            await asyncio.sleep(_SECRET_WAIT_S)
        if secret is None:
            snapshot, secret = await self._create_secret()
        self._members.merge([*_parse_members(snapshot), member])
        return member, secret

    async def _create_secret(self) -> tuple[KindSnapshot, bytes]:
        """Create the shared secret; if another node created it first, use that one."""
        content = {"secret": secrets.token_hex(_SECRET_BYTES)}
        try:
            await self._store.create(_NODE_KIND, _SECRET_NAME, content)
        except ConflictError:
            logger.bind(step="register").info("shared secret created by another node")
        snapshot = await self._store.list(_NODE_KIND)
        secret = _parse_secret(snapshot)
        if secret is None:
            raise ConflictError("the shared secret can't be read", step="register")
        return snapshot, secret

    async def _delete(self, name: str) -> None:
        try:
            await self._store.delete(_NODE_KIND, name)
        except FlamingoshelfError as error:
            logger.bind(step="register", peer=name).info(
                "deleting an entry failed: {}", error.message
            )


def _parse_secret(snapshot: KindSnapshot) -> bytes | None:
    found = snapshot.objects.get(_SECRET_NAME)
    text = found.content.get("secret") if found and isinstance(found.content, dict) else None
    return text.encode() if isinstance(text, str) else None


def _parse_members(snapshot: KindSnapshot) -> list[Member]:
    members = []
    for item in snapshot.objects.values():
        content = item.content if isinstance(item.content, dict) else {}
        address, data_centre = content.get("address"), content.get("data_centre")
        capacity, rank = content.get("capacity"), content.get("rank")
        if isinstance(address, str) and isinstance(data_centre, str):
            members.append(
                Member(
                    name=item.name,
                    address=address,
                    data_centre=data_centre,
                    rank=rank if isinstance(rank, int) else item.revision,
                    capacity=float(capacity) if isinstance(capacity, int | float) else 1.0,
                )
            )
    return members
