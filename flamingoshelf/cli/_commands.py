"""Commands that read or change the objects in the object service."""

import argparse
import getpass
import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime

import attrs

from flamingoshelf.cli._files import read_objects
from flamingoshelf.cli._fleet import (
    NodeStatus,
    find_operator_addresses,
    read_statuses,
    wait_until_in_force,
)
from flamingoshelf.cli._results import CommandResult, ExitStatus
from flamingoshelf.configuration import Edit, PublishedRevision, Repository
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.object_service import HttpObjectService
from flamingoshelf.objects import (
    BackendServer,
    BackendState,
    Change,
    Key,
    Kind,
    NamedObject,
    ObjectId,
    check_objects,
    differing_fields,
    encode_object,
    find_warnings,
)

__all__ = ["run_command"]

Objects = Mapping[ObjectId, NamedObject]


async def run_command(options: argparse.Namespace) -> CommandResult:
    """Run the command selected by `options`.

    Raises
    ------
    FlamingoshelfError
        The command failed.
    """
    if options.store is None:
        return _check(_build_file_edit(options)({}))
    store = HttpObjectService(address=options.store)
    author, published_at = getpass.getuser(), datetime.now(UTC).isoformat(timespec="seconds")
    repository = Repository(store=store, author=author, published_at=published_at)
    try:
        return await _run(repository, options)
    finally:
        await store.close()


async def _run(repository: Repository, options: argparse.Namespace) -> CommandResult:
    match options.command:
        case "check":
            newest = await repository.newest()
            return _check(_build_file_edit(options)(newest.catalog.objects))
        case "diff":
            return _diff(await repository.newest(), _build_file_edit(options))
        case "apply":
            return await _publish(repository, _build_file_edit(options), options)
        case "get":
            return _get(await repository.newest(), options.object)
        case "history":
            return await _history(repository, options.limit)
        case "withdraw-key":
            return await _publish(repository, _build_withdrawal_edit(options.key), options)
        case "drain":
            state = BackendState.LIVE if options.undo else BackendState.LEAVING
            return await _publish(repository, _build_state_edit(options.server, state), options)
        case _:
            return await _status(repository, options)


def _build_file_edit(options: argparse.Namespace) -> Edit:
    """Return an edit that adds or replaces the objects in the files; ``--prune`` drops others."""
    items = read_objects(options.paths)
    wanted = {item.id: item for item in items}
    if len(wanted) < len(items):
        raise ConfigurationError("\n".join(check_objects(items)), step="check")

    def edit(objects: Objects) -> Objects:
        return wanted if options.prune else {**objects, **wanted}

    return edit


def _build_withdrawal_edit(name: str) -> Edit:
    """Return an edit that withdraws the key with the name or SHA-256 `name`."""

    def edit(objects: Objects) -> Objects:
        for item in objects.values():
            if isinstance(item.spec, Key) and name in (item.id.name, item.spec.sha256):
                spec = attrs.evolve(item.spec, withdrawn=True)
                return {**objects, item.id: attrs.evolve(item, spec=spec)}
        raise ConfigurationError(f"there is no key named {name!r}", step="withdraw-key")

    return edit


def _build_state_edit(name: str, state: BackendState) -> Edit:
    """Return an edit that sets the state of the backend server `name`."""

    def edit(objects: Objects) -> Objects:
        item = objects.get(ObjectId(kind=Kind.BACKEND_SERVER, name=name))
        if item is None or not isinstance(item.spec, BackendServer):
            raise ConfigurationError(f"there is no backend server named {name!r}", step="drain")
        spec = attrs.evolve(item.spec, state=state)
        return {**objects, item.id: attrs.evolve(item, spec=spec)}

    return edit


def _check(objects: Objects) -> CommandResult:
    problems = check_objects(objects.values())
    if problems:
        raise ConfigurationError("\n".join(problems), step="check")
    warnings = find_warnings(objects.values())
    lines = [f"warning: {text}" for text in warnings]
    return CommandResult(
        lines=[*lines, f"{len(objects)} objects are consistent"],
        document={"objects": len(objects), "warnings": warnings},
    )


def _diff(newest: PublishedRevision, edit: Edit) -> CommandResult:
    old = newest.catalog.objects
    change = Change.between(old, edit(old))
    status = ExitStatus.DIFFERENT if change else ExitStatus.OK
    return CommandResult(
        lines=_describe_change(change, old)
        or [f"no difference from revision {newest.catalog.revision}"],
        document={"revision": newest.catalog.revision, "change": change.encode()},
        status=status,
    )


def _describe_change(change: Change, old: Objects) -> list[str]:
    lines = [f"- {item_id}" for item_id in change.removals]
    for item in change.upserts:
        before = old.get(item.id)
        if before is None:
            lines.append(f"+ {item.id}")
            continue
        for field in differing_fields(before, item):
            values = f"{getattr(before.spec, field)!s} -> {getattr(item.spec, field)!s}"
            lines.append(f"~ {item.id}: spec.{field}: {values}")
    return lines


async def _publish(
    repository: Repository, edit: Edit, options: argparse.Namespace
) -> CommandResult:
    newest = await repository.newest()
    base = newest
    if getattr(options, "base", None) is not None and options.base != newest.catalog.revision:
        base = await repository.revision(options.base, newest=newest)
    old = newest.catalog.objects
    wanted = edit(old)
    checked = _check(wanted)
    lines = [*checked.lines[:-1], *_describe_change(Change.between(old, wanted), old)]
    document = {**checked.document, "change": Change.between(old, wanted).encode()}
    if options.dry_run:
        document["dry_run"] = True
        return CommandResult(lines=[*lines, "nothing was published"], document=document)
    applied = await repository.apply(edit, base=base)
    document["revision"] = applied.revision
    outcome = "published" if applied.change else "unchanged"
    result = CommandResult(
        lines=[*lines, f"revision {applied.revision} {outcome}"], document=document
    )
    if options.wait is None:
        return result
    addresses = await _find_addresses(options)
    statuses = await wait_until_in_force(
        applied.revision, addresses=addresses, timeout_s=options.wait
    )
    return _with_statuses(result, statuses, applied.revision)


def _get(newest: PublishedRevision, wanted: str | None) -> CommandResult:
    kind, _, name = (wanted or "").partition("/")
    found = [
        encode_object(item)
        for item_id, item in sorted(newest.catalog.objects.items())
        if kind in ("", item_id.kind.value) and name in ("", item_id.name)
    ]
    if name and not found:
        raise ConfigurationError(f"there is no object {wanted}", step="get")
    document = {"revision": newest.catalog.revision, "objects": found}
    return CommandResult(lines=json.dumps(found, indent=2).splitlines(), document=document)


async def _history(repository: Repository, limit: int) -> CommandResult:
    manifests = await repository.history(limit=limit)
    entries = []
    for manifest in manifests:
        change = manifest.step.change
        entries.append(
            {
                "revision": manifest.step.revision,
                "published_at": manifest.published_at,
                "author": manifest.author,
                "changed": None if change is None else [str(item_id) for item_id in change.ids],
            }
        )
    lines = [
        f"{entry['revision']}  {entry['published_at']}  {entry['author']}  "
        f"{_format_changed_objects(entry)}"
        for entry in entries
    ]
    return CommandResult(lines=lines, document={"revisions": entries})


def _format_changed_objects(entry: Mapping[str, object]) -> str:
    changed = entry["changed"]
    if not isinstance(changed, list):
        return "many objects"
    return ", ".join(changed[:5]) + (f" and {len(changed) - 5} more" if len(changed) > 5 else "")


async def _status(repository: Repository, options: argparse.Namespace) -> CommandResult:
    manifests = await repository.history(limit=1)
    revision = manifests[0].step.revision if manifests else 0
    result = CommandResult(lines=[f"newest revision: {revision}"], document={"revision": revision})
    return _with_statuses(result, await read_statuses(await _find_addresses(options)), revision)


async def _find_addresses(options: argparse.Namespace) -> Sequence[str]:
    if options.vm_list is None:
        return list(options.nodes)
    listed = await find_operator_addresses(
        vm_list_address=options.vm_list, operator_port=options.operator_port
    )
    return [*options.nodes, *listed]


def _with_statuses(
    result: CommandResult, statuses: Sequence[NodeStatus], revision: int
) -> CommandResult:
    """Return `result` with node statuses; its status is `NOT_IN_FORCE` if a node is behind."""
    lines = [_describe_status(status, revision) for status in statuses]
    nodes_behind = [status for status in statuses if status.revision is None]
    nodes_behind += [status for status in statuses if (status.revision or 0) < revision]
    return CommandResult(
        lines=[*result.lines, *lines],
        document={**result.document, "nodes": [attrs.asdict(status) for status in statuses]},
        status=ExitStatus.NOT_IN_FORCE if nodes_behind else result.status,
    )


def _describe_status(status: NodeStatus, revision: int) -> str:
    if status.revision is None:
        return f"{status.address}: not reachable"
    notes = [f"revision {status.revision}"]
    if status.revision < revision:
        notes.append("behind")
    if not status.is_ready:
        notes.append("not ready")
    if not status.honours_keys:
        notes.append("honours no keys")
    return f"{status.address} {status.node}: {', '.join(notes)}"
