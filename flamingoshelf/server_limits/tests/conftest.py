"""Runs of servers, and tables of what they state."""

import pytest

from flamingoshelf.routing import ServerRun
from flamingoshelf.server_limits import StatedLimits

A, B = (ServerRun(instance_id=name, started_ms=100) for name in "ab")


@pytest.fixture
def stated():
    return StatedLimits()
