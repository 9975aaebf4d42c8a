"""Concurrent writers of one shard, and the retention and size limits of its objects."""

import attrs
import pytest

from flamingoshelf.claims import (
    Claim,
    ClaimJournal,
    ClaimOutcome,
    ClaimReplyStatus,
    FinishClaim,
    ReleaseClaim,
    RetentionRule,
    TakeClaim,
)
from flamingoshelf.claims.tests.fleet import FakeStore
from flamingoshelf.exceptions import ConflictError

pytestmark = pytest.mark.looptime

HELD, EXISTS, APPLIED = (
    ClaimReplyStatus.HELD,
    ClaimReplyStatus.EXISTS,
    ClaimReplyStatus.APPLIED,
)
RULE = RetentionRule(retention_s=100, generation_s=10, generation_bytes=50_000)


@attrs.define
class Clock:
    time_s: float = 0.0

    def __call__(self):
        return self.time_s


@pytest.fixture
def store():
    return FakeStore()


def journal_of(store, clock, rule=RULE):
    return ClaimJournal(store=store, shard=3, rule=rule, wall_time_s=clock)


def claim_of(number, nonce=b"n"):
    return Claim(
        claim_id=number.to_bytes(16, "big"),
        fingerprint=b"f",
        nonce=nonce,
        holder="node",
        incarnation="i",
        workspace="w",
        route="/r",
        time_s=0.0,
    )


async def take(journal, number, nonce=b"n", replaces=b""):
    operation = TakeClaim(claim=claim_of(number, nonce), replaces=replaces)
    while True:
        try:
            return (await journal.commit([operation]))[0].status
        except ConflictError:
            continue


async def test_writer_with_a_clock_ahead_seals_the_generation_of_the_other(store):
    slow, fast = journal_of(store, Clock(0)), journal_of(store, Clock(50))
    assert await take(slow, 1) is HELD
    assert await take(fast, 2, b"fast") is HELD
    assert len(store.objects) == 2
    assert await take(slow, 2, b"slow") is EXISTS


async def test_writer_idle_beyond_the_retention_time_finds_later_claims(store):
    clock = Clock()
    idle, busy = journal_of(store, clock), journal_of(store, clock)
    assert await take(idle, 0) is HELD
    for number in range(1, 40):
        clock.time_s += 11
        assert await take(busy, number, b"busy") is HELD
    names = sorted(store.objects)
    assert not names[0].endswith("0000000001")
    assert await take(idle, 39, b"idle") is EXISTS
    assert await take(idle, 32, b"idle") is EXISTS
    assert await take(idle, 0, b"again") is HELD


async def test_claims_are_kept_for_the_retention_time_and_not_for_ever(store):
    clock = Clock()
    journal = journal_of(store, clock)
    assert await take(journal, 0) is HELD
    for number in range(1, 8):
        clock.time_s += 13
        await take(journal, number)
    assert await take(journal, 0, b"other") is EXISTS
    for number in range(8, 20):
        clock.time_s += 13
        await take(journal, number)
    assert len(store.objects) <= 100 / 13 + 3


async def test_replies_without_an_update_come_from_a_fresh_read(store):
    one, other = journal_of(store, Clock()), journal_of(store, Clock())
    assert await take(one, 1) is HELD
    release = ReleaseClaim(claim_id=claim_of(1).claim_id, nonce=b"n")
    assert (await other.commit([release]))[0].status is APPLIED
    assert await take(one, 1, b"m") is HELD
    assert await take(other, 2) is HELD
    release = ReleaseClaim(claim_id=claim_of(2).claim_id, nonce=b"n")
    assert (await one.commit([release]))[0].status is APPLIED


async def test_release_and_take_over_in_a_sealed_generation(store):
    clock = Clock()
    one, other = journal_of(store, clock), journal_of(store, clock)
    for number in (1, 2):
        assert await take(one, number) is HELD
    clock.time_s += 11
    assert await take(one, 3) is HELD
    assert await take(other, 1, b"m", replaces=b"x") is EXISTS
    assert await take(other, 1, b"m", replaces=b"n") is HELD
    assert await take(one, 1, b"n") is EXISTS
    release = ReleaseClaim(claim_id=claim_of(2).claim_id, nonce=b"n")
    assert (await other.commit([release]))[0].status is APPLIED
    assert await take(one, 2, b"one") is HELD
    assert await take(other, 2, b"other") is EXISTS


async def test_objects_stay_below_a_megabyte_though_all_answers_are_long(store):
    rule = RetentionRule(generation_bytes=256 * 1024)
    journal = journal_of(store, Clock(), rule)
    count = 3000
    for start in range(0, count, 100):
        batch = [TakeClaim(claim=claim_of(start + offset)) for offset in range(100)]
        await journal.commit(batch)
    for start in range(0, count, 100):
        await journal.commit(
            [
                FinishClaim(
                    claim_id=claim_of(start + offset).claim_id,
                    nonce=b"n",
                    outcome=ClaimOutcome(status=201, body=b"x" * 2048),
                )
                for offset in range(100)
            ]
        )
    assert max(len(item.value) for item in store.objects.values()) < 700_000
    reply = (await journal.commit([TakeClaim(claim=claim_of(count - 1, b"m"))]))[0]
    assert reply.status is EXISTS
    assert reply.claim is not None and reply.claim.outcome == ClaimOutcome(
        status=201, is_kept=False
    )
