"""Entry point of the daemon."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from flamingoshelf import __version__
from flamingoshelf.daemon._node import Node
from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.settings import Settings, load_settings
from flamingoshelf.telemetry import configure_logging

__all__ = ["main"]

_EXIT_OK = 0
_EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one node until SIGTERM or SIGINT; return the exit status.

    The exit status is 0 after a graceful shutdown and 2 if the settings are not valid.
    """
    options = _build_parser().parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except ConfigurationError as error:
        print(error.message, file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    if options.check_settings:
        print(f"{options.settings}: valid")
        return _EXIT_OK
    configure_logging(
        node_name=settings.node_name, level=settings.log_level, log_format=settings.log_format
    )
    try:
        asyncio.run(_serve(settings))
    except ConfigurationError as error:
        print(error.message, file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    return _EXIT_OK


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="flamingoshelfd", description="Run one node.")
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE.json")
    parser.add_argument("--check-settings", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


async def _serve(settings: Settings) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node = Node(settings=settings)
    await node.start()
    await stop_requested.wait()
    await node.stop()
