"""Directory of the registered instances of backend servers."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import attrs
from loguru import logger

from flamingoshelf.routing._evacuations import EvacuatedDataCentres
from flamingoshelf.routing._instances import BackendInstance, EngineRole, ServerRun
from flamingoshelf.routing._notices import ServerNotices
from flamingoshelf.store import era_of
from flamingoshelf.utils import now_s

__all__ = ["InstanceDirectory"]

# Servers whose entries expired during an outage of the object service register again within about
# two seconds of its recovery. A server that has left must get no new work two seconds after its
# departure is known, so the grace period is shorter than that.
_EXPIRY_GRACE_S = 1.8
_MAX_DEPARTED = 4096  # servers that left; far more than leave within the age of a copy of the store


@attrs.define(kw_only=True)
class _Entry:
    instance: BackendInstance
    usable_until_s: float | None = None  # set during the grace period of an expired entry
    usable_from_s: float = float("-inf")  # later for a server that a restored store lists again
    is_replaced: bool = False  # another server has taken over the address


class InstanceDirectory:
    """The registered instances, as of the newest revision that was read.

    Entries that disappear while the object service recovers from an outage are used for a grace
    period, as their servers may be running but not registered again yet. In all other cases a
    server whose entry is missing gets no new work.

    A store that was restored from a copy may list servers that have left since. They get no work
    until their entries are older than the store keeps those of silent servers. A server that has
    reported that it leaves gets none until it starts anew.

    Parameters
    ----------
    silent_entry_s : float
        Seconds after which the object service removes the entry of a silent server.
    notices : ServerNotices or None
        Servers that state that they leave; they are used only if there is no other one.
    evacuations : EvacuatedDataCentres or None
        Data centres whose servers get no requests.
    """

    def __init__(
        self,
        *,
        silent_entry_s: float = 5.0,
        notices: ServerNotices | None = None,
        evacuations: EvacuatedDataCentres | None = None,
    ) -> None:
        self._evacuated = (evacuations or EvacuatedDataCentres()).names
        self._notices = notices or ServerNotices()
        self._silent_entry_s = silent_entry_s
        self._departed: OrderedDict[str, BackendInstance] = OrderedDict()
        self._entries: dict[str, _Entry] = {}
        self._revision = 0
        self._outage_ended_s: float | None = None

    @property
    def revision(self) -> int:
        """Revision of the object service at which the entries were read."""
        return self._revision

    def get(self, instance_id: str, *, continues: bool = False) -> BackendInstance | None:
        """Return the instance if it is known and takes new work, otherwise None.

        With `continues`, also one that leaves and may still continue streams.
        """
        entry = self._entries.get(instance_id)
        if entry is None:
            return None
        instance = entry.instance
        if continues and self._may_continue_streams(entry):
            return instance
        if instance.data_centre in self._evacuated or not self._is_available(entry):
            return None
        if self._notices.is_leaving(instance) and instance not in self.ready(
            instance.service, role=instance.role
        ):
            return None
        return instance

    def ready(self, service: str, *, role: EngineRole | None = None) -> list[BackendInstance]:
        """Return the instances of a service that take new work, optionally of one role only."""
        usable = [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.service == service
            and (role is None or entry.instance.role is role)
            and entry.instance.data_centre not in self._evacuated
            and self._is_available(entry)
        ]
        leaving = [instance for instance in usable if self._notices.is_leaving(instance)]
        if not leaving:
            return usable
        staying = [instance for instance in usable if not self._notices.is_leaving(instance)]
        staying_roles = {instance.role for instance in staying}
        return staying + [
            instance
            for instance in leaving
            if instance.role not in staying_roles and self._notices.is_last_resort(instance)
        ]

    def leaving(self, service: str) -> list[BackendInstance]:
        """Return the leaving decode engines of a service that may still continue streams."""
        return [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.service == service and self._may_continue_streams(entry)
        ]

    def is_evacuated(self, instance: BackendInstance) -> bool:
        """Return whether a server must get no request, as its data centre is evacuated.

        Calls for other nodes don't state the data centre of their server. One that isn't listed
        either may be in an evacuated one.
        """
        if not self._evacuated:
            return False
        entry = self._entries.get(instance.instance_id)
        data_centre = instance.data_centre or (entry.instance.data_centre if entry else "")
        return not data_centre or data_centre in self._evacuated

    def evacuated(self, service: str) -> list[BackendInstance]:
        """Return the servers of a service that only an evacuation keeps from new work."""
        if not self._evacuated:
            return []
        return [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.service == service
            and entry.instance.data_centre in self._evacuated
            and self._is_available(entry)
        ]

    def count_in(self, data_centre: str) -> int:
        """Return the number of registered servers in a data centre."""
        return sum(entry.instance.data_centre == data_centre for entry in self._entries.values())

    def unreported_leaving(self) -> list[ServerRun]:
        """Return the servers that state that they leave while they are listed as ready."""
        return [
            server
            for server in self._notices.leaving()
            if (entry := self._entries.get(server.instance_id)) is not None
            and entry.instance.accepts_new_work
            and entry.instance.started_ms <= server.started_ms
        ]

    def has_successor(self, instance: BackendInstance) -> bool:
        """Return whether a later run of a server, or another server at its address, is listed."""
        return any(
            entry.instance.started_ms > instance.started_ms
            for entry in self._entries.values()
            if entry.instance.address == instance.address
        )

    def ids(self) -> set[str]:
        """Return the ids of all registered instances, including draining ones."""
        return set(self._entries)

    def mark_replaced(self, instance_id: str) -> None:
        """Stop using an instance whose address another server has, until its entry changes."""
        entry = self._entries.get(instance_id)
        if entry is not None and not entry.is_replaced:
            entry.is_replaced = True
            logger.bind(step="servers", peer=instance_id).info("backend server replaced")

    def record_outage_end(self) -> None:
        """Record that the object service is reachable again after an outage."""
        self._outage_ended_s = now_s()

    def replace(self, instances: Mapping[str, BackendInstance], revision: int) -> None:
        """Apply a complete list of instances; a list of an older revision is ignored."""
        if revision < self._revision:
            return
        is_restored = self._revision > 0 and era_of(revision) > era_of(self._revision)
        if is_restored:
            self.record_outage_end()
            instances = self._hold_departed(instances)
        for instance_id in list(self._entries):
            if instance_id not in instances:
                self._remove(instance_id)
        for instance in instances.values():
            self._set(instance)
        self._revision = revision

    def apply(
        self, changed: Iterable[BackendInstance], removed: Iterable[str], revision: int
    ) -> None:
        """Apply changes that follow the current revision."""
        for instance_id in removed:
            self._remove(instance_id)
        for instance in changed:
            self._set(instance)
        self._revision = max(self._revision, revision)

    def _hold_departed(
        self, instances: Mapping[str, BackendInstance]
    ) -> dict[str, BackendInstance]:
        """Return the listed instances without those that had left before a restore of the store.

        They are added for use after the time for which the store keeps silent entries.
        """
        kept = {}
        for instance_id, instance in instances.items():
            departed = self._departed.get(instance_id)
            if (
                departed is None
                or instance_id in self._entries
                or instance.started_ms > departed.started_ms
            ):
                kept[instance_id] = instance
                continue
            logger.bind(step="servers", peer=instance_id).info(
                "backend server listed by a restored store had left; held back"
            )
            self._entries[instance_id] = _Entry(
                instance=instance, usable_from_s=now_s() + self._silent_entry_s
            )
        held = instances.keys() - kept.keys()
        return {**kept, **{name: self._entries[name].instance for name in held}}

    def _set(self, instance: BackendInstance) -> None:
        """Add or update an entry unless it is from an earlier run of the server."""
        current = self._entries.get(instance.instance_id)
        if self._has_left(instance):
            logger.bind(step="servers", peer=instance.instance_id).info(
                "backend server entry ignored; the server has reported that it leaves"
            )
            return
        if current is not None and 0 < instance.started_ms < current.instance.started_ms:
            logger.bind(step="servers", peer=instance.instance_id).info(
                "backend server entry ignored; it is from an earlier run of the server"
            )
            return
        if current is None or current.instance != instance or current.usable_until_s is not None:
            logger.bind(
                step="servers",
                peer=instance.instance_id,
                service=instance.service,
                state=instance.state.value,
                role=instance.role.value if instance.role else None,
                address=instance.address,
                version=instance.software_version,
            ).info("backend server registered")
        is_same = current is not None and current.instance == instance
        if is_same and current is not None and current.usable_until_s is None:
            return
        if not instance.accepts_new_work:
            self._record_departure(instance)
            self._notices.record_leaving(instance.run, source="store")
        self._entries[instance.instance_id] = _Entry(
            instance=instance, is_replaced=is_same and current is not None and current.is_replaced
        )

    def _has_left(self, instance: BackendInstance) -> bool:
        """Return whether this run of a server reported that it leaves."""
        departed = self._departed.get(instance.instance_id)
        return (
            departed is not None
            and not departed.accepts_new_work
            and instance.accepts_new_work
            and 0 < instance.started_ms <= departed.started_ms
        )

    def _record_departure(self, instance: BackendInstance) -> None:
        self._departed.pop(instance.instance_id, None)  # it becomes the newest
        self._departed[instance.instance_id] = instance
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    def _remove(self, instance_id: str) -> None:
        """Remove an entry, or keep it for the grace period after an outage."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.usable_until_s is not None:
            return
        entry_log = logger.bind(step="servers", peer=instance_id, service=entry.instance.service)
        if entry.instance.accepts_new_work and self._is_recovering():
            assert self._outage_ended_s is not None
            entry.usable_until_s = self._outage_ended_s + _EXPIRY_GRACE_S
            entry_log.info("backend server entry expired in an outage; used for a grace period")
            return
        self._record_departure(entry.instance)
        del self._entries[instance_id]
        entry_log.info("backend server deregistered")

    def _is_recovering(self) -> bool:
        """Return whether an outage of the object service ended less than a grace period ago."""
        return self._outage_ended_s is not None and now_s() < self._outage_ended_s + _EXPIRY_GRACE_S

    def _may_continue_streams(self, entry: _Entry) -> bool:
        return (
            entry.instance.role is EngineRole.DECODE
            and entry.instance.data_centre not in self._evacuated
            and not entry.is_replaced
            and entry.usable_until_s is None
            and now_s() >= entry.usable_from_s
            and self._notices.is_last_resort(entry.instance)
        )

    def _is_available(self, entry: _Entry) -> bool:
        if entry.usable_until_s is not None and now_s() >= entry.usable_until_s:
            return False
        if now_s() < entry.usable_from_s:
            return False
        return entry.instance.accepts_new_work and not entry.is_replaced
