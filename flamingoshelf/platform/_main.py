"""Program of a gateway node on the platform."""

import argparse
import asyncio
import linecache
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import attrs

from flamingoshelf.exceptions import ConfigurationError
from flamingoshelf.gateway import GatewayNode, GatewaySettings, SettingsWatch, StoreFormat
from flamingoshelf.http1 import ConnectionPool
from flamingoshelf.platform._configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from flamingoshelf.platform._engine_wire import PlatformEngineWire
from flamingoshelf.platform._instances import EVACUATION_KIND, INSTANCE_KIND, decode_instance
from flamingoshelf.platform._settings_file import load_settings
from flamingoshelf.platform._store import PlatformStore
from flamingoshelf.platform._wire import PlatformWire
from flamingoshelf.store import StoreEras
from flamingoshelf.telemetry import BoundedOutput, configure_bounded_logging

__all__ = ["main"]

_SETTINGS_VARIABLE = "FLAMINGOSHELF_CONFIG"
_DEFAULT_SETTINGS_PATH = "/etc/flamingoshelf/settings.conf"
_EXIT_INVALID_SETTINGS = 2
_MAX_STORE_CONNECTIONS = 16  # room for two watches and the writes at the start, several times over


def main() -> None:
    """Run a gateway node until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="python -m flamingoshelf.platform", description=__doc__)
    parser.add_argument(
        "--settings",
        type=Path,
        help=f"settings file, by default the one that {_SETTINGS_VARIABLE} names",
    )
    parser.add_argument("--metrics-port", type=int, help="port at which metrics are served")
    parser.add_argument(
        "--peer-listen",
        metavar="IP:PORT",
        help="where to listen for other nodes, if they reach this one through a forwarder",
    )
    parser.add_argument(
        "--place-by-cost",
        action="store_true",
        help="place requests by their expected cost and the work that is left at each server",
    )
    parser.add_argument(
        "--place-by-cost-min-nodes",
        type=int,
        default=1,
        metavar="NODES",
        help="nodes from which on requests are placed by cost",
    )
    parser.add_argument("--log-level", default="INFO", help="lowest level that is logged")
    parser.add_argument(
        "--check-settings", action="store_true", help="check the settings file and end"
    )
    arguments = parser.parse_args()
    path = arguments.settings or Path(os.environ.get(_SETTINGS_VARIABLE, _DEFAULT_SETTINGS_PATH))

    def load(path: Path) -> GatewaySettings:
        """Return the settings in a file, with those that the command line adds."""
        return attrs.evolve(
            load_settings(path),
            peer_listen_address=arguments.peer_listen,
            places_by_cost=arguments.place_by_cost,
            cost_placement_min_nodes=arguments.place_by_cost_min_nodes,
        )

    try:
        settings = load(path)
    except ConfigurationError as error:
        print(error.message, file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    if arguments.check_settings:
        return
    output = configure_bounded_logging(node_name=settings.node_name, level=arguments.log_level)
    asyncio.run(
        _run(
            settings,
            path=path,
            load=load,
            metrics_port=arguments.metrics_port,
            log_output=output,
        )
    )


async def _run(
    settings: GatewaySettings,
    *,
    path: Path,
    load: Callable[[Path], GatewaySettings],
    metrics_port: int | None,
    log_output: BoundedOutput,
) -> None:
    ip = settings.caller_address.rpartition(":")[0]
    pool = ConnectionPool(max_connections=lambda key: _MAX_STORE_CONNECTIONS)
    eras = StoreEras()
    node = GatewayNode(
        settings=settings,
        store=PlatformStore(address=settings.store_address, pool=pool, eras=eras),
        eras=eras,
        wire=PlatformWire(),
        engine_wire=PlatformEngineWire(),
        store_format=StoreFormat(
            configuration_kind=CONFIGURATION_KIND,
            configuration_name=CONFIGURATION_NAME,
            decode_configuration=decode_configuration,
            instance_kind=INSTANCE_KIND,
            decode_instance=decode_instance,
            evacuation_kind=EVACUATION_KIND,
        ),
        metrics_address=None if metrics_port is None else f"{ip}:{metrics_port}",
        dropped_log_lines=lambda: log_output.dropped,
    )
    loop = asyncio.get_running_loop()
    stop_requested: asyncio.Future[float] = loop.create_future()

    def request_stop() -> None:
        if not stop_requested.done():
            stop_requested.set_result(loop.time())

    loop.add_signal_handler(signal.SIGTERM, request_stop)
    loop.add_signal_handler(signal.SIGINT, request_stop)
    watch = SettingsWatch(path=path, load=load, apply=node.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, lambda: watch.reload(reason="SIGHUP"))
    await watch.start()
    await node.start()
    linecache.clearcache()  # sources of generated methods, which only tracebacks show
    await node.stop(since_s=await stop_requested)
    await watch.stop()
