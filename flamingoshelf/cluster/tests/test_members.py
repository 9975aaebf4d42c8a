"""Tests of the member list and its digest."""

import itertools

import pytest

from flamingoshelf.cluster import Member, MemberList


def member(name, rank, capacity=1.0):
    return Member(name=name, address=f"{name}:1", data_centre="a", rank=rank, capacity=capacity)


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))), ids=str)
def test_digest_does_not_depend_on_the_order_of_changes(order):
    entries = [member("a", 1), member("b", 2), member("a", 3), member("c", 4)]
    expected = MemberList()
    expected.merge([member("a", 3), member("b", 2)])
    members = MemberList()
    members.merge([entries[number] for number in order])
    members.remove("c")
    assert members.digest == expected.digest
    members.merge([member("c", 5)])
    assert members.digest != expected.digest


def test_members_are_ordered_by_capacity_and_then_by_registration():
    members = MemberList()
    members.merge([member("a", 1, 0.516), member("b", 3, 2.15), member("c", 2, 2.15)])
    assert [entry.name for entry in members.by_precedence()] == ["c", "b", "a"]
    members.merge([member("c", 9, 2.15)])
    assert [entry.name for entry in members.by_precedence()] == ["b", "c", "a"]
    members.remove("b")
    assert [entry.name for entry in members.by_precedence()] == ["c", "a"]


@pytest.mark.parametrize("capacity", [0.0, -1.0, 1e-9])
def test_entry_without_a_sensible_capacity_comes_last(capacity):
    members = MemberList()
    members.merge([member("a", 1, capacity), member("b", 2)])
    assert [entry.name for entry in members.by_precedence()] == ["b", "a"]
