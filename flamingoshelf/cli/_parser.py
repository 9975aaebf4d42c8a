"""Argument parser of the command-line tool."""

import argparse
from collections.abc import Callable
from pathlib import Path
from typing import Any

from flamingoshelf import __version__
from flamingoshelf.cli._results import ExitStatus
from flamingoshelf.objects import Kind

__all__ = ["COMMANDS", "build_parser", "check_options"]

COMMANDS = {
    "check": "Check objects in files. With --store they are checked together with the newest "
    "revision, as 'apply' would do.",
    "diff": "Show what 'apply' would change. The exit status is 1 if there are differences.",
    "apply": "Publish objects from files as the next revision. Other objects stay as they are "
    "unless --prune is given. Nothing is published if the whole set is not consistent, or if "
    "nothing would change.",
    "get": "Print objects of the newest revision as JSON.",
    "history": "List the newest revisions, newest first.",
    "withdraw-key": "Withdraw a key. Requests that run already are answered; new ones are refused "
    "as soon as the revision is in force on the node.",
    "drain": "Let a backend server leave: it gets no new work. --undo lets it take work again.",
    "explain": "Put together what the logs of nodes say of one request, and name the cause of its "
    "failure. The files hold lines as the nodes write them; '-' is the standard input.",
    "check-settings": "Check the settings file of a node. The format is told by the file: JSON, or "
    "lines of the platform.",
    "check-gateway": "Check a gateway configuration of the platform before it is sent: errors, "
    "entries that nothing can use, limits that contradict each other. With --against also show "
    "what differs from the version in force.",
    "status": "Show the newest revision and the revision in force on each node.",
}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="flamingoshelf",
        description="Check and change the objects of a flamingoshelf fleet.",
        epilog=_format_exit_statuses(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str) -> argparse.ArgumentParser:
        text = COMMANDS[name]
        command = commands.add_parser(
            name,
            help=text.split(". ")[0].rstrip("."),
            description=text,
            epilog=_format_exit_statuses(),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_argument("--json", action="store_true", help="print JSON")
        return command

    _add_file_commands(add)
    _add_object_commands(add)
    _add_local_commands(add)
    status = add("status")
    _add_store(status)
    _add_nodes(status)
    return parser


def _add_file_commands(add: Callable[[str], argparse.ArgumentParser]) -> None:
    for name in ("check", "diff", "apply"):
        command = add(name)
        command.add_argument(
            "paths", nargs="+", type=Path, metavar="PATH", help="JSON file, or folder of them"
        )
        _add_store(command, is_required=name != "check")
        command.add_argument(
            "--prune", action="store_true", help="remove objects that are not in the files"
        )
        if name == "apply":
            command.add_argument(
                "--base",
                type=int,
                metavar="REVISION",
                help="fail if a later revision changed one of the objects",
            )
            _add_publication(command)


def _add_local_commands(add: Callable[[str], argparse.ArgumentParser]) -> None:
    explain = add("explain")
    explain.add_argument("request", metavar="REQUEST-ID", help="identifier that the caller sent")
    explain.add_argument("files", nargs="+", metavar="FILE", help="log of one node or of several")
    check_settings = add("check-settings")
    check_settings.add_argument("file", type=Path, metavar="FILE", help="settings file")
    check_gateway = add("check-gateway")
    check_gateway.add_argument(
        "file", type=Path, metavar="FILE", help="configuration document in JSON"
    )
    check_gateway.add_argument(
        "--against", type=Path, metavar="FILE", help="configuration document that is in force"
    )


def _add_object_commands(add: Callable[[str], argparse.ArgumentParser]) -> None:
    get = add("get")
    get.add_argument("object", nargs="?", metavar="KIND[/NAME]", help="all objects if not given")
    _add_store(get)
    history = add("history")
    history.add_argument("--limit", type=int, default=20, help="number of revisions (default 20)")
    _add_store(history)
    withdraw = add("withdraw-key")
    withdraw.add_argument("key", metavar="NAME", help="name or SHA-256 of the key object")
    drain = add("drain")
    drain.add_argument("server", metavar="NAME", help="name of the backend server")
    drain.add_argument("--undo", action="store_true", help="let the server take work again")
    for command in (withdraw, drain):
        _add_store(command)
        _add_publication(command)


def _add_store(command: argparse.ArgumentParser, *, is_required: bool = True) -> None:
    command.add_argument(
        "--store", metavar="IP:PORT", required=is_required, help="the platform's object service"
    )


def _add_publication(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--dry-run", action="store_true", help="check and show the change, publish nothing"
    )
    command.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="wait until the revision is in force on all nodes; needs --node or --vm-list",
    )
    _add_nodes(command)


def _add_nodes(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--node",
        action="append",
        default=[],
        dest="nodes",
        metavar="IP:PORT",
        help="operator address of a node; may be given several times",
    )
    command.add_argument("--vm-list", metavar="IP:PORT", help="the platform's VM list")
    command.add_argument(
        "--operator-port",
        type=int,
        metavar="PORT",
        help="port of the operator address of the listed VMs; needed with --vm-list",
    )


def _format_exit_statuses() -> str:
    lines = [f"  {status.value}  {status.meaning}" for status in ExitStatus]
    return "\n".join(["exit status:", *lines])


def check_options(parser: argparse.ArgumentParser, options: Any) -> None:
    """Exit with a usage error if the options are inconsistent."""
    if getattr(options, "vm_list", None) and options.operator_port is None:
        parser.error("--vm-list needs --operator-port")
    if getattr(options, "wait", None) is not None and not (options.nodes or options.vm_list):
        parser.error("--wait needs --node or --vm-list")
    if options.command == "get" and options.object:
        kind = options.object.partition("/")[0]
        if kind not in {member.value for member in Kind}:
            choices = ", ".join(member.value for member in Kind)
            parser.error(f"kind is {kind!r}; it must be one of {choices}")
