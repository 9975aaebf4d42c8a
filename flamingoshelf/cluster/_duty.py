"""The exclusive right to give orders, with a fencing token."""

import secrets
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import ConflictError
from flamingoshelf.store import KindStore, StoreObject

__all__ = ["ExclusiveDuty", "FencingToken"]

_KIND = "gateway-duties"
# How long a token may be used after the store confirmed it.
_USE_S = 0.5
# Error of the observation that another holder has been quiet for the lease.
_MARGIN_S = 0.3


@attrs.frozen(kw_only=True)
class FencingToken:
    """A number that grows each time it is taken, and until when it may be used."""

    number: int
    use_by_s: float


class ExclusiveDuty:
    """A duty that one node has at a time, kept by an object in the platform's store.

    Each use takes the duty anew by a conditional write, whose revision is the fencing token. So
    there is nothing to renew, and a holder that was cut off, paused or replaced can't use an old
    right. Another node takes over only after it saw the object unchanged for the lease.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    name : str
        Name of the duty.
    holder : str
        Name of this node.
    lease_s : callable
        Returns the time for which other nodes leave the duty alone after it was used.
    clock : callable
        Returns the time in seconds, with the time for which the process was suspended.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        name: str,
        holder: str,
        lease_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._name = name
        self._holder = holder
        self._lease_s = lease_s
        self._clock = clock
        self._seen: tuple[int, float] | None = None  # another holder's revision, and since when

    async def take(self) -> FencingToken | None:
        """Take the duty; None while another node has it.

        Raises
        ------
        ObjectServiceError, OutcomeUnknownError
            The store can't be asked, or it is not known whether the duty was taken.
        """
        snapshot = await self._store.list(_KIND)
        found = snapshot.objects.get(self._name)
        if found is not None and not self._may_follow(found):
            return None
        began_s = self._clock()
        # A write that changes nothing has no revision of its own.
        content = {"holder": self._holder, "use": secrets.token_hex(4)}
        try:
            if found is None:
                written = await self._store.create(_KIND, self._name, content)
            else:
                written = await self._store.replace(
                    _KIND, self._name, content, expected_revision=found.revision
                )
        except ConflictError as error:
            logger.bind(step="duty", duty=self._name).info("another node took it: {}", error)
            return None
        self._seen = None
        logger.bind(step="duty", duty=self._name, token=written.revision).info("taken")
        return FencingToken(number=written.revision, use_by_s=began_s + _USE_S)

    def is_usable(self, token: FencingToken) -> bool:
        """Return whether a token may still be used."""
        return self._clock() < token.use_by_s

    def _may_follow(self, found: StoreObject) -> bool:
        """Return whether the holder of an object is this node or has been quiet for the lease."""
        holder = found.content.get("holder") if isinstance(found.content, dict) else None
        if holder == self._holder:
            return True
        now = self._clock()
        if self._seen is None or self._seen[0] != found.revision:
            self._seen = (found.revision, now)
            logger.bind(step="duty", duty=self._name, peer=holder, token=found.revision).info(
                "another node has it"
            )
        return now - self._seen[1] >= self._lease_s() + _USE_S + _MARGIN_S
