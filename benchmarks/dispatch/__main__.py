"""Command line: ``python -m benchmarks.dispatch --json FILE --plots FOLDER``."""

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from loguru import logger

from benchmarks.dispatch._plots import plot_all
from benchmarks.dispatch._reference import fair_level, reference_share
from benchmarks.dispatch._runs import Run, measure
from benchmarks.dispatch._virtual import VirtualRun, measure_virtual
from lab.scenarios import SCENARIOS

_LOADS = (0.7, 0.95, 1.3)
_PLACERS = ("round_robin", "two_choice", "fleet")
_UNFAIRNESS_TOKENS = (512, 4096, 32768, 262144)
_FAULT_LOAD = 0.7
_UNFAIRNESS_LOAD = 1.3
_PARTS = ("policy", "knob", "loads", "faults")


def main() -> None:
    """Run the selected parts and write their measures to a JSON file."""
    options = _parser().parse_args()
    logger.remove()
    document = json.loads(options.json.read_text()) if options.json.exists() else {}
    for part in options.parts:
        document[part] = [_run_and_print(run) for run in _runs_of_part(part, options)]
        document["reference"] = _reference_points(options.duration)
        options.json.write_text(json.dumps(document, indent=1) + "\n")
    if options.plots:
        plot_all(document, options.plots)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.dispatch")
    parser.add_argument("--parts", nargs="*", choices=_PARTS, default=list(_PARTS))
    parser.add_argument("--placers", nargs="*", default=list(_PLACERS))
    parser.add_argument("--loads", nargs="*", type=float, default=list(_LOADS))
    parser.add_argument("--duration", type=float, default=25.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, default=Path("dispatch.json"))
    parser.add_argument("--plots", type=Path, help="folder for the plots")
    return parser


def _runs_of_part(part: str, options: argparse.Namespace) -> list[Run | VirtualRun]:
    common: dict[str, Any] = {"duration_s": options.duration, "seed": options.seed}
    match part:
        case "policy":
            return [VirtualRun(load=load, **common) for load in options.loads]
        case "loads":
            return [
                Run(placer=placer, load=load, **common)
                for load in options.loads
                for placer in options.placers
            ]
        case "faults":
            return [
                Run(placer=placer, load=_FAULT_LOAD, fault=fault, **common)
                for fault in ("engine", "node")
                for placer in options.placers
            ]
    return [
        VirtualRun(scenario=name, load=_UNFAIRNESS_LOAD, unfairness_tokens=unfairness, **common)
        for name in sorted(SCENARIOS)
        for unfairness in _UNFAIRNESS_TOKENS
    ]


def _run_and_print(run: Run | VirtualRun) -> dict[str, Any]:
    if isinstance(run, VirtualRun):
        measures = measure_virtual(run)
        print(json.dumps(measures), file=sys.stderr, flush=True)
        return measures
    measures = asyncio.run(measure(run))
    sent = {name: counts["sent"] for name, counts in measures["by_workspace"].items()}
    good = {name: counts["good"] for name, counts in measures["by_workspace"].items()}
    level = fair_level(sent, sum(good.values()))
    measures["worst_part_of_fair_share"] = round(
        min(good[name] / max(1e-9, min(sent[name], level)) for name in sent), 4
    )
    shown = {
        name: measures[name]
        for name in (
            "placer",
            "scenario",
            "load",
            "fault",
            "unfairness_tokens",
            "completions",
            "goodput_share",
            "worst_workspace_goodput_share",
            "worst_part_of_fair_share",
            "wasted_prefill_share",
            "refusals",
            "first_token_p95_s",
            "wrong_answers",
            "held_after_load",
        )
    }
    print(json.dumps(shown), file=sys.stderr, flush=True)
    return measures


def _reference_points(duration_s: float) -> list[dict[str, float]]:
    scenario = SCENARIOS["himal"]
    return [
        {
            "load": load,
            "goodput_share": round(reference_share(scenario, load=load, duration_s=duration_s), 4),
        }
        for load in _LOADS
    ]


if __name__ == "__main__":
    main()
