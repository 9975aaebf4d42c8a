"""Grants and refusals of a dispatcher."""

import pytest

from flamingoshelf.dispatch import Grant
from flamingoshelf.refusals import RefusalReason


def test_grants_up_to_the_places_and_serves_the_next_after_a_release(make_harness):
    harness = make_harness(places=2, decode=2, kv_pieces=64)
    for number in range(5):
        harness.submit(number)
    granted = harness.decide()
    assert len(granted) == 4
    assert sorted(g.decode_server for g in granted.values()) == ["decode-0"] * 2 + ["decode-1"] * 2
    harness.dispatcher.release("inc.0.0")
    assert list(harness.decide()) == ["inc.4.0"]


def test_memory_pieces_bound_grants_before_places_do(make_harness):
    harness = make_harness(places=20, decode=1, kv_pieces=4)
    for number in range(3):
        harness.submit(number, prompt_tokens=5000, max_tokens=100, prefix_hashes=())
    assert len(harness.decide()) == 2


def test_leaving_and_failed_servers_get_nothing_new(make_harness):
    harness = make_harness(leaving=("decode-0", "prefill-0"))
    harness.submit(0)
    (grant,) = harness.decide().values()
    assert (grant.prefill_server, grant.decode_server) == ("prefill-1", "decode-1")
    harness.dispatcher.mark_down("decode-1")
    harness.submit(1)
    assert harness.decide() == {}
    harness.dispatcher.decode_account("decode-1").observe((), 0, harness.clock())
    assert list(harness.decide()) == ["inc.1.0"]


def test_active_prefills_are_bounded_so_that_a_result_meets_its_decode_engine(make_harness):
    harness = make_harness(places=20, prefill=1, decode=1, kv_pieces=64)
    for number in range(10):
        harness.submit(number, prompt_tokens=3900)
    granted = list(harness.decide())
    assert 0 < len(granted) < 10
    harness.dispatcher.release_prefill(granted[0])
    harness.clock.advance(1.0)
    assert len(harness.decide()) >= 1


@pytest.mark.parametrize(
    ("case", "changes", "reason"),
    [
        ("larger than any engine", {"prompt_tokens": 4096 * 5}, RefusalReason.NO_BACKEND),
        ("infeasibly late", {"waited_s": 9.0, "max_wait_s": 0.5}, RefusalReason.QUEUE_FULL),
    ],
)
def test_refuses_at_once_what_cannot_be_served(make_harness, case, changes, reason):
    harness = make_harness(places=1, decode=1)
    harness.submit(0)
    harness.decide()
    harness.submit(1, **changes)
    (refusal,) = harness.decide().values()
    assert refusal.reason is reason
    assert refusal.not_run
    assert refusal.retry_after_s >= 1.0


def test_request_with_a_long_maximum_wait_is_refused_only_after_it(make_harness):
    harness = make_harness(places=1, decode=1)
    harness.submit(0)
    harness.decide()
    harness.submit(1, max_wait_s=8.0)
    harness.clock.advance(6.0)
    assert harness.decide() == {}
    harness.clock.advance(2.1)
    assert harness.decide()["inc.1.0"].reason is RefusalReason.DEADLINE_UNREACHABLE


def test_on_time_requests_come_before_late_ones_and_resumed_ones_before_both(make_harness):
    harness = make_harness(places=1, decode=1)
    harness.submit(0)
    harness.decide()
    harness.submit(1, waited_s=3.0)
    harness.submit(2)
    harness.submit(3, waited_s=3.0, is_resumed=True)
    order = []
    for released in ("inc.0.0", "inc.3.0", "inc.2.0"):
        harness.dispatcher.release(released)
        order += list(harness.decide())
    assert order == ["inc.3.0", "inc.2.0", "inc.1.0"]


@pytest.mark.parametrize(("unfairness", "first"), [(100, "inc.2.0"), (100_000, "inc.1.0")])
def test_unfairness_setting_trades_short_work_for_even_service(make_harness, unfairness, first):
    harness = make_harness(places=1, decode=1, unfairness=unfairness)
    harness.submit(2, workspace="a", max_tokens=1000)
    harness.submit(0, workspace="b", max_tokens=10)
    assert list(harness.decide()) == ["inc.0.0"]
    harness.submit(1, workspace="b", max_tokens=10)
    harness.dispatcher.release("inc.0.0")
    assert list(harness.decide()) == [first]


def test_idle_workspace_earns_no_credit(make_harness):
    harness = make_harness(places=1, decode=1, unfairness=1)
    for number in range(4):
        harness.submit(number, workspace="a")
        harness.decide()
        harness.dispatcher.release(f"inc.{number}.0")
    harness.submit(10, workspace="a")
    harness.decide()
    harness.submit(11, workspace="a")
    harness.submit(12, workspace="b")
    assert harness.dispatcher.counter("b") == pytest.approx(harness.dispatcher.counter("a"))


def test_work_done_while_others_were_idle_does_not_count_against_a_workspace(make_harness):
    harness = make_harness(places=1, decode=1)
    for number in range(4):
        harness.submit(number, workspace="a")
        harness.decide()
        harness.dispatcher.release(f"inc.{number}.0")
    harness.submit(10, workspace="b")
    harness.submit(11, workspace="a")
    assert harness.dispatcher.counter("b") == pytest.approx(harness.dispatcher.counter("a"))


def test_short_work_passes_a_waiting_workspace_only_within_the_unfairness_bound(make_harness):
    harness = make_harness(places=1, decode=1, unfairness=2000, target=1000.0)
    harness.submit(0, workspace="a", prompt_tokens=9000)
    served = []
    for number in range(1, 20):
        harness.submit(number, workspace="b", prompt_tokens=100)
        served += list(harness.decide())
        harness.dispatcher.release(served[-1])
        if "inc.0.0" in served:
            break
    cost = 100 + 4 * 100
    assert served.index("inc.0.0") == 2000 // cost + 1


def test_renewal_frees_a_grant_whose_release_was_lost(make_harness):
    harness = make_harness(places=1, decode=1)
    harness.submit(0)
    harness.decide()
    harness.dispatcher.renew("node-0", [])
    assert "inc.0.0" in harness.dispatcher.active_grants
    harness.clock.advance(2.1)
    assert harness.dispatcher.renew("node-1", ["other"]) == ["other"]
    assert "inc.0.0" in harness.dispatcher.active_grants
    harness.dispatcher.renew("node-0", [])
    assert not harness.dispatcher.active_grants


def test_successor_counts_reported_and_registered_attempts(make_harness):
    harness = make_harness(places=2, decode=1)
    dispatcher = harness.dispatcher
    dispatcher.awaits_load_reports = True
    harness.submit(0)
    assert harness.decide() == {}
    account = dispatcher.decode_account("decode-0")
    account.observe(("old.1.0", "old.2.0"), 2, harness.clock())
    dispatcher.awaits_load_reports = False
    assert harness.decide() == {}
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
    account.observe(("old.1.0",), 1, harness.clock())
    assert list(harness.decide()) == ["inc.0.0"]


def test_reserved_places_stay_free(make_harness):
    harness = make_harness(places=10, decode=1, kv_pieces=64)
    harness.dispatcher.reserved_share = 0.2
    for number in range(10):
        harness.submit(number)
    assert len(harness.decide()) == 8


def test_lagging_report_of_a_released_attempt_is_ignored(make_harness):
    harness = make_harness(places=1, decode=1)
    harness.submit(0)
    harness.decide()
    harness.dispatcher.release("inc.0.0")
    harness.dispatcher.decode_account("decode-0").observe(("inc.0.0",), 1, harness.clock())
    harness.submit(1)
    assert list(harness.decide()) == ["inc.1.0"]
    harness.clock.advance(4.0)
    harness.dispatcher.decode_account("decode-0").observe(("inc.0.0",), 1, harness.clock())
    assert harness.dispatcher.decode_account("decode-0").unregistered


def test_late_requests_leave_the_last_places_to_those_that_can_be_on_time(make_harness):
    harness = make_harness(places=50, decode=1, kv_pieces=64, prefill=2)
    account = harness.dispatcher.decode_account("decode-0")
    account.observe([f"old.{number}" for number in range(48)], 48, harness.clock())
    harness.submit(0, waited_s=3.0)
    assert harness.decide() == {}
    harness.submit(1)
    assert list(harness.decide()) == ["inc.1.0"]
    account.observe([f"old.{number}" for number in range(40)], 40, harness.clock())
    assert list(harness.decide()) == ["inc.0.0"]
