"""Objects of one claim shard.

The claims of a shard are spread over generations: objects named ``claims/SHARD/GENERATION``. Only
the newest generation takes new claims. It is sealed by a conditional update before the next one
is created. A writer with a stale view therefore fails its update and can't store the same id in
two generations. A sealed generation gets no new ids; outcomes and releases still change it.
"""

from collections.abc import Callable, Sequence

import attrs

from flamingoshelf.base import ObjectService
from flamingoshelf.claims._operations import ClaimOperation, ClaimReply, apply_operations
from flamingoshelf.claims._records import Generation
from flamingoshelf.exceptions import ConflictError, ObjectServiceError, OutcomeUnknownError

__all__ = ["ClaimJournal", "RetentionRule"]

_HOUR_S = 3600.0


@attrs.frozen(kw_only=True)
class RetentionRule:
    """How long claims are kept, and when a new generation is opened.

    Parameters
    ----------
    retention_s : float
        Minimum time for which a repeated call is recognised.
    generation_s : float
        Maximum time for which a generation takes new claims.
    generation_bytes : int
        Encoded size above which the next generation is opened.
    """

    retention_s: float = 24 * _HOUR_S
    generation_s: float = _HOUR_S
    generation_bytes: int = 256 * 1024


@attrs.frozen(kw_only=True)
class _StoredGeneration:
    """A generation as last read or written; version 0 if it is not written yet."""

    number: int
    version: int
    size: int
    generation: Generation


@attrs.frozen(kw_only=True)
class _SealedGeneration:
    """Cached ids and opening time of a sealed generation."""

    ids: set[bytes]
    opened_at_s: float


class ClaimJournal:
    """Reads and updates the objects of one shard.

    Parameters
    ----------
    store : ObjectService
        Holds the objects.
    shard : int
        Number of the shard.
    rule : RetentionRule
        Retention and size limits.
    wall_time_s : callable
        Returns the seconds since 1970.
    """

    def __init__(
        self,
        *,
        store: ObjectService,
        shard: int,
        rule: RetentionRule,
        wall_time_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._prefix = f"claims/{shard:04d}/"
        self._rule = rule
        self._wall_time_s = wall_time_s
        self._newest: _StoredGeneration | None = None
        self._last_number = 0
        self._sealed: dict[int, _SealedGeneration] = {}

    async def commit(self, operations: Sequence[ClaimOperation]) -> list[ClaimReply]:
        """Apply `operations` and return the reply to each.

        Raises
        ------
        ConflictError
            Another writer updated an object first; call again.
        OutcomeUnknownError
            Some operations may have been applied; call again, which finds them by their nonce.
        ObjectServiceError
            The store is unreachable.
        """
        try:
            return await self._commit(operations)
        except (ConflictError, OutcomeUnknownError):
            self._newest = None
            raise

    async def _commit(self, operations: Sequence[ClaimOperation]) -> list[ClaimReply]:
        newest = await self._open_generation()
        replies: dict[int, ClaimReply] = {}
        for number in list(self._sealed):
            replies |= await self._apply_to_sealed(number, operations)
        remaining = [index for index in range(len(operations)) if index not in replies]
        if remaining:
            answers = await self._apply_to_newest(
                newest, [operations[index] for index in remaining]
            )
            replies |= dict(zip(remaining, answers, strict=True))
        return [replies[index] for index in range(len(operations))]

    async def _apply_to_newest(
        self, newest: _StoredGeneration, operations: Sequence[ClaimOperation]
    ) -> list[ClaimReply]:
        after, replies = apply_operations(newest.generation.claims, operations)
        if after == newest.generation.claims:
            newest = await self._reread(newest)
            after, replies = apply_operations(newest.generation.claims, operations)
        if after != newest.generation.claims:
            newest = await self._put(newest, attrs.evolve(newest.generation, claims=after))
        self._newest = newest
        return replies

    async def _reread(self, newest: _StoredGeneration) -> _StoredGeneration:
        """Read the newest generation again, since no conditional update verifies the cached one.

        Raises `ConflictError` if it was sealed or deleted meanwhile.
        """
        fresh = await self._get(newest.number)
        if fresh is None and not newest.version:
            return newest
        if fresh is None or fresh.generation.is_sealed:
            raise ConflictError(
                "newest claim generation was sealed or deleted by another writer",
                step="claim",
                peer=self._prefix,
            )
        return fresh

    async def _apply_to_sealed(
        self, number: int, operations: Sequence[ClaimOperation]
    ) -> dict[int, ClaimReply]:
        """Apply the operations on claims of a sealed generation; return replies by position."""
        ids = self._sealed[number].ids
        positions = [index for index, item in enumerate(operations) if item.claim_id in ids]
        if not positions:
            return {}
        stored = await self._get(number)
        present = stored.generation.claims if stored is not None else {}
        ids -= {operations[index].claim_id for index in positions} - set(present)
        positions = [index for index in positions if operations[index].claim_id in present]
        after, answers = apply_operations(present, [operations[index] for index in positions])
        if stored is not None and after != present:
            await self._put(stored, attrs.evolve(stored.generation, claims=after))
        return dict(zip(positions, answers, strict=True))

    async def _open_generation(self) -> _StoredGeneration:
        """Return the generation for new claims; seal the newest one if it is full or too old."""
        newest = self._newest or await self._load_last_used()
        if not newest.generation.is_sealed and self._is_full(newest):
            newest = await self._put(newest, attrs.evolve(newest.generation, is_sealed=True))
        if newest.generation.is_sealed:
            self._cache_sealed(newest)
            await self._delete_expired()
            newest = self._new_generation(newest.number + 1)
        self._newest = newest
        self._last_number = newest.number
        return newest

    async def _load_last_used(self) -> _StoredGeneration:
        """Return the last generation that this writer used, or the newest one if that is deleted.

        Generations are deleted oldest first. While the last used one exists, its successor was
        not deleted either, so creating the successor conflicts if another writer did so before.
        If the last used one is deleted, only a listing of the keys gives the next number.
        """
        stored = await self._get(self._last_number) if self._last_number else None
        return stored or await self._load_from_listing()

    def _is_full(self, stored: _StoredGeneration) -> bool:
        if not stored.version:
            return False
        age_s = self._wall_time_s() - stored.generation.opened_at_s
        return age_s >= self._rule.generation_s or stored.size > self._rule.generation_bytes

    async def _load_from_listing(self) -> _StoredGeneration:
        """Return the newest generation, or a new one; seal and cache older ones not cached yet."""
        names = await self._store.keys(self._prefix)
        numbers = sorted(int(name.removeprefix(self._prefix)) for name in names)
        for number in numbers[:-1]:
            if number not in self._sealed:
                await self._load_sealed(number)
        newest = await self._get(numbers[-1]) if numbers else None
        return newest or self._new_generation(numbers[-1] + 1 if numbers else 1)

    async def _load_sealed(self, number: int) -> None:
        stored = await self._get(number)
        if stored is None:
            return
        if not stored.generation.is_sealed:
            stored = await self._put(stored, attrs.evolve(stored.generation, is_sealed=True))
        self._cache_sealed(stored)

    def _cache_sealed(self, stored: _StoredGeneration) -> None:
        generation = stored.generation
        self._sealed[stored.number] = _SealedGeneration(
            ids=set(generation.claims), opened_at_s=generation.opened_at_s
        )

    async def _delete_expired(self) -> None:
        """Delete the generations whose newest claim is older than the retention time.

        Deletion goes oldest first and stops at the first failure, so that the numbers of the
        remaining generations have no gap.
        """
        limit_s = self._wall_time_s() - self._rule.retention_s
        numbers = sorted(self._sealed)
        for number, successor in zip(numbers, numbers[1:], strict=False):
            if self._sealed[successor].opened_at_s > limit_s:
                return
            if not await self._delete(number):
                return
            del self._sealed[number]

    async def _delete(self, number: int) -> bool:
        try:
            stored = await self._get(number)
            if stored is not None:
                await self._store.delete(self._name(number), expected_version=stored.version)
        except (ConflictError, OutcomeUnknownError, ObjectServiceError):
            return False
        return True

    async def _get(self, number: int) -> _StoredGeneration | None:
        item = await self._store.get(self._name(number))
        if item is None:
            return None
        return _StoredGeneration(
            number=number,
            version=item.version,
            size=len(item.value),
            generation=Generation.decode(item.value),
        )

    async def _put(self, stored: _StoredGeneration, generation: Generation) -> _StoredGeneration:
        value = generation.encode()
        name = self._name(stored.number)
        version = await self._store.put(name, value, expected_version=stored.version)
        return attrs.evolve(stored, version=version, size=len(value), generation=generation)

    def _new_generation(self, number: int) -> _StoredGeneration:
        generation = Generation(opened_at_s=self._wall_time_s())
        return _StoredGeneration(number=number, version=0, size=0, generation=generation)

    def _name(self, number: int) -> str:
        return f"{self._prefix}{number:010d}"
