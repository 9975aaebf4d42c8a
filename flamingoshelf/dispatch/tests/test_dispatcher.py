"""Decisions of a dispatcher."""

import pytest

from flamingoshelf.dispatch import Grant
from flamingoshelf.refusals import RefusalReason


def test_grants_up_to_the_places_and_serves_the_next_after_a_release(make_pool):
    pool = make_pool(places=2, decode=2, kv_pieces=64)
    for number in range(5):
        pool.ask(number)
    granted = pool.decide()
    assert len(granted) == 4
    assert sorted(g.decode_server for g in granted.values()) == ["decode-0"] * 2 + ["decode-1"] * 2
    pool.dispatcher.release("inc.0.0")
    assert list(pool.decide()) == ["inc.4.0"]


def test_memory_pieces_bound_grants_before_places_do(make_pool):
    pool = make_pool(places=20, decode=1, kv_pieces=4)
    for number in range(3):
        pool.ask(number, prompt_tokens=5000, max_tokens=100, prefix_hashes=())
    assert len(pool.decide()) == 2


def test_leaving_and_failed_servers_get_nothing_new(make_pool):
    pool = make_pool(leaving=("decode-0", "prefill-0"))
    pool.ask(0)
    (grant,) = pool.decide().values()
    assert (grant.prefill_server, grant.decode_server) == ("prefill-1", "decode-1")
    pool.dispatcher.mark_down("decode-1")
    pool.ask(1)
    assert pool.decide() == {}
    pool.dispatcher.decode_account("decode-1").observe((), 0, pool.clock())
    assert list(pool.decide()) == ["inc.1.0"]


def test_prefill_turns_are_bounded_so_that_a_result_meets_its_decode_engine(make_pool):
    pool = make_pool(places=20, prefill=1, decode=1, kv_pieces=64)
    for number in range(10):
        pool.ask(number, prompt_tokens=3900)
    granted = list(pool.decide())
    assert 0 < len(granted) < 10
    pool.dispatcher.release_prefill(granted[0])
    pool.clock.advance(1.0)
    assert len(pool.decide()) >= 1


@pytest.mark.parametrize(
    ("case", "changes", "reason"),
    [
        ("larger than any engine", {"prompt_tokens": 4096 * 5}, RefusalReason.NO_BACKEND),
        ("hopelessly late", {"waited_s": 9.0, "max_wait_s": 0.5}, RefusalReason.QUEUE_FULL),
    ],
)
def test_refuses_at_once_what_cannot_be_served(make_pool, case, changes, reason):
    pool = make_pool(places=1, decode=1)
    pool.ask(0)
    pool.decide()
    pool.ask(1, **changes)
    (refusal,) = pool.decide().values()
    assert refusal.reason is reason
    assert refusal.not_run
    assert refusal.retry_after_s >= 1.0


def test_patient_request_waits_until_its_time_is_up(make_pool):
    pool = make_pool(places=1, decode=1)
    pool.ask(0)
    pool.decide()
    pool.ask(1, max_wait_s=8.0)
    pool.clock.advance(6.0)
    assert pool.decide() == {}
    pool.clock.advance(2.1)
    assert pool.decide()["inc.1.0"].reason is RefusalReason.DEADLINE_UNREACHABLE


def test_on_time_requests_come_before_late_ones_and_resumed_ones_before_both(make_pool):
    pool = make_pool(places=1, decode=1)
    pool.ask(0)
    pool.decide()
    pool.ask(1, waited_s=3.0)
    pool.ask(2)
    pool.ask(3, waited_s=3.0, is_resumed=True)
    order = []
    for released in ("inc.0.0", "inc.3.0", "inc.2.0"):
        pool.dispatcher.release(released)
        order += list(pool.decide())
    assert order == ["inc.3.0", "inc.2.0", "inc.1.0"]


@pytest.mark.parametrize(("unfairness", "first"), [(100, "inc.2.0"), (100_000, "inc.1.0")])
def test_the_knob_trades_short_work_for_even_service(make_pool, unfairness, first):
    pool = make_pool(places=1, decode=1, unfairness=unfairness)
    pool.ask(2, workspace="a", max_tokens=1000)
    pool.ask(0, workspace="b", max_tokens=10)
    assert list(pool.decide()) == ["inc.0.0"]
    pool.ask(1, workspace="b", max_tokens=10)
    pool.dispatcher.release("inc.0.0")
    assert list(pool.decide()) == [first]


def test_idle_workspace_earns_no_credit(make_pool):
    pool = make_pool(places=1, decode=1, unfairness=1)
    for number in range(4):
        pool.ask(number, workspace="a")
        pool.decide()
        pool.dispatcher.release(f"inc.{number}.0")
    pool.ask(10, workspace="a")
    pool.decide()
    pool.ask(11, workspace="a")
    pool.ask(12, workspace="b")
    assert pool.dispatcher.counter("b") == pytest.approx(pool.dispatcher.counter("a"))


def test_work_done_while_others_were_idle_is_not_held_against_a_workspace(make_pool):
    pool = make_pool(places=1, decode=1)
    for number in range(4):
        pool.ask(number, workspace="a")
        pool.decide()
        pool.dispatcher.release(f"inc.{number}.0")
    pool.ask(10, workspace="b")
    pool.ask(11, workspace="a")
    assert pool.dispatcher.counter("b") == pytest.approx(pool.dispatcher.counter("a"))


def test_short_work_passes_a_waiting_workspace_only_within_the_knob(make_pool):
    pool = make_pool(places=1, decode=1, unfairness=2000, target=1000.0)
    pool.ask(0, workspace="a", prompt_tokens=9000)
    served = []
    for number in range(1, 20):
        pool.ask(number, workspace="b", prompt_tokens=100)
        served += list(pool.decide())
        pool.dispatcher.release(served[-1])
        if "inc.0.0" in served:
            break
    cost = 100 + 4 * 100
    assert served.index("inc.0.0") == 2000 // cost + 1


def test_renewal_frees_a_grant_whose_release_was_lost(make_pool):
    pool = make_pool(places=1, decode=1)
    pool.ask(0)
    pool.decide()
    pool.dispatcher.renew("node-0", [])
    assert "inc.0.0" in pool.dispatcher.holdings
    pool.clock.advance(2.1)
    assert pool.dispatcher.renew("node-1", ["other"]) == ["other"]
    assert "inc.0.0" in pool.dispatcher.holdings
    pool.dispatcher.renew("node-0", [])
    assert not pool.dispatcher.holdings


def test_successor_counts_reported_and_registered_attempts(make_pool):
    pool = make_pool(places=2, decode=1)
    dispatcher = pool.dispatcher
    dispatcher.is_learning = True
    pool.ask(0)
    assert pool.decide() == {}
    account = dispatcher.decode_account("decode-0")
    account.observe(("old.1.0", "old.2.0"), 2, pool.clock())
    dispatcher.is_learning = False
    assert pool.decide() == {}
    old = Grant(
        request_id="old.1.0",
        prefill_server="prefill-0",
        prefill_address="",
        decode_server="decode-0",
        decode_address="",
        model="m",
    )
    dispatcher.register(old, "node-1")
    assert account.used_places == 2
    account.observe(("old.1.0",), 1, pool.clock())
    assert list(pool.decide()) == ["inc.0.0"]


def test_reserved_places_stay_free(make_pool):
    pool = make_pool(places=10, decode=1, kv_pieces=64)
    pool.dispatcher.reserved_share = 0.2
    for number in range(10):
        pool.ask(number)
    assert len(pool.decide()) == 8


def test_lagging_report_of_a_released_attempt_is_ignored(make_pool):
    pool = make_pool(places=1, decode=1)
    pool.ask(0)
    pool.decide()
    pool.dispatcher.release("inc.0.0")
    pool.dispatcher.decode_account("decode-0").observe(("inc.0.0",), 1, pool.clock())
    pool.ask(1)
    assert list(pool.decide()) == ["inc.1.0"]
    pool.clock.advance(4.0)
    pool.dispatcher.decode_account("decode-0").observe(("inc.0.0",), 1, pool.clock())
    assert pool.dispatcher.decode_account("decode-0").foreign


def test_late_requests_leave_the_last_places_to_those_that_can_be_on_time(make_pool):
    pool = make_pool(places=50, decode=1, kv_pieces=64, prefill=2)
    account = pool.dispatcher.decode_account("decode-0")
    account.observe([f"old.{number}" for number in range(48)], 48, pool.clock())
    pool.ask(0, waited_s=3.0)
    assert pool.decide() == {}
    pool.ask(1)
    assert list(pool.decide()) == ["inc.1.0"]
    account.observe([f"old.{number}" for number in range(40)], 40, pool.clock())
    assert list(pool.decide()) == ["inc.0.0"]
