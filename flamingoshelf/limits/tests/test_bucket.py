"""Reservations, usage reports, refunds and expiry in one token bucket."""

import pytest

from flamingoshelf.limits._bucket import Bucket, Limit

LIMIT = Limit(rate_tokens_s=10.0, burst_tokens=100.0)


@pytest.fixture
def bucket():
    bucket = Bucket(limit=LIMIT, started_s=0.0)
    bucket.refill(20.0, LIMIT)
    return bucket


def test_a_new_bucket_is_empty():
    bucket = Bucket(limit=LIMIT, started_s=5.0)
    bucket.refill(5.0, LIMIT)
    assert bucket.charge("r", 1) == 0


@pytest.mark.parametrize(
    ("reports", "available"),
    [
        pytest.param([("settle", 60)], 40, id="all used"),
        pytest.param([("settle", 10)], 90, id="rest goes back"),
        pytest.param([("settle", 10), ("settle", 0)], 90, id="doubled settlement"),
        pytest.param([("update", 20, 10)], 70, id="estimate was too high"),
        pytest.param([("update", 20, 10), ("update", 20, 10)], 70, id="doubled report"),
        pytest.param([("update", 20, 10), ("update", 5, 55)], 70, id="late report"),
        pytest.param([("update", 20, 10), ("settle", 25)], 75, id="report and settlement"),
        pytest.param([("settle", 25), ("update", 20, 40)], 75, id="report after settlement"),
        pytest.param([("settle", 75)], 25, id="used more than charged"),
        pytest.param([("update", 70, 0)], 30, id="reported more than charged"),
        pytest.param([("update", 20, 60)], 40, id="report of more than was charged for"),
        pytest.param(
            [("refill", 22), ("update", 20, 10), ("refill", 24), ("update", 5, 55), ("refill", 24)],
            90,
            id="late report after refill",
        ),
        pytest.param([("settle", 10), ("charge",)], 90, id="charge after settlement"),
    ],
)
def test_reports(bucket, reports, available):
    assert bucket.charge("r", 60) == 60
    for report in reports:
        match report:
            case ("settle", used):
                bucket.settle("r", used_tokens=used)
            case ("update", used, reserved):
                bucket.update("r", used_tokens=used, reserved_tokens=reserved)
            case ("refill", now_s):
                bucket.refill(now_s, LIMIT)
            case _:
                bucket.charge("r", 60)
    assert bucket.available == available


def test_a_doubled_charge_reserves_once(bucket):
    assert bucket.charge("r", 30) == 30
    assert bucket.charge("r", 30) == 30
    assert bucket.available == 70


def test_a_charge_that_arrives_after_its_withdrawal_reserves_nothing(bucket):
    bucket.settle("r", used_tokens=0)
    assert bucket.charge("r", 60) == 0
    assert bucket.available == 100


def test_part_of_a_charge(bucket):
    assert bucket.charge("a", 70) == 70
    assert bucket.charge("b", 40) == 0
    assert bucket.charge("b", 40, allow_part=True) == 30
    assert bucket.available == 0


def test_a_reservation_without_an_end_counts_as_used(bucket):
    bucket.charge("r", 60)
    bucket.refill(319.0, LIMIT)
    assert bucket.available == 40
    bucket.refill(321.0, LIMIT)
    assert bucket.available == 40
    bucket.refill(327.0, LIMIT)
    assert bucket.available == 100


def test_a_reservation_leaves_no_room_for_refill(bucket):
    bucket.charge("r", 60)
    bucket.refill(25.0, LIMIT)
    assert bucket.available == 40
    bucket.settle("r", used_tokens=60)
    bucket.refill(29.0, LIMIT)
    assert bucket.available == 80


def test_settling_returns_the_tokens_used_beyond_the_charge(bucket):
    bucket.charge("r", 60)
    assert bucket.settle("r", used_tokens=75) == 15
