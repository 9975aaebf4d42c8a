"""The objects of one claim shard.

The claims of a shard are spread over generations, objects named ``claims/SHARD/GENERATION``. Only
the newest generation takes new claims. It is sealed by a conditional update before the next one
is opened, so that a writer with an old view fails its update and never opens a second place for
the same id. A sealed generation never gets a new id; outcomes and releases still change it.
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
    """How long claims are kept, and how large an object grows.

    Parameters
    ----------
    retention_s : float
        Shortest time for which a repeat is recognised.
    generation_s : float
        Longest time for which a generation takes new claims.
    generation_bytes : int
        Size above which the next generation is opened.
    """

    retention_s: float = 24 * _HOUR_S
    generation_s: float = _HOUR_S
    generation_bytes: int = 256 * 1024


@attrs.frozen(kw_only=True)
class _Stored:
    """A generation as it was last read or written; version 0 stands for one not written yet."""

    number: int
    version: int
    size: int
    generation: Generation


@attrs.frozen(kw_only=True)
class _Sealed:
    """What is kept of a sealed generation."""

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
        Bounds in time and size.
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
        self._newest: _Stored | None = None
        self._last_number = 0
        self._sealed: dict[int, _Sealed] = {}

    async def commit(self, operations: Sequence[ClaimOperation]) -> list[ClaimReply]:
        """Carry out `operations` and return the reply to each.

        Raises
        ------
        ConflictError
            Another writer was faster; call again.
        OutcomeUnknownError
            Some may have been carried out; call again, which finds them by their nonce.
        ObjectServiceError
            The store can't be had.
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
        rest = [index for index in range(len(operations)) if index not in replies]
        if rest:
            answers = await self._apply_to_newest(newest, [operations[index] for index in rest])
            replies |= dict(zip(rest, answers, strict=True))
        return [replies[index] for index in range(len(operations))]

    async def _apply_to_newest(
        self, newest: _Stored, operations: Sequence[ClaimOperation]
    ) -> list[ClaimReply]:
        after, replies = apply_operations(newest.generation.claims, operations)
        if after == newest.generation.claims:
            newest = await self._fresh(newest)
            after, replies = apply_operations(newest.generation.claims, operations)
        if after != newest.generation.claims:
            newest = await self._put(newest, attrs.evolve(newest.generation, claims=after))
        self._newest = newest
        return replies

    async def _fresh(self, newest: _Stored) -> _Stored:
        """Read the newest generation again where no update proves that the view is right."""
        fresh = await self._get(newest.number)
        if fresh is None and not newest.version:
            return newest
        if fresh is None or fresh.generation.is_sealed:
            raise ConflictError("the generation was sealed", step="claim", peer=self._prefix)
        return fresh

    async def _apply_to_sealed(
        self, number: int, operations: Sequence[ClaimOperation]
    ) -> dict[int, ClaimReply]:
        """Apply the operations on claims in a sealed generation; return replies by position."""
        ids = self._sealed[number].ids
        places = [index for index, item in enumerate(operations) if item.claim_id in ids]
        if not places:
            return {}
        stored = await self._get(number)
        present = stored.generation.claims if stored is not None else {}
        ids -= {operations[index].claim_id for index in places} - set(present)
        places = [index for index in places if operations[index].claim_id in present]
        after, answers = apply_operations(present, [operations[index] for index in places])
        if stored is not None and after != present:
            await self._put(stored, attrs.evolve(stored.generation, claims=after))
        return dict(zip(places, answers, strict=True))

    async def _open_generation(self) -> _Stored:
        newest = self._newest or await self._reload()
        if not newest.generation.is_sealed and self._is_full(newest):
            newest = await self._put(newest, attrs.evolve(newest.generation, is_sealed=True))
        if newest.generation.is_sealed:
            self._remember_sealed(newest)
            await self._drop_expired()
            newest = self._new(newest.number + 1)
        self._newest = newest
        self._last_number = newest.number
        return newest

    async def _reload(self) -> _Stored:
        """Return the generation used last, else the newest.

        Generations are deleted from the oldest on, so the one after a generation that still
        exists was not deleted either: creating it fails if it was created before. After one that
        is missing, only a list of the names tells which number comes next.
        """
        stored = await self._get(self._last_number) if self._last_number else None
        return stored or await self._load()

    def _is_full(self, stored: _Stored) -> bool:
        if not stored.version:
            return False
        age_s = self._wall_time_s() - stored.generation.opened_at_s
        return age_s >= self._rule.generation_s or stored.size > self._rule.generation_bytes

    async def _load(self) -> _Stored:
        """Read all generations; those known to be sealed are not read again."""
        names = await self._store.keys(self._prefix)
        numbers = sorted(int(name.removeprefix(self._prefix)) for name in names)
        for number in numbers[:-1]:
            if number not in self._sealed:
                await self._load_sealed(number)
        newest = await self._get(numbers[-1]) if numbers else None
        return newest or self._new(numbers[-1] + 1 if numbers else 1)

    async def _load_sealed(self, number: int) -> None:
        stored = await self._get(number)
        if stored is None:
            return
        if not stored.generation.is_sealed:
            stored = await self._put(stored, attrs.evolve(stored.generation, is_sealed=True))
        self._remember_sealed(stored)

    def _remember_sealed(self, stored: _Stored) -> None:
        generation = stored.generation
        self._sealed[stored.number] = _Sealed(
            ids=set(generation.claims), opened_at_s=generation.opened_at_s
        )

    async def _drop_expired(self) -> None:
        """Delete the generations whose newest claim is older than the retention time.

        The oldest goes first, and a failure ends it, so that no gap arises below the newest.
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

    async def _get(self, number: int) -> _Stored | None:
        item = await self._store.get(self._name(number))
        if item is None:
            return None
        return _Stored(
            number=number,
            version=item.version,
            size=len(item.value),
            generation=Generation.decode(item.value),
        )

    async def _put(self, stored: _Stored, generation: Generation) -> _Stored:
        value = generation.encode()
        name = self._name(stored.number)
        version = await self._store.put(name, value, expected_version=stored.version)
        return attrs.evolve(stored, version=version, size=len(value), generation=generation)

    def _new(self, number: int) -> _Stored:
        generation = Generation(opened_at_s=self._wall_time_s())
        return _Stored(number=number, version=0, size=0, generation=generation)

    def _name(self, number: int) -> str:
        return f"{self._prefix}{number:010d}"
