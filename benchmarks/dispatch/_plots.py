"""Plot the measures of the JSON document."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt  # noqa: E402

__all__ = ["plot_all"]

_PLACERS = ("round_robin", "two_choice", "local", "fleet")
_MEASURES = {
    "goodput_share": "goodput share",
    "worst_part_of_fair_share": "worst workspace, part of fair share",
    "wasted_prefill_share": "wasted prefill share",
}


def plot_all(document: dict[str, Any], folder: Path) -> None:
    """Write every plot for which the document contains measures."""
    plt.rcParams["svg.hashsalt"] = "flamingoshelf"
    if document.get("loads"):
        _plot_loads(document, folder / "dispatch-loads.svg")
    if document.get("faults"):
        _plot_faults(document, folder / "dispatch-faults.svg")
    if document.get("knob"):
        _plot_unfairness(document, folder / "dispatch-knob.svg")


def _plot_loads(document: dict[str, Any], path: Path) -> None:
    figure, axes = plt.subplots(1, len(_MEASURES), figsize=(13, 4))
    for axis, (measure, label) in zip(axes, _MEASURES.items(), strict=True):
        for placer in _PLACERS:
            runs = [run for run in document["loads"] if run["placer"] == placer]
            runs.sort(key=lambda run: run["load"])
            if runs:
                loads = [run["load"] for run in runs]
                axis.plot(loads, [run[measure] for run in runs], marker="o", label=placer)
        axis.set(xlabel="load / capacity", ylabel=label, ylim=(0, 1.02))
    reference = document["reference"]
    axes[0].plot(
        [entry["load"] for entry in reference],
        [entry["goodput_share"] for entry in reference],
        linestyle="--",
        color="grey",
        label="reference",
    )
    axes[0].legend()
    _save(figure, path)


def _plot_faults(document: dict[str, Any], path: Path) -> None:
    faults = document["faults"]
    figure, axes = plt.subplots(2, len(faults), figsize=(4.5 * len(faults), 6), squeeze=False)
    for column, run in enumerate(faults):
        upper, lower = axes[0][column], axes[1][column]
        seconds = [entry["second"] for entry in run["timeline"]]
        shares = [entry["good"] / max(1, entry["sent"]) for entry in run["timeline"]]
        upper.step(seconds, shares, where="post")
        upper.axvline(run["fault_at_s"], color="red", linestyle=":")
        upper.set(title=f"{run['placer']}: {run['fault']} killed", ylim=(0, 1.05))
        upper.set(xlabel="s", ylabel="goodput share")
        samples = run.get("held_by_dead", [])
        lower.step([s["after_s"] for s in samples], [s["held"] for s in samples], where="post")
        lower.set(xlabel="s after the kill", ylabel="held by dead requests")
    _save(figure, path)


def _plot_unfairness(document: dict[str, Any], path: Path) -> None:
    figure, axis = plt.subplots(figsize=(6, 4))
    for scenario in sorted({run["scenario"] for run in document["knob"]}):
        runs = [run for run in document["knob"] if run["scenario"] == scenario]
        runs.sort(key=lambda run: run["unfairness_tokens"])
        unfairness_tokens = [run["unfairness_tokens"] for run in runs]
        for measure, style in (("goodput_share", "-"), ("worst_part_of_fair_share", "--")):
            values = [run[measure] for run in runs]
            axis.plot(
                unfairness_tokens,
                values,
                style,
                marker="o",
                label=f"{scenario}: {_MEASURES[measure]}",
            )
    axis.set(xscale="log", xlabel="unfairness_tokens", ylim=(0, 1.02))
    axis.legend(fontsize="small")
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
