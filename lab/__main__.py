"""Command line of the lab: ``python -m lab``."""

import argparse
import asyncio
import json
import sys
from pathlib import Path

import attrs

from lab.booking import build_booking_app
from lab.demo import DemoOptions, run_demo
from lab.engine import EngineOptions, build_engine_app
from lab.faults import CUT_KINDS, GATEWAY_KINDS, SILENCE_KINDS
from lab.platform import build_platform_app
from lab.records import Recorder
from lab.scenarios import SCENARIOS
from lab.server import run_app
from lab.soak import SoakOptions, run_gateway_soak, run_soak


def main() -> None:
    """Run the program that the command line names."""
    options = _parser().parse_args()
    match options.program:
        case "platform":
            run_app(build_platform_app(), options.address)
        case "engine":
            app = build_engine_app(EngineOptions(role=options.role), Recorder(options.record))
            run_app(app, options.address)
        case "booking":
            run_app(build_booking_app(Recorder(options.record)), options.address)
        case "demo":
            _demo(options)
        case "soak":
            sys.exit(_soak(options))


def _demo(options: argparse.Namespace) -> None:
    measures = run_demo(
        DemoOptions(
            scenario=options.scenario,
            duration_s=options.duration,
            load=options.load,
            seed=options.seed,
        )
    )
    text = json.dumps(measures, indent=2)
    print(text)
    if options.json:
        options.json.write_text(text + "\n")


def _soak(options: argparse.Namespace) -> int:
    """Run the soak test and return the exit status: 1 if a check failed."""
    soak = SoakOptions(
        seed=options.seed,
        duration_s=options.duration,
        load=options.load,
        mean_gap_s=options.gap,
        gateway_kinds=(
            SILENCE_KINDS if options.silences else CUT_KINDS if options.cuts else GATEWAY_KINDS
        ),
        has_cuts=options.cuts,
        has_crashing_parts=options.crashing_parts,
        has_limits=options.limits,
        has_versions=options.versions,
    )
    options.folder.mkdir(parents=True, exist_ok=True)
    if options.gateway:
        report = asyncio.run(run_gateway_soak(folder=options.folder, options=soak))
    else:
        scenario = SCENARIOS[options.scenario]
        report = asyncio.run(run_soak(scenario=scenario, folder=options.folder, options=soak))
    print(json.dumps(attrs.asdict(report), indent=2))
    return 1 if report.breaches else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m lab")
    programs = parser.add_subparsers(dest="program", required=True)
    programs.add_parser("platform").add_argument("address")
    booking = programs.add_parser("booking")
    engine = programs.add_parser("engine")
    engine.add_argument("--role", choices=["prefill", "decode"], required=True)
    for program in (booking, engine):
        program.add_argument("address")
        program.add_argument("--record", type=Path, metavar="FILE")
    soak = programs.add_parser("soak", help="load and faults from a seed, and a checker")
    soak.add_argument("--scenario", choices=sorted(SCENARIOS), default="himal")
    soak.add_argument("--gateway", action="store_true", help="nodes as on the users' platform")
    soak.add_argument(
        "--silences",
        action="store_true",
        help="with --gateway: only silent servers, changes of the configuration, planned stops",
    )
    soak.add_argument(
        "--crashing-parts",
        action="store_true",
        help="with --gateway: engines crash under a part of prompts",
    )
    soak.add_argument(
        "--limits",
        action="store_true",
        help="with --gateway: servers state how many requests they accept",
    )
    soak.add_argument(
        "--versions",
        action="store_true",
        help="with --gateway: engines of several software versions, and losses of all nodes",
    )
    soak.add_argument(
        "--cuts",
        action="store_true",
        help="with --gateway: nodes are cut from all backend servers, beside kills and restarts",
    )
    soak.add_argument("--duration", type=float, default=120.0, help="seconds of load")
    soak.add_argument("--load", type=float, default=0.6, help="part of the site's capacity")
    soak.add_argument("--gap", type=float, default=3.0, help="mean seconds between faults")
    soak.add_argument("--seed", type=int, default=1)
    soak.add_argument("--folder", type=Path, default=Path("out/soak"), help="settings and logs")
    demo = programs.add_parser("demo", help="start a site, load it and print the measures")
    demo.add_argument("--scenario", choices=sorted(SCENARIOS), default="himal")
    demo.add_argument("--duration", type=float, default=30.0, help="seconds of load")
    demo.add_argument("--load", type=float, default=0.95, help="part of the site's capacity")
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument("--json", type=Path, metavar="FILE")
    return parser


if __name__ == "__main__":
    main()
