"""Command line of the lab: ``python -m lab``."""

import argparse
import json
from pathlib import Path

from lab.booking import build_booking_app
from lab.demo import DemoOptions, run_demo
from lab.engine import EngineOptions, build_engine_app
from lab.platform import build_platform_app
from lab.scenarios import SCENARIOS
from lab.server import run_app


def main() -> None:
    """Run one stand-in or the demo."""
    options = _parser().parse_args()
    match options.program:
        case "platform":
            run_app(build_platform_app(), options.address)
        case "engine":
            run_app(build_engine_app(EngineOptions(role=options.role)), options.address)
        case "booking":
            run_app(build_booking_app(), options.address)
        case "demo":
            _demo(options)


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


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m lab")
    programs = parser.add_subparsers(dest="program", required=True)
    for name in ("platform", "booking"):
        programs.add_parser(name).add_argument("address")
    engine = programs.add_parser("engine")
    engine.add_argument("address")
    engine.add_argument("--role", choices=["prefill", "decode"], required=True)
    demo = programs.add_parser("demo", help="start a site, load it and print the measures")
    demo.add_argument("--scenario", choices=sorted(SCENARIOS), default="himal")
    demo.add_argument("--duration", type=float, default=30.0, help="seconds of load")
    demo.add_argument("--load", type=float, default=0.95, help="part of the site's capacity")
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument("--json", type=Path, metavar="FILE")
    return parser


if __name__ == "__main__":
    main()
