"""Objects, edits and the store for the configuration tests."""

import hashlib

import pytest

from flamingoshelf.objects import Key, Kind, NamedObject, ObjectId, Workspace
from lab.memory_store import MemoryObjectService


def workspace(name, rate=100.0):
    return NamedObject(
        id=ObjectId(kind=Kind.WORKSPACE, name=name),
        spec=Workspace(rate_tokens_s=rate, burst_tokens=1000),
    )


def key(name, owner, *, withdrawn=False):
    digest = hashlib.sha256(name.encode()).hexdigest()
    return NamedObject(
        id=ObjectId(kind=Kind.KEY, name=name),
        spec=Key(workspace=owner, sha256=digest, withdrawn=withdrawn),
    )


def merging(*items):
    """Return an edit that creates or replaces `items`."""
    return lambda objects: {**objects, **{item.id: item for item in items}}


def removing(*ids):
    """Return an edit that removes `ids`."""
    return lambda objects: {key: item for key, item in objects.items() if key not in ids}


@pytest.fixture
async def store():
    return MemoryObjectService()
