"""Random sequences of grants, releases, lost messages, crashed owners and new dispatchers."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from flamingoshelf.dispatch import Dispatcher, Grant, PlacementRequest
from flamingoshelf.dispatch.tests.conftest import Clock, make_catalog, make_request

PLACES = 3
PIECES = 5
UNFAIRNESS = 2000
OWNERS = ["node-0", "node-1"]
OWNER_TIMEOUT_S = 2.5
MAX_COST_TOKENS = 9000 + 4 * 100


class DispatcherMachine(RuleBasedStateMachine):
    """A dispatcher, the owners of its grants, and the load of the engines."""

    ids = Bundle("ids")

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.catalog = make_catalog(
            places=PLACES, kv_pieces=PIECES, decode=1, unfairness=UNFAIRNESS, target=1000.0
        )
        self.epoch_count = 0
        self.request_count = 0
        self.owned: dict[str, dict[str, Grant]] = {owner: {} for owner in OWNERS}
        self.queued_owners = {}
        self.granted_ids = set()
        self.requests: dict[str, PlacementRequest] = {}
        self.start_new_dispatcher()

    @rule()
    def start_new_dispatcher(self):
        """Replace the dispatcher; engines report their load now, owners their grants at `renew`."""
        self.epoch_count += 1
        self.dispatcher = Dispatcher(
            model="m", catalog=lambda: self.catalog, epoch=str(self.epoch_count), clock=self.clock
        )
        self.queued_owners.clear()
        self.report_load()

    @rule(
        target=ids,
        owner=st.sampled_from(OWNERS),
        workspace=st.sampled_from("abc"),
        prompt_tokens=st.sampled_from([1, 500, 9000]),
        is_resumed=st.sampled_from([False, False, False, True]),
        decides_now=st.booleans(),
    )
    def enqueue(self, owner, decides_now, **changes):
        self.request_count += 1
        request = make_request(self.request_count, max_wait_s=8.0, **changes)
        self.dispatcher.enqueue(request, owner)
        self.queued_owners[request.request_id] = owner
        self.requests[request.request_id] = request
        if decides_now:
            self.decide(are_replies_lost=False)
        return request.request_id

    @rule(request_id=ids)
    def enqueue_again(self, request_id):
        """Deliver a request's message a second time."""
        active = self.dispatcher.active_grants.get(request_id)
        owner = self.queued_owners.get(request_id) or (active.owner if active else None)
        if owner is not None:
            self.dispatcher.enqueue(self.requests[request_id], owner)

    @rule(are_replies_lost=st.booleans())
    def decide(self, are_replies_lost):
        for decision in self.dispatcher.decide():
            owner = self.queued_owners.pop(decision.request_id)
            if not isinstance(decision.outcome, Grant):
                assert decision.outcome.not_run
                continue
            assert decision.request_id not in self.granted_ids
            self.granted_ids.add(decision.request_id)
            if not are_replies_lost:
                self.owned[owner][decision.request_id] = decision.outcome

    @rule(request_id=ids, is_message_lost=st.booleans())
    def release(self, request_id, is_message_lost):
        """An owner ends a request, granted or queued; the message may be lost."""
        self.queued_owners.pop(request_id, None) if not is_message_lost else None
        for grants in self.owned.values():
            grants.pop(request_id, None)
        if not is_message_lost:
            self.dispatcher.release(request_id)

    @rule(owner=st.sampled_from(OWNERS))
    def renew(self, owner):
        for request_id in self.dispatcher.renew(owner, list(self.owned[owner])):
            self.dispatcher.register(self.owned[owner][request_id], owner)

    @rule(owner=st.sampled_from(OWNERS))
    def crash_owner(self, owner):
        """An owner crashes; its grants are no longer renewed and the sweep releases them."""
        self.owned[owner].clear()
        self.clock.advance(OWNER_TIMEOUT_S)
        for other in OWNERS:
            if other != owner:
                self.renew(other)
        for active in self.dispatcher.unrenewed(older_than_s=OWNER_TIMEOUT_S - 0.1):
            assert active.grant.request_id not in self.held_by_owners()
            self.dispatcher.release(active.grant.request_id)

    @rule()
    def report_load(self):
        by_engine: dict[str, list[str]] = {name: [] for name in self.dispatcher.pool.decode}
        pieces: Counter[str] = Counter()
        for request_id, grant in self.held_by_owners().items():
            by_engine[grant.decode_server].append(request_id)
            pieces[grant.decode_server] += grant.pieces
        for name, held in by_engine.items():
            account = self.dispatcher.decode_account(name)
            account.observe(held, pieces[name], self.clock())

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.5]))
    def advance_clock(self, seconds):
        self.clock.advance(seconds)

    def held_by_owners(self):
        return {i: grant for grants in self.owned.values() for i, grant in grants.items()}

    @invariant()
    def engines_are_not_overloaded(self):
        held = self.held_by_owners().values()
        places = Counter(grant.decode_server for grant in held)
        pieces: Counter[str] = Counter()
        for grant in held:
            pieces[grant.decode_server] += grant.pieces
        assert all(used <= PLACES for used in places.values())
        assert all(used <= PIECES for used in pieces.values())

    @invariant()
    def accounts_match_the_grants(self):
        held = Counter(h.grant.decode_server for h in self.dispatcher.active_grants.values())
        for name in self.dispatcher.pool.decode:
            assert len(self.dispatcher.decode_account(name).held) == held[name]

    @invariant()
    def queued_workspaces_stay_within_the_unfairness_bound(self):
        workspaces = {queued.request.workspace for queued in self.dispatcher._queue}
        counters = [self.dispatcher.counter(workspace) for workspace in workspaces]
        if counters:
            assert max(counters) <= min(counters) + UNFAIRNESS + MAX_COST_TOKENS

    def teardown(self):
        for grants in self.owned.values():
            grants.clear()
        self.clock.advance(60.0)
        self.dispatcher.decide()
        for owner in OWNERS:
            self.renew(owner)
        self.report_load()
        assert self.dispatcher.queue_length == 0
        assert not self.dispatcher.active_grants
        for name in self.dispatcher.pool.decode:
            assert self.dispatcher.decode_account(name).used_places == 0


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=50
)
