"""Access to the platform's store of objects by kind: lists, watches, conditional writes."""

from flamingoshelf.store._eras import StoreEras, era_of, join_revision, revision_in_era
from flamingoshelf.store._relay import StoreRelay
from flamingoshelf.store._relayed_store import RelayedStore
from flamingoshelf.store._types import KindChanges, KindSnapshot, KindStore, StoreObject
from flamingoshelf.store._watcher import KindListener, KindWatcher

__all__ = [
    "KindChanges",
    "KindListener",
    "KindSnapshot",
    "KindStore",
    "KindWatcher",
    "RelayedStore",
    "StoreEras",
    "StoreObject",
    "StoreRelay",
    "era_of",
    "join_revision",
    "revision_in_era",
]
