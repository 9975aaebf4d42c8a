"""Token bucket that counts reserved tokens as present until they are used.

``balance`` holds all tokens of the bucket, and ``reserved`` those of it that running requests may
still use. A charge reserves; only use lowers the balance. As the balance refills up to the burst
and never beyond, the tokens that are used in any window ``[s, t]`` are at most
``balance(s) + rate * (t - s)``, at whatever moment between charge and settlement they are used.
"""

from collections import OrderedDict

import attrs

__all__ = ["Bucket", "Limit"]

_RESERVATION_LIFETIME_S = 300.0
_MEMORY_S = 30.0


@attrs.frozen(kw_only=True)
class Limit:
    """Rate and burst of one bucket."""

    rate_tokens_s: float
    burst_tokens: float


@attrs.define(kw_only=True)
class _Reservation:
    tokens: int
    reserved: int
    used: int
    expires_s: float


class Bucket:
    """One run of one part of a workspace's limit.

    Parameters
    ----------
    limit : Limit
        Rate and burst in force.
    started_s : float
        Time at which the bucket was empty.
    """

    def __init__(self, *, limit: Limit, started_s: float) -> None:
        self._limit = limit
        self._balance = 0.0
        self._reserved = 0
        self._updated_s = started_s
        self._reservations: OrderedDict[str, _Reservation] = OrderedDict()
        self._ended: OrderedDict[str, float] = OrderedDict()

    @property
    def available(self) -> float:
        """Tokens that a charge may reserve, as of the last call."""
        return self._balance - self._reserved

    def refill(self, now_s: float, limit: Limit) -> None:
        """Add what was earned since the last call and apply `limit` from now on.

        Of an old and a new rate the lower one counts for the time that has passed.
        """
        rate = min(self._limit.rate_tokens_s, limit.rate_tokens_s)
        earned = (now_s - self._updated_s) * rate
        self._balance = min(self._limit.burst_tokens, self._balance + earned)
        self._balance = min(limit.burst_tokens, self._balance)
        self._limit = limit
        self._updated_s = now_s
        self._forget(now_s)

    def charge(self, request_id: str, tokens: int, *, allow_part: bool = False) -> int:
        """Reserve `tokens` for a request; return how many are reserved for it, 0 if refused.

        A request that is charged again gets the answer that it got before.

        Parameters
        ----------
        request_id : str
            Request, never used for another one.
        tokens : int
            Tokens to reserve.
        allow_part : bool
            Whether fewer tokens are reserved if fewer are available.
        """
        known = self._reservations.get(request_id)
        if known is not None:
            return known.tokens
        if request_id in self._ended:
            return 0
        available = int(self.available)
        if available < tokens:
            tokens = max(0, available) if allow_part else 0
        if tokens > 0:
            self._reserved += tokens
            expires_s = self._updated_s + _RESERVATION_LIFETIME_S
            self._reservations[request_id] = _Reservation(
                tokens=tokens, reserved=tokens, used=0, expires_s=expires_s
            )
        return tokens

    def update(self, request_id: str, *, used_tokens: int, reserved_tokens: int) -> None:
        """Record what a request used so far and lower what it may still use.

        Late and doubled reports change nothing.
        """
        entry = self._reservations.get(request_id)
        if entry is None or used_tokens < entry.used:
            return
        self._spend(entry, used_tokens)
        allowed = max(0, entry.tokens - entry.used)
        reserved = max(0, min(reserved_tokens, entry.reserved, allowed))
        self._reserved -= entry.reserved - reserved
        entry.reserved = reserved

    def settle(self, request_id: str, *, used_tokens: int) -> int:
        """End a reservation; return by how many tokens it was exceeded.

        A request that was never charged here is remembered, so that a charge that arrives late
        reserves nothing.
        """
        self._ended.setdefault(request_id, self._updated_s + _MEMORY_S)
        entry = self._reservations.pop(request_id, None)
        if entry is None:
            return 0
        self._spend(entry, max(used_tokens, entry.used))
        self._reserved -= entry.reserved
        return max(0, used_tokens - entry.tokens)

    def _spend(self, entry: _Reservation, used_tokens: int) -> None:
        spent = used_tokens - entry.used
        self._balance -= spent
        freed = min(entry.reserved, spent)
        entry.reserved -= freed
        self._reserved -= freed
        entry.used = used_tokens

    def _forget(self, now_s: float) -> None:
        """Drop old request ids; what is reserved for too long counts as used."""
        while self._ended and next(iter(self._ended.values())) <= now_s:
            self._ended.popitem(last=False)
        while self._reservations:
            request_id, entry = next(iter(self._reservations.items()))
            if entry.expires_s > now_s:
                return
            self.settle(request_id, used_tokens=entry.used + entry.reserved)
