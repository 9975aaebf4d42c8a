"""Resource usage of processes, and linear fits of measured points."""

import os
from collections.abc import Sequence
from pathlib import Path

import attrs
import numpy as np

__all__ = ["LinearFit", "ProcessUsage", "fit_line", "read_process_usage"]

_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_FIELD, _SYSTEM_FIELD = 11, 12


@attrs.frozen(kw_only=True)
class ProcessUsage:
    """Processor time and resident memory of a process.

    Parameters
    ----------
    cpu_s : float
        Seconds of processor time since its start.
    memory_bytes : int
        Resident memory.
    """

    cpu_s: float
    memory_bytes: int


@attrs.frozen(kw_only=True)
class LinearFit:
    """Least-squares line through points.

    Parameters
    ----------
    intercept, slope : float
        Coefficients of the line.
    residual : float
        Largest vertical distance of a point from the line, divided by the largest value.
    """

    intercept: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


def read_process_usage(pid: int) -> ProcessUsage:
    """Return processor time and memory of the process `pid` so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(cpu_s=ticks * _TICK_S, memory_bytes=pages * _PAGE_BYTES)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Return the least-squares line through the points (xs, ys).

    Examples
    --------
    >>> line = fit_line([1, 2, 3], [3, 5, 7])
    >>> round(line.slope, 6), round(line.intercept, 6)
    (2.0, 1.0)
    """
    slope, intercept = np.polyfit(xs, ys, 1)
    distances = np.abs(np.asarray(ys) - (intercept + slope * np.asarray(xs)))
    residual = float(distances.max() / max(np.abs(ys).max(), 1e-12))
    return LinearFit(intercept=float(intercept), slope=float(slope), residual=residual)
