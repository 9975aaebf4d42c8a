"""State machine: no slot ever has two holders, and every slot has one once all faults end."""

import asyncio

import looptime
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from flamingoshelf.membership._slots import COLUMNS, PARTS
from flamingoshelf.membership.tests.fakes import LAG_S, FakeFleet

_DATA_CENTRES = ("a", "b", "c")
_MAX_NODES = 5
_CONVERGENCE_TIMEOUT_S = 60.0
_VERSION_CHECK_STRIDE = 31  # slots move in groups, so a sample is enough and keeps the test fast

node_indexes = st.integers(min_value=0, max_value=_MAX_NODES)


class SlotTableMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop(start=1000.0, noop_cycles=2)
        self.fleet = FakeFleet()
        self.vm_count = 0
        self.double_holders = []
        self.incarnation_of_version = {}
        self.fleet.on_table = self.check_holders

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def sleep_and_check(self, seconds):
        await asyncio.sleep(seconds)
        self.check_holders()

    def check_holders(self):
        for index, names in self.fleet.holders_of().items():
            if len(names) > 1:
                self.double_holders.append((index, names))
            if index % _VERSION_CHECK_STRIDE == 0:
                self.check_version(index, self.fleet.nodes[names[0]])

    def check_version(self, index, node):
        """Check that each process holds a slot under a fencing number of its own."""
        version = node.membership._tables.table.slots[index].version
        incarnation = self.incarnation_of_version.setdefault(
            (index, version), node.link.incarnation
        )
        if incarnation != node.link.incarnation:
            self.double_holders.append((index, version, incarnation))

    def select_node(self, index, *, condition=lambda node: True):
        names = sorted(name for name, node in self.fleet.nodes.items() if condition(node))
        return names[index % len(names)] if names else None

    def is_connected(self, node):
        is_disconnected = node.is_cut_from_store or node.is_cut_from_peers
        return node.running.is_set() and not is_disconnected and node.link.node_name in self.listed

    @property
    def listed(self):
        return self.fleet.platform.vms

    @initialize()
    def start_nodes(self):
        for _ in range(3):
            self.add()
        self.run(self.sleep_and_check(6))

    @precondition(lambda self: len(self.fleet.nodes) < _MAX_NODES)
    @rule()
    def add(self):
        self.vm_count += 1
        data_centre = _DATA_CENTRES[self.vm_count % 3]
        self.run(self.fleet.add(f"vm-{self.vm_count}", data_centre))

    @rule(index=node_indexes)
    def fail_vm(self, index):
        """A VM fails, and the platform removes it from the VM list."""
        name = self.select_node(index)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.fleet.kill(name))
            self.run(self.delist(name))

    async def delist(self, name):
        self.fleet.delist(name)

    @rule(index=node_indexes)
    def delist_running_vm(self, index):
        """The platform removes a VM from the VM list while it still runs."""
        name = self.select_node(index, condition=self.is_connected)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.delist(name))

    @rule(index=node_indexes)
    def delist_paused_vm(self, index):
        name = self.select_node(index, condition=lambda node: not node.running.is_set())
        if name is not None:
            self.run(self.delist(name))

    @rule(index=node_indexes)
    def list_as_leaving(self, index):
        name = self.select_node(index, condition=self.is_connected)
        if name is not None:
            self.run(self.leave(name))

    async def leave(self, name):
        self.fleet.list_leaving(name)

    @rule(index=node_indexes)
    def restart_process(self, index):
        name = self.select_node(index, condition=self.is_connected)
        if name is not None:
            self.run(self.fleet.kill(name))
            self.run(self.fleet.start(name))

    @rule(index=node_indexes)
    def stop_process(self, index):
        name = self.select_node(index, condition=self.is_connected)
        if name is not None and len(self.fleet.nodes) > 1:
            self.run(self.stop_gracefully(name))

    async def stop_gracefully(self, name):
        await self.fleet.nodes[name].membership.leave()
        await self.fleet.kill(name)
        self.fleet.delist(name)

    @rule(index=node_indexes)
    def pause(self, index):
        name = self.select_node(index, condition=self.is_connected)
        if name is not None:
            self.run(self.fleet.nodes[name].pause())

    @rule(index=node_indexes)
    def resume(self, index):
        name = self.select_node(index, condition=lambda node: not node.running.is_set())
        if name is not None:
            self.run(self.resume_node(name))

    async def resume_node(self, name):
        self.fleet.nodes[name].resume()
        self.check_holders()

    @rule(index=node_indexes, links=st.sampled_from(["store", "peers", "both"]))
    def disconnect_node(self, index, links):
        name = self.select_node(index, condition=self.is_connected)
        if name is not None:
            self.fleet.nodes[name].is_cut_from_store = links in ("store", "both")
            self.fleet.nodes[name].is_cut_from_peers = links in ("peers", "both")
            self.run(self.sleep_and_check(5.0))

    @rule(index=node_indexes)
    def omit_running_vm_from_list(self, index):
        """A disconnected VM that runs is off the VM list for less than the list's lag."""
        name = self.select_node(index, condition=self.is_connected)
        if name is not None:
            self.fleet.nodes[name].is_cut_from_store = True
            self.fleet.nodes[name].is_cut_from_peers = True
            self.run(self.fleet.delist_for(name, 0.8 * LAG_S))

    @rule()
    def clear_faults(self):
        self.fleet.platform.is_down = False
        for node in self.fleet.nodes.values():
            node.is_cut_from_store = False
            node.is_cut_from_peers = False
            node.store.list_lag_s = 0.0

    @rule()
    def start_store_outage(self):
        self.fleet.platform.is_down = True

    @rule(fault=st.sampled_from(["lost", "late", "lost_and_cut"]))
    def fail_next_write(self, fault):
        self.fleet.platform.write_fault = fault

    @rule()
    def deliver_late_writes(self):
        self.fleet.platform.deliver_late_writes()

    @rule(index=node_indexes, lag_s=st.sampled_from([0.0, LAG_S / 2, LAG_S]))
    def delay_list(self, index, lag_s):
        name = self.select_node(index)
        if name is not None:
            self.fleet.nodes[name].store.list_lag_s = lag_s

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 10.0]))
    def advance_clock(self, seconds):
        self.run(self.sleep_and_check(seconds))

    @invariant()
    def slots_have_one_holder(self):
        assert not self.double_holders, self.double_holders[:3]

    def teardown(self):
        try:
            self.converge()
        finally:
            self.run(self.fleet.stop())
            self.loop.close()

    def converge(self):
        """End all faults and wait until every slot has exactly one holder, a listed node."""
        self.clear_faults()
        self.fleet.platform.write_fault = None
        for name, node in list(self.fleet.nodes.items()):
            if not node.running.is_set():
                self.run(self.resume_node(name))
            if name not in self.listed:
                self.run(self.fleet.kill(name))
        for name in self.listed.keys() - self.fleet.nodes.keys():
            self.run(self.delist(name))
        self.add()
        deadline_s = self.loop.time() + _CONVERGENCE_TIMEOUT_S
        while not self.run(self.has_converged()):
            assert self.loop.time() < deadline_s
            self.run(self.sleep_and_check(2.0))
        self.slots_have_one_holder()

    async def has_converged(self):
        return len(self.fleet.holders_of()) == COLUMNS * PARTS


SlotTableMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=20,
    phases=(Phase.explicit, Phase.generate),
)
TestSlotTable = SlotTableMachine.TestCase
