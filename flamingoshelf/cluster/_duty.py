"""Exclusive duties: one holder at a time, with fencing tokens."""

import secrets
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import ConflictError
from flamingoshelf.store import KindStore, StoreObject

__all__ = ["ExclusiveDuty", "FencingToken"]

_DUTY_KIND = "gateway-duties"
_TOKEN_LIFETIME_S = 0.5  # counted from before the write that acquires the token
# Allowance for the error in observing for how long another holder has not used the duty.
_LEASE_MARGIN_S = 0.3


@attrs.frozen(kw_only=True)
class FencingToken:
    """Fencing token of one use of a duty.

    Parameters
    ----------
    number : int
        Number that grows each time the duty is acquired.
    expires_at_s : float
        Time until which the token may be used, by the clock of the duty.
    """

    number: int
    expires_at_s: float


class ExclusiveDuty:
    """A duty that at most one node holds at a time, recorded by an object in the platform's store.

    Each use acquires the duty again by a conditional write, whose revision is the fencing token.
    So there is no lease to renew, and a holder that was partitioned, paused or replaced can't use
    an old token. Another node takes over only after it saw the object unchanged for the lease.

    Parameters
    ----------
    store : KindStore
        The platform's store.
    name : str
        Name of the duty.
    holder : str
        Name of this node.
    lease_s : callable
        Returns the time in seconds for which no other node takes over after a use of the duty.
    clock : callable
        Returns the time in seconds, including the time for which the process was suspended.
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
        # Revision that another holder wrote, and the time when this node first saw it.
        self._observed: tuple[int, float] | None = None

    async def acquire(self) -> FencingToken | None:
        """Acquire the duty and return a new token; None while another node holds it.

        Raises
        ------
        ObjectServiceError
            The store could not be reached.
        OutcomeUnknownError
            It is not known whether the duty was acquired.
        """
        snapshot = await self._store.list(_DUTY_KIND)
        found = snapshot.objects.get(self._name)
        if found is not None and not self._may_take_over(found):
            return None
        started_s = self._clock()
        # The random value makes each write a change: the store gives no new revision otherwise.
        content = {"holder": self._holder, "use": secrets.token_hex(4)}
        try:
            if found is None:
                written = await self._store.create(_DUTY_KIND, self._name, content)
            else:
                written = await self._store.replace(
                    _DUTY_KIND, self._name, content, expected_revision=found.revision
                )
        except ConflictError as error:
            logger.bind(step="duty", duty=self._name).info(
                "duty acquired by another node: {}", error
            )
            return None
        self._observed = None
        logger.bind(step="duty", duty=self._name, token=written.revision).info("duty acquired")
        return FencingToken(number=written.revision, expires_at_s=started_s + _TOKEN_LIFETIME_S)

    def is_valid(self, token: FencingToken) -> bool:
        """Return whether a token has not expired yet."""
        return self._clock() < token.expires_at_s

    def _may_take_over(self, found: StoreObject) -> bool:
        """Return whether this node is the holder, or the lease of the other holder has ended."""
        holder = found.content.get("holder") if isinstance(found.content, dict) else None
        if holder == self._holder:
            return True
        now = self._clock()
        if self._observed is None or self._observed[0] != found.revision:
            self._observed = (found.revision, now)
            logger.bind(step="duty", duty=self._name, peer=holder, token=found.revision).info(
                "duty held by another node"
            )
        return now - self._observed[1] >= self._lease_s() + _TOKEN_LIFETIME_S + _LEASE_MARGIN_S
