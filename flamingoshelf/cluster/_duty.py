"""Exclusive duties: one holder at a time, with fencing tokens."""

import secrets
from collections.abc import Callable

import attrs
from loguru import logger

from flamingoshelf.exceptions import ConflictError, OutcomeUnknownError
from flamingoshelf.store import KindStore, StoreEras, StoreObject, era_of

__all__ = ["ExclusiveDuty", "FencingToken"]

_DUTY_KIND = "gateway-duties"
_TOKEN_LIFETIME_S = 0.5  # counted from before the write that acquires the token
# Allowance for the error in observing for how long another holder has not used the duty.
_LEASE_MARGIN_S = 0.3
_FIRST_ERA = 1  # nothing was restored before
_MAX_UNCERTAIN_USES = 16  # a lost write takes effect within seconds


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
    eras : StoreEras
        Eras of the store.

    Notes
    -----
    After a restore of the store from a copy, the object may be gone or name an earlier holder, and
    the last holder may have used the duty just before. So tokens of the earlier era are no longer
    valid, and each node waits for the lease before it acquires the duty for the first time in the
    new era, whatever the object says. Tokens hold the era, so they grow over restores.
    """

    def __init__(
        self,
        *,
        store: KindStore,
        name: str,
        holder: str,
        lease_s: Callable[[], float],
        clock: Callable[[], float],
        eras: StoreEras,
    ) -> None:
        self._eras = eras
        self._store = store
        self._name = name
        self._holder = holder
        self._lease_s = lease_s
        self._clock = clock
        # Revision that another holder wrote, and the time when this node first saw it.
        self._observed: tuple[int, float] | None = None
        self._acquired_era: int | None = None  # era of the last token
        self._era_seen: tuple[int, float] | None = None  # era, and the time of its first list
        # Eras of uses that were written with unknown effect. In a later era, such a write may
        # overwrite the object of another holder that got the same revision.
        self._uncertain_uses: dict[str, int] = {}

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
        era = era_of(snapshot.revision)
        found = snapshot.objects.get(self._name)
        has_waited = self._has_waited_after_restore(era)  # both waits run at the same time
        if (found is not None and not self._may_take_over(found)) or not has_waited:
            return None
        started_s = self._clock()
        # The random value makes each write a change: the store gives no new revision otherwise.
        use = secrets.token_hex(4)
        content = {"holder": self._holder, "use": use}
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
        except OutcomeUnknownError:
            self._record_uncertain_use(use, era)
            raise
        if era_of(written.revision) != era:
            self._record_uncertain_use(use, era)
            raise OutcomeUnknownError("the store was restored from a copy", step="duty")
        self._observed = None
        self._acquired_era = era
        logger.bind(step="duty", duty=self._name, token=written.revision).info("duty acquired")
        return FencingToken(number=written.revision, expires_at_s=started_s + _TOKEN_LIFETIME_S)

    def is_valid(self, token: FencingToken) -> bool:
        """Return whether a token has not expired, and the store was not restored since."""
        return self._clock() < token.expires_at_s and era_of(token.number) == self._eras.current

    def _has_waited_after_restore(self, era: int) -> bool:
        """Return whether the lease of a holder of the era before has ended in any case."""
        if era <= _FIRST_ERA or era == self._acquired_era:
            return True
        now = self._clock()
        if self._era_seen is None or self._era_seen[0] != era:
            self._era_seen = (era, now)
            logger.bind(step="duty", duty=self._name, era=era).info(
                "waiting for the lease of a holder before the restore"
            )
        return now - self._era_seen[1] >= self._wait_s

    @property
    def _wait_s(self) -> float:
        """Seconds after a use by another holder until this node may take over."""
        return self._lease_s() + _TOKEN_LIFETIME_S + _LEASE_MARGIN_S

    def _record_uncertain_use(self, use: str, era: int) -> None:
        self._uncertain_uses[use] = era
        while len(self._uncertain_uses) > _MAX_UNCERTAIN_USES:
            del self._uncertain_uses[next(iter(self._uncertain_uses))]

    def _may_take_over(self, found: StoreObject) -> bool:
        """Return whether this node is the holder, or the lease of the other holder has ended."""
        content = found.content if isinstance(found.content, dict) else {}
        holder = content.get("holder")
        era = era_of(found.revision)
        is_own = self._uncertain_uses.get(str(content.get("use")), era) == era
        if holder == self._holder and is_own:
            return True
        now = self._clock()
        if self._observed is None or self._observed[0] != found.revision:
            self._observed = (found.revision, now)
            logger.bind(step="duty", duty=self._name, peer=holder, token=found.revision).info(
                "duty held by another node"
            )
        return now - self._observed[1] >= self._wait_s
