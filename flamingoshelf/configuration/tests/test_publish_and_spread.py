"""State machine: operators, faults of the store, partitions and restarting nodes."""

import asyncio

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingoshelf.configuration import HEAD_KEY, AppliedChange, Repository
from flamingoshelf.configuration.tests.conftest import key, merging, removing, workspace
from flamingoshelf.configuration.tests.fleet import Fleet
from flamingoshelf.exceptions import FlamingoshelfError
from flamingoshelf.objects import Fleet as FleetSpec
from flamingoshelf.objects import check_objects
from lab.memory_store import StoreFault

NAMES = [f"{dc}{number}" for dc in "ab" for number in range(3)]
node_names = st.sampled_from(NAMES)
edits = st.one_of(
    st.builds(
        lambda name, rate: merging(workspace(name, rate)), st.sampled_from("pqr"), st.just(5.0)
    ),
    st.builds(
        lambda name, owner: merging(key(f"k{name}", owner)),
        st.sampled_from("xyz"),
        st.sampled_from("pqr"),
    ),
    st.builds(
        lambda name: removing(workspace(name).id, key(f"k{name}", "p").id),
        st.sampled_from("pqrxyz"),
    ),
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Nodes never go back to an older revision, hold only consistent ones, and all converge."""

    @initialize()
    def begin(self):
        self.loop = looptime.new_event_loop(start=0)
        self.highest = {}
        self.published = {}
        self.accepted = set()
        self.run(self._begin())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _begin(self):
        self.fleet = Fleet(per_data_centre=3, data_centres=("a", "b"))
        await self.fleet.repository.apply(merging(workspace("p"), key("kx", "p")))
        await self.fleet.start_all()
        await asyncio.sleep(3)

    @rule(
        edits=st.lists(edits, min_size=1, max_size=3),
        faults=st.lists(st.sampled_from(StoreFault), max_size=8),
    )
    def operators_apply(self, edits, faults):
        self.fleet.store.faults = list(faults)
        self.run(self._apply(edits))

    async def _apply(self, edits):
        outcomes = await asyncio.gather(
            *(Repository(store=self.fleet.store).apply(edit) for edit in edits),
            return_exceptions=True,
        )
        for outcome in outcomes:
            if isinstance(outcome, BaseException) and not isinstance(outcome, FlamingoshelfError):
                raise outcome
            if isinstance(outcome, AppliedChange) and outcome.change:
                assert outcome.revision not in self.accepted
                self.accepted.add(outcome.revision)
        self.fleet.store.faults = []
        await self.fleet.store.wait_for_late_writes()

    @rule(is_down=st.booleans())
    def set_store(self, is_down):
        self.fleet.store.set_down(is_down)

    @rule(names=st.sets(node_names), is_cut=st.booleans())
    def cut_store(self, names, is_cut):
        self.fleet.cut_store(names & set(self.fleet.nodes), is_cut=is_cut)

    @rule(group=st.sets(node_names))
    def partition(self, group):
        self.fleet.network.partition(*([group, set(NAMES) - group] if group else []))

    @rule(name=node_names)
    def restart(self, name):
        async def restart():
            if name in self.fleet.nodes:
                await self.fleet.stop(name)
            await self.fleet.start(name)

        self.run(restart())
        self.highest.pop(name, None)

    @rule(name=node_names)
    def give_old_head(self, name):
        async def give():
            store = self.fleet.store
            self.fleet.stores[name].stale_head = store._previous.get(HEAD_KEY)
            await asyncio.sleep(1)
            self.fleet.stores[name].stale_head = None

        self.run(give())

    @rule(seconds=st.sampled_from([0.1, 1.0, 15.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @invariant()
    def nodes_only_move_forward_to_consistent_sets(self):
        for name, node in self.fleet.nodes.items():
            catalog = node.catalog
            assert catalog.revision >= self.highest.get(name, 0)
            self.highest[name] = catalog.revision
            assert self.published.setdefault(catalog.revision, catalog.digest) == catalog.digest
            assert check_objects(catalog.objects.values()) == []

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.run(self._converge())
        self.loop.close()

    async def _converge(self):
        self.fleet.store.set_down(False)
        self.fleet.network.partition()
        self.fleet.cut_store(list(self.fleet.nodes), is_cut=False)
        newest = (await self.fleet.repository.newest()).catalog
        await self.fleet.wait_for(newest.revision)
        await asyncio.sleep(FleetSpec().key_freshness_s)
        for node in self.fleet.nodes.values():
            assert node.catalog.digest == newest.digest
            assert node.is_ready
            assert node.honours_keys
        await self.fleet.stop_all()


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    stateful_step_count=15,
    suppress_health_check=list(HealthCheck),
)
