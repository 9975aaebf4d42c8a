"""Puts the request path of a node together, from admission to the forwarders."""

import random
from collections.abc import Callable

from flamingoshelf.gateway._active_configuration import ActiveConfiguration
from flamingoshelf.gateway._admission import Admission
from flamingoshelf.gateway._answer_limit import AnswerLimit
from flamingoshelf.gateway._app import Gateway
from flamingoshelf.gateway._backend_client import BackendClient
from flamingoshelf.gateway._crash_detector import CrashDetector
from flamingoshelf.gateway._engine_failures import EngineFailures
from flamingoshelf.gateway._engine_runs import EngineRuns
from flamingoshelf.gateway._plain_forwarder import PlainForwarder
from flamingoshelf.gateway._stream_forwarder import StreamForwarder
from flamingoshelf.gateway._target_selector import TargetSelector
from flamingoshelf.gateway._wire import WireFormat
from flamingoshelf.paths import PathReports, PathTable
from flamingoshelf.placement import Placer, PlainCallMeter
from flamingoshelf.plain_placement import PlacementService
from flamingoshelf.retries import RetryBudget
from flamingoshelf.routing import EjectionRule, InstanceDirectory, ServerNotices, ServerSelector
from flamingoshelf.server_limits import LimitService
from flamingoshelf.stream_origins import StreamOrigins
from flamingoshelf.telemetry import Metrics
from flamingoshelf.utils import Pacer

__all__ = ["new_gateway"]


def new_gateway(
    *,
    configuration: ActiveConfiguration,
    client: BackendClient,
    directory: InstanceDirectory,
    notices: ServerNotices,
    limits: LimitService,
    placer: Placer,
    origins: StreamOrigins,
    runs: EngineRuns,
    plain_calls: PlainCallMeter,
    crash_detector: CrashDetector,
    paths: PathReports,
    path_table: PathTable,
    failures: EngineFailures,
    budget: Callable[[str], RetryBudget],
    wire: WireFormat,
    data_centre: str,
    metrics: Metrics,
    random_source: random.Random,
    pacer: Pacer,
    answer_limit: AnswerLimit,
    placement: PlacementService | None = None,
    places_by_cost: Callable[[], bool] = lambda: True,
) -> Gateway:
    """Return the handler of callers' requests; the parameters are those of its parts."""
    targets = TargetSelector(
        configuration=configuration,
        directory=directory,
        random_source=random_source,
        notices=notices,
    )
    selector = ServerSelector(
        data_centre=data_centre, rule=EjectionRule(), random_source=random_source
    )
    path_table.subscribe(selector.forget)
    plain = PlainForwarder(
        client=client,
        targets=targets,
        selector=selector,
        limits=limits,
        budget=budget,
        plain_calls=plain_calls,
        crash_detector=crash_detector,
        paths=paths,
        metrics=metrics,
        placement=placement,
        places_by_cost=places_by_cost,
    )
    streams = StreamForwarder(
        client=client,
        targets=targets,
        directory=directory,
        placer=placer,
        origins=origins,
        runs=runs,
        crash_detector=crash_detector,
        failures=failures,
        metrics=metrics,
        pacer=pacer,
    )
    return Gateway(
        configuration=configuration,
        admission=Admission(configuration=configuration, wire=wire, answer_limit=answer_limit),
        plain=plain,
        streams=streams,
        metrics=metrics,
    )
