"""Worth, prices and broken rules by round, from the journal of measured runs.

Run with ``python -m benchmarks.journal [FOLDER] [--plot FILE] [--json]``.
"""

import argparse
import json
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

__all__ = ["JournalDay", "JournalRound", "plot_rounds", "read_rounds"]

_JOURNAL_FOLDER = Path(__file__).parents[1] / "journal"
_MAX_REASON_CHARS = 60


@attrs.frozen(kw_only=True)
class JournalDay:
    """One day of a round.

    Parameters
    ----------
    name : str
        Name of the day.
    worth : float
        Worth of the day.
    broken : tuple of str
        Broken rules.
    dearest : str
        Name of the price that reduced the worth most.
    price : float
        Reduction of the worth by that price.
    """

    name: str
    worth: float
    broken: tuple[str, ...]
    dearest: str
    price: float


@attrs.frozen(kw_only=True)
class JournalRound:
    """One measured run.

    Parameters
    ----------
    entry, at, command, site, reason : str
        File name of the journal entry without its suffix, time, command, site and purpose.
    score : float or None
        Score of the run, if it has one.
    days : tuple of JournalDay
        Days of the run.
    """

    entry: str
    at: str
    command: str
    site: str
    reason: str
    score: float | None
    days: tuple[JournalDay, ...]

    @property
    def mean_worth(self) -> float | None:
        """Mean worth of the days, or None without days."""
        if not self.days:
            return None
        return sum(day.worth for day in self.days) / len(self.days)

    @property
    def broken(self) -> list[str]:
        """Broken rules, each with its day."""
        return [f"{rule} on {day.name}" for day in self.days for rule in day.broken]


def read_rounds(folder: Path) -> list[JournalRound]:
    """Return the rounds of a journal, oldest first; raise `OSError` if it can't be read."""
    rounds = []
    for path in sorted(folder.glob("*.json")):
        document = json.loads(path.read_text())
        rounds.append(_round(path.stem, document))
    return rounds


def _round(entry: str, document: Mapping[str, Any]) -> JournalRound:
    return JournalRound(
        entry=entry,
        at=str((document.get("at") or [""])[0]),
        command=str(document.get("cmd", "")),
        site=str(document.get("site") or ""),
        reason=str(document.get("why") or ""),
        score=document.get("score"),
        days=tuple(_day(item) for item in document.get("days") or ()),
    )


def _day(document: Mapping[str, Any]) -> JournalDay:
    prices = [(str(row[0]), float(row[-1] or 0.0)) for row in document.get("prices") or ()]
    dearest = max(prices, key=lambda row: row[1], default=("", 0.0))
    return JournalDay(
        name=str(document.get("name", "")),
        worth=float(document.get("G") or 0.0),
        broken=tuple(str(rule) for rule in document.get("rules") or ()),
        dearest=dearest[0],
        price=dearest[1],
    )


def plot_rounds(rounds: Sequence[JournalRound], path: Path) -> None:
    """Plot the worth of each day by round, with one panel per site."""
    from matplotlib import pyplot  # only a plot needs it

    sites = sorted({item.site for item in rounds if item.site})
    figure, axes = pyplot.subplots(len(sites), 1, figsize=(9, 3 * len(sites)), squeeze=False)
    for axis, site in zip(axes[:, 0], sites, strict=True):
        points: dict[str, list[tuple[int, float]]] = defaultdict(list)
        for number, item in enumerate(rounds):
            if item.site != site or item.command not in ("run", "score"):
                continue
            for day in item.days:
                points[day.name].append((number, day.worth))
        for name, values in sorted(points.items()):
            if len(values) > 1:
                axis.plot(*zip(*values, strict=True), marker="o", markersize=3, label=name)
        axis.set_title(site)
        axis.set_xlabel("entry of the journal")
        axis.set_ylabel("worth")
        axis.legend(fontsize=6, ncols=2)
    figure.tight_layout()
    figure.savefig(path)


def _describe(item: JournalRound) -> str:
    worth = item.mean_worth
    parts = [item.entry, item.command, item.site, f"days={len(item.days)}"]
    if worth is not None:
        parts.append(f"worth={worth:.3f}")
    if item.score is not None:
        parts.append(f"score={item.score:.3f}")
    if item.days:
        dearest = max(item.days, key=lambda day: day.price)
        parts.append(f"dearest={dearest.dearest} ({dearest.price:.3f})")
    parts += [f"BROKEN {rule}" for rule in item.broken]
    return "  ".join([*parts, item.reason[:_MAX_REASON_CHARS]])


def main() -> None:
    """Print the rounds and, with ``--plot``, plot them."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.journal", description=__doc__)
    parser.add_argument("folder", nargs="?", type=Path, default=_JOURNAL_FOLDER)
    parser.add_argument("--plot", type=Path, metavar="FILE", help="draw the worth by round")
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args()
    rounds = read_rounds(options.folder)
    if options.json:
        print(json.dumps([attrs.asdict(item) for item in rounds], indent=2))
    else:
        print("\n".join(_describe(item) for item in rounds))
    if options.plot is not None:
        plot_rounds(rounds, options.plot)


if __name__ == "__main__":
    main()
