"""State machine: no slot is exercised by two nodes, and every slot has a holder in the end."""

import asyncio

import looptime
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from flamingoshelf.membership._slots import COLUMNS, PARTS
from flamingoshelf.membership.tests.fakes import LAG_S, FakeFleet

_DATA_CENTRES = ("a", "b", "c")
_MAX_NODES = 5
_SETTLE_S = 60.0
_VERSION_CHECK_STRIDE = 31  # slots move in groups, so a sample is enough and keeps the test fast

indexes = st.integers(min_value=0, max_value=_MAX_NODES)


class SlotTableMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(start=1000.0, noop_cycles=2)
        self.fleet = FakeFleet()
        self.count = 0
        self.is_exercised_twice = []
        self.run_of_version = {}
        self.fleet.on_table = self.check_holders

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def let_pass(self, seconds):
        await asyncio.sleep(seconds)
        self.check_holders()

    def check_holders(self):
        for index, names in self.fleet.holders_of().items():
            if len(names) > 1:
                self.is_exercised_twice.append((index, names))
            if index % _VERSION_CHECK_STRIDE == 0:
                self.check_version(index, self.fleet.nodes[names[0]])

    def check_version(self, index, node):
        """Each run exercises a slot under a fencing number of its own."""
        version = node.membership._tables.table.slots[index].version
        run = self.run_of_version.setdefault((index, version), node.link.incarnation)
        if run != node.link.incarnation:
            self.is_exercised_twice.append((index, version, run))

    def pick(self, index, *, condition=lambda node: True):
        names = sorted(name for name, node in self.fleet.nodes.items() if condition(node))
        return names[index % len(names)] if names else None

    def is_connected(self, node):
        is_cut = node.is_cut_from_store or node.is_cut_from_peers
        return node.running.is_set() and not is_cut and node.link.node_name in self.listed

    @property
    def listed(self):
        return self.fleet.platform.vms

    @initialize()
    def form(self):
        for _ in range(3):
            self.add()
        self.run(self.let_pass(6))

    @precondition(lambda self: len(self.fleet.nodes) < _MAX_NODES)
    @rule()
    def add(self):
        self.count += 1
        data_centre = _DATA_CENTRES[self.count % 3]
        self.run(self.fleet.add(f"vm-{self.count}", data_centre))

    @rule(index=indexes)
    def end_vm(self, index):
        """A VM fails; the platform takes it off its list."""
        name = self.pick(index)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.fleet.kill(name))
            self.run(self.delist(name))

    async def delist(self, name):
        self.fleet.delist(name)

    @rule(index=indexes)
    def delist_running_vm(self, index):
        """The platform takes a VM off its list before it ends it."""
        name = self.pick(index, condition=self.is_connected)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.delist(name))

    @rule(index=indexes)
    def delist_paused_vm(self, index):
        name = self.pick(index, condition=lambda node: not node.running.is_set())
        if name is not None:
            self.run(self.delist(name))

    @rule(index=indexes)
    def list_as_leaving(self, index):
        name = self.pick(index, condition=self.is_connected)
        if name is not None:
            self.run(self.leave(name))

    async def leave(self, name):
        self.fleet.list_leaving(name)

    @rule(index=indexes)
    def restart_process(self, index):
        name = self.pick(index, condition=self.is_connected)
        if name is not None:
            self.run(self.fleet.kill(name))
            self.run(self.fleet.start(name))

    @rule(index=indexes)
    def stop_process(self, index):
        name = self.pick(index, condition=self.is_connected)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.stop_gracefully(name))

    async def stop_gracefully(self, name):
        await self.fleet.nodes[name].membership.leave()
        await self.fleet.kill(name)
        self.fleet.delist(name)

    @rule(index=indexes)
    def pause(self, index):
        name = self.pick(index, condition=self.is_connected)
        if name is not None:
            self.run(self.fleet.nodes[name].pause())

    @rule(index=indexes)
    def resume(self, index):
        name = self.pick(index, condition=lambda node: not node.running.is_set())
        if name is not None:
            self.run(self.resume_node(name))

    async def resume_node(self, name):
        self.fleet.nodes[name].resume()
        self.check_holders()

    @rule(index=indexes, cut=st.sampled_from(["store", "peers", "both"]))
    def cut(self, index, cut):
        name = self.pick(index, condition=self.is_connected)
        if name is not None:
            self.fleet.nodes[name].is_cut_from_store = cut in ("store", "both")
            self.fleet.nodes[name].is_cut_from_peers = cut in ("peers", "both")
            self.run(self.let_pass(5.0))

    @rule(index=indexes)
    def miss_running_vm_in_list(self, index):
        """The list misses a VM that runs, for less than its lag, while the VM is cut off."""
        name = self.pick(index, condition=self.is_connected)
        if name is not None:
            self.fleet.nodes[name].is_cut_from_store = True
            self.fleet.nodes[name].is_cut_from_peers = True
            self.run(self.fleet.delist_for(name, 0.8 * LAG_S))

    @rule()
    def heal(self):
        self.fleet.platform.is_down = False
        for node in self.fleet.nodes.values():
            node.is_cut_from_store = False
            node.is_cut_from_peers = False
            node.store.list_lag_s = 0.0

    @rule()
    def take_store_down(self):
        self.fleet.platform.is_down = True

    @rule(fault=st.sampled_from(["lost", "late", "lost_and_cut"]))
    def fail_next_write(self, fault):
        self.fleet.platform.write_fault = fault

    @rule()
    def deliver_late_writes(self):
        self.fleet.platform.deliver_late_writes()

    @rule(index=indexes, lag_s=st.sampled_from([0.0, LAG_S / 2, LAG_S]))
    def lag_list(self, index, lag_s):
        name = self.pick(index)
        if name is not None:
            self.fleet.nodes[name].store.list_lag_s = lag_s

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 10.0]))
    def advance(self, seconds):
        self.run(self.let_pass(seconds))

    @invariant()
    def exercised_once(self):
        assert not self.is_exercised_twice, self.is_exercised_twice[:3]

    def teardown(self):
        try:
            self.settle()
        finally:
            self.run(self.fleet.stop())
            self.loop.close()

    def settle(self):
        """With all faults gone, every slot is held by exactly one listed node."""
        self.heal()
        self.fleet.platform.write_fault = None
        for name, node in list(self.fleet.nodes.items()):
            if not node.running.is_set():
                self.run(self.resume_node(name))
            if name not in self.listed:
                self.run(self.fleet.kill(name))
        for name in self.listed.keys() - self.fleet.nodes.keys():
            self.run(self.delist(name))
        self.add()
        deadline_s = self.loop.time() + _SETTLE_S
        while not self.run(self.is_settled()):
            assert self.loop.time() < deadline_s
            self.run(self.let_pass(2.0))
        self.exercised_once()

    async def is_settled(self):
        return len(self.fleet.holders_of()) == COLUMNS * PARTS


SlotTableMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=20,
    phases=(Phase.explicit, Phase.generate),
)
TestSlotTable = SlotTableMachine.TestCase
