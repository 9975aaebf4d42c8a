from collections import Counter

import pytest

from flamingoshelf.membership._assignment import Assignment, Member
from flamingoshelf.membership._slots import COLUMNS, PARTS, SlotTable


def make_members(sizes):
    return [
        Member(name=f"{data_centre}-{number}", data_centre=data_centre, incarnation="1")
        for data_centre, size in sizes.items()
        for number in range(size)
    ]


def reassign_slots(table, members, indexes):
    data_centre_of = {slot.holder: slot.holder.split("-")[0] for slot in table.slots if slot.holder}
    data_centre_of |= {member.name: member.data_centre for member in members}
    assignment = Assignment(table=table, members=members, data_centres=data_centre_of)
    return table.with_holders(assignment.reassign(indexes), list_version=1), assignment


def first_table(members):
    return reassign_slots(SlotTable(), members, range(COLUMNS * PARTS))[0]


def slot_counts(table):
    return Counter(slot.holder for slot in table.slots)


def columns(table):
    names = [slot.holder for slot in table.slots]
    return [names[first : first + PARTS] for first in range(0, len(names), PARTS)]


@pytest.mark.parametrize(
    "sizes", [{"a": 2, "b": 2, "c": 2}, {"a": 74, "b": 74, "c": 74, "d": 74, "e": 74}]
)
def test_first_table_is_balanced_and_parts_are_in_different_data_centres(sizes):
    table = first_table(make_members(sizes))
    counts = slot_counts(table)
    assert max(counts.values()) - min(counts.values()) <= 1
    for names in columns(table):
        assert len({name.split("-")[0] for name in names}) == PARTS


def test_each_part_is_spread_over_all_nodes():
    table = first_table(make_members({"a": 1, "b": 1, "c": 1}))
    first_parts = Counter(slot.holder for slot in table.slots[::PARTS])
    assert min(first_parts.values()) >= COLUMNS // 4


def test_parts_are_on_different_nodes_where_there_is_one_data_centre():
    table = first_table(make_members({"a": 3}))
    assert all(len(set(names)) == PARTS for names in columns(table))


def test_one_node_holds_everything():
    assert slot_counts(first_table(make_members({"a": 1}))) == {"a-0": COLUMNS * PARTS}


def test_only_slots_of_a_lost_data_centre_move():
    members = make_members({"a": 4, "b": 4, "c": 4})
    table = first_table(members)
    lost = [index for index, slot in enumerate(table.slots) if slot.holder.startswith("c")]
    rest = [member for member in members if member.data_centre != "c"]
    after, _ = reassign_slots(table, rest, lost)
    changed = [i for i, slot in enumerate(after.slots) if slot != table.slots[i]]
    assert changed == lost
    counts = slot_counts(after)
    assert max(counts.values()) - min(counts.values()) <= 2
    assert all(len({name[0] for name in names}) == 2 for names in columns(after))


def test_rebalancing_ends_balanced_and_restores_the_spread():
    table = first_table(make_members({"a": 3, "b": 3}))
    members = make_members({"a": 3, "b": 3, "c": 3})
    data_centre_of = {member.name: member.data_centre for member in members}
    moved = 0
    for _ in range(30):
        assignment = Assignment(table=table, members=members, data_centres=data_centre_of)
        changes = assignment.rebalance(max_moves=128)
        if not changes:
            break
        moved += len(changes)
        table = table.with_holders(changes, list_version=1)
    else:
        pytest.fail("rebalancing did not terminate")
    counts = slot_counts(table)
    assert max(counts.values()) - min(counts.values()) <= 2
    assert all(len({name[0] for name in names}) == PARTS for names in columns(table))
    assert moved <= COLUMNS * PARTS // 2


def test_table_survives_encoding():
    table = first_table(make_members({"a": 2, "b": 1}))
    assert SlotTable.decode(table.encode()) == table
