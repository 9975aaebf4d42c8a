"""Token bucket that keeps reserved tokens in its balance until they are used.

``balance`` counts all tokens of the bucket, and ``reserved`` those that running requests may still
use. A charge only reserves tokens; use lowers the balance. As the balance never refills beyond the
burst, the tokens that are used in any window ``[s, t]`` are at most
``balance(s) + rate * (t - s)``, no matter when between charge and settlement they are used.
"""

from collections import OrderedDict

import attrs

__all__ = ["Bucket", "Limit"]

_RESERVATION_LIFETIME_S = 300.0
_SETTLED_ID_LIFETIME_S = 30.0


@attrs.frozen(kw_only=True)
class Limit:
    """Rate in tokens per second and burst in tokens of one bucket."""

    rate_tokens_s: float
    burst_tokens: float


@attrs.define(kw_only=True)
class _Reservation:
    """Tokens that one request was charged, may still use (`reserved`) and has used."""

    tokens: int
    reserved: int
    used: int
    expires_s: float


class Bucket:
    """Token bucket of one part of a workspace's limit; starts empty.

    Parameters
    ----------
    limit : Limit
        Rate and burst in force.
    started_s : float
        Time in seconds at which the empty bucket starts to refill.
    """

    def __init__(self, *, limit: Limit, started_s: float) -> None:
        self._limit = limit
        self._balance = 0.0
        self._reserved = 0
        self._updated_s = started_s
        self._reservations: OrderedDict[str, _Reservation] = OrderedDict()
        self._settled_until_s: OrderedDict[str, float] = OrderedDict()

    @property
    def available(self) -> float:
        """Tokens that a charge may reserve, as of the last call."""
        return self._balance - self._reserved

    def refill(self, now_s: float, limit: Limit) -> None:
        """Add the tokens earned since the last call and apply `limit` from now on.

        If the rate has changed, the elapsed time is credited at the lower of both rates.
        """
        rate = min(self._limit.rate_tokens_s, limit.rate_tokens_s)
        earned = (now_s - self._updated_s) * rate
        self._balance = min(self._limit.burst_tokens, self._balance + earned)
        self._balance = min(limit.burst_tokens, self._balance)
        self._limit = limit
        self._updated_s = now_s
        self._expire(now_s)

    def charge(self, request_id: str, tokens: int, *, allow_part: bool = False) -> int:
        """Reserve `tokens` for a request; return how many are reserved for it, 0 if refused.

        Charging a request again reserves nothing more: it returns the number of tokens that were
        reserved at first, or 0 if the request was settled.

        Parameters
        ----------
        request_id : str
            Identifier of the request; never reused for another one.
        tokens : int
            Tokens to reserve.
        allow_part : bool
            Whether to reserve the available tokens if they are fewer than `tokens`.
        """
        existing = self._reservations.get(request_id)
        if existing is not None:
            return existing.tokens
        if request_id in self._settled_until_s:
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
        """Record the tokens used so far and lower the reservation to `reserved_tokens`.

        Late and duplicate reports have no effect.
        """
        reservation = self._reservations.get(request_id)
        if reservation is None or used_tokens < reservation.used:
            return
        self._spend(reservation, used_tokens)
        allowed = max(0, reservation.tokens - reservation.used)
        reserved = max(0, min(reserved_tokens, reservation.reserved, allowed))
        self._reserved -= reservation.reserved - reserved
        reservation.reserved = reserved

    def settle(self, request_id: str, *, used_tokens: int) -> int:
        """End a reservation; return the number of tokens used beyond the charge.

        The request id is remembered for a while, also if it was never charged here, so that a
        charge that arrives after its withdrawal reserves nothing.
        """
        self._settled_until_s.setdefault(request_id, self._updated_s + _SETTLED_ID_LIFETIME_S)
        reservation = self._reservations.pop(request_id, None)
        if reservation is None:
            return 0
        self._spend(reservation, max(used_tokens, reservation.used))
        self._reserved -= reservation.reserved
        return max(0, used_tokens - reservation.tokens)

    def _spend(self, reservation: _Reservation, used_tokens: int) -> None:
        """Take newly used tokens from the balance and from the reservation."""
        spent = used_tokens - reservation.used
        self._balance -= spent
        freed = min(reservation.reserved, spent)
        reservation.reserved -= freed
        self._reserved -= freed
        reservation.used = used_tokens

    def _expire(self, now_s: float) -> None:
        """Drop expired request ids and reservations; an expired reservation counts as used."""
        while self._settled_until_s and next(iter(self._settled_until_s.values())) <= now_s:
            self._settled_until_s.popitem(last=False)
        while self._reservations:
            request_id, reservation = next(iter(self._reservations.items()))
            if reservation.expires_s > now_s:
                return
            self.settle(request_id, used_tokens=reservation.used + reservation.reserved)
