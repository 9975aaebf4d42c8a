"""Listeners that apply the store's configuration and server entries to this node."""

from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.routing import (
    BackendInstance,
    EvacuatedDataCentres,
    GatewayConfiguration,
    InstanceDirectory,
)
from flamingoshelf.store import (
    KindChanges,
    KindListener,
    KindSnapshot,
    StoreObject,
    StoreRelay,
)

__all__ = [
    "ConfigurationListener",
    "EvacuationListener",
    "InstanceListener",
    "RelayingListener",
    "StoreFormat",
    "new_listeners",
]


@attrs.frozen(kw_only=True)
class StoreFormat:
    """Where the store keeps the configuration and server entries, and how to decode them.

    Parameters
    ----------
    configuration_kind, configuration_name : str
        Kind and name of the object that holds the current configuration.
    decode_configuration : callable
        ``decode_configuration(document)`` returns the configuration; raises `ConfigurationError`.
    instance_kind : str
        Kind of the objects that describe backend servers.
    decode_instance : callable
        ``decode_instance(name, document)`` returns a server; raises `ConfigurationError`.
    evacuation_kind : str
        Kind of the objects that are named after the data centres to evacuate.
    """

    configuration_kind: str
    configuration_name: str
    decode_configuration: Callable[[Any], GatewayConfiguration]
    instance_kind: str
    decode_instance: Callable[[str, Any], BackendInstance]
    evacuation_kind: str


class ConfigurationListener:
    """Puts the operators' configuration in force; implements `flamingoshelf.store.KindListener`.

    Parameters
    ----------
    configuration : ActiveConfiguration
        The configuration in force.
    store_format : StoreFormat
        Where it is found and how it is decoded.
    """

    def __init__(self, *, configuration: ActiveConfiguration, store_format: StoreFormat) -> None:
        self._configuration = configuration
        self._store_format = store_format

    def on_snapshot(self, snapshot: KindSnapshot) -> None:
        """Apply a complete list of objects."""
        found = snapshot.objects.get(self._store_format.configuration_name)
        if found is not None:
            self._adopt(found)

    def on_changes(self, changes: KindChanges) -> None:
        """Apply changes since the last revision."""
        for item in changes.changed:
            if item.name == self._store_format.configuration_name:
                self._adopt(item)

    def on_recovered(self) -> None:
        """Do nothing: the next answer of the store contains the missed changes."""

    def _adopt(self, item: StoreObject) -> None:
        try:
            configuration = self._store_format.decode_configuration(item.content)
            self._configuration.adopt(configuration, document=item.content)
        except ConfigurationError as error:
            logger.bind(step="configuration", revision=item.revision).error(
                "configuration ignored; document not readable: {}", error.message
            )


class InstanceListener:
    """Updates the directory of backend servers; implements `flamingoshelf.store.KindListener`.

    Parameters
    ----------
    directory : InstanceDirectory
        Registered backend servers.
    store_format : StoreFormat
        How entries are decoded.
    on_change : callable
        Called after each update of the directory.
    on_entry : callable
        ``on_entry(instance)`` is called with each entry that is read, before that update.
    """

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        store_format: StoreFormat,
        on_change: Callable[[], None],
        on_entry: Callable[[BackendInstance], None] = lambda instance: None,
    ) -> None:
        self._directory = directory
        self._store_format = store_format
        self._on_change = on_change
        self._on_entry = on_entry

    def on_snapshot(self, snapshot: KindSnapshot) -> None:
        """Apply a complete list of objects."""
        decoded = {name: self._decode(item) for name, item in snapshot.objects.items()}
        instances = {name: instance for name, instance in decoded.items() if instance is not None}
        if snapshot.revision >= self._directory.revision:
            for instance in instances.values():
                self._on_entry(instance)
        self._directory.replace(instances, snapshot.revision)
        self._on_change()

    def on_changes(self, changes: KindChanges) -> None:
        """Apply changes since the last revision."""
        decoded = {item.name: self._decode(item) for item in changes.changed}
        unreadable = [name for name, instance in decoded.items() if instance is None]
        instances = [instance for instance in decoded.values() if instance is not None]
        for instance in instances:
            self._on_entry(instance)
        self._directory.apply(instances, [*changes.removed, *unreadable], changes.revision)
        self._on_change()

    def on_recovered(self) -> None:
        """Record that entries may have expired during an outage of the store."""
        self._directory.record_outage_end()

    def _decode(self, item: StoreObject) -> BackendInstance | None:
        """Return the server that an entry describes, or None if it is not readable."""
        try:
            return self._store_format.decode_instance(item.name, item.content)
        except ConfigurationError as error:
            logger.bind(step="servers", peer=item.name, revision=item.revision).warning(
                "server entry ignored; not readable: {}", error.message
            )
            return None


class EvacuationListener:
    """Updates the evacuated data centres; implements `flamingoshelf.store.KindListener`.

    An object is named after its data centre; what it contains doesn't matter.

    Parameters
    ----------
    evacuations : EvacuatedDataCentres
        The evacuated data centres.
    """

    def __init__(self, *, evacuations: EvacuatedDataCentres) -> None:
        self._evacuations = evacuations

    def on_snapshot(self, snapshot: KindSnapshot) -> None:
        """Apply a complete list of objects."""
        self._evacuations.replace(snapshot.objects, snapshot.revision)

    def on_changes(self, changes: KindChanges) -> None:
        """Apply changes since the last revision."""
        added = [item.name for item in changes.changed]
        self._evacuations.apply(added, changes.removed, changes.revision)

    def on_recovered(self) -> None:
        """Do nothing: the next answer of the store contains the missed changes."""


class RelayingListener:
    """Records snapshots and changes for nodes that follow this one, then forwards them.

    Parameters
    ----------
    listener : KindListener
        Listener of this node.
    relay : StoreRelay
        Serves the nodes that follow this one.
    kind : str
        Kind of the objects.
    """

    def __init__(self, *, listener: KindListener, relay: StoreRelay, kind: str) -> None:
        self._listener = listener
        self._relay = relay
        self._kind = kind

    def on_snapshot(self, snapshot: KindSnapshot) -> None:
        """Record and forward a complete list of objects."""
        self._relay.record_snapshot(self._kind, snapshot)
        self._listener.on_snapshot(snapshot)

    def on_changes(self, changes: KindChanges) -> None:
        """Record and forward changes since the last revision."""
        self._relay.record_changes(self._kind, changes)
        self._listener.on_changes(changes)

    def on_recovered(self) -> None:
        """Forward that the store answers again after a failure."""
        self._listener.on_recovered()


def new_listeners(
    *,
    store_format: StoreFormat,
    configuration: ActiveConfiguration,
    directory: InstanceDirectory,
    on_servers_changed: Callable[[], None],
    on_entry: Callable[[BackendInstance], None],
    evacuations: EvacuatedDataCentres | None,
) -> dict[str, KindListener]:
    """Return the listeners of a node by kind; without `evacuations` these aren't followed."""
    listeners: dict[str, KindListener] = {
        store_format.configuration_kind: ConfigurationListener(
            configuration=configuration, store_format=store_format
        ),
        store_format.instance_kind: InstanceListener(
            directory=directory,
            store_format=store_format,
            on_change=on_servers_changed,
            on_entry=on_entry,
        ),
    }
    if evacuations is not None:
        listeners[store_format.evacuation_kind] = EvacuationListener(evacuations=evacuations)
    return listeners
