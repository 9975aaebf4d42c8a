"""A VM counts as removed once all lists read for longer than the list's lag lack it."""

import pytest

from flamingoshelf.base import VirtualMachine, VmListSnapshot
from flamingoshelf.membership._absence import AbsenceTracker

_LAG_S = 4.0


@pytest.fixture
def absence():
    return AbsenceTracker(lag_s=_LAG_S)


def observe_list(absence, at_s, *names, version=2):
    vms = tuple(VirtualMachine(name=n, address="127.0.0.1:1", data_centre="a") for n in names)
    absence.observe(
        ["vm-1", "vm-2"],
        snapshot=VmListSnapshot(version=version, vms=vms),
        read_s=at_s,
        now_s=at_s,
        base_list_version=1,
    )


def test_vm_counts_as_removed_after_the_lag(absence):
    for at_s in (0.0, 1.0, 2.0, 3.0, 4.0):
        observe_list(absence, at_s, "vm-2")
        assert not absence.removed_vms()
    observe_list(absence, 4.1, "vm-2")
    assert absence.removed_vms() == {"vm-1"}


def test_vm_that_was_listed_again_does_not_count_as_removed(absence):
    observe_list(absence, 0.0, "vm-2")
    observe_list(absence, 3.0, "vm-1", "vm-2")
    observe_list(absence, 4.1, "vm-2")
    assert not absence.removed_vms()


def test_vm_may_have_been_listed_while_nothing_was_read(absence):
    """Two short absences do not count as one long absence if the reader was cut off in between."""
    observe_list(absence, 0.0, "vm-2", version=2)
    observe_list(absence, 6.5, "vm-2", version=4)
    assert not absence.removed_vms()
    for at_s in (7.5, 8.5, 9.5, 10.6):
        observe_list(absence, at_s, "vm-2", version=4)
    assert absence.removed_vms() == {"vm-1"}


def test_list_of_one_version_was_the_same_while_nothing_was_read(absence):
    observe_list(absence, 0.0, "vm-2", version=2)
    observe_list(absence, 6.5, "vm-2", version=2)
    assert absence.removed_vms() == {"vm-1"}
