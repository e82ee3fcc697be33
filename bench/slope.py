"""Fit a line through costs measured at several numbers of items."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

REPEATS = 4
MIN_SAMPLE_S = 0.004
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Hold a fitted line `intercept + slope * items` over a range.

    `error` is the standard error of the slope or, if larger, half the range of
    the slopes of repeated rounds. `worst_residual` is the largest
    distance of a point from the line as a share of the largest value.
    """

    name: str
    slope: float
    intercept: float
    error: float
    worst_residual: float
    unit: str
    item: str
    low: int
    high: int
    points: int
    how: str

    def at(self, items: float) -> float:
        """Return the value of the line; extrapolated outside the range."""
        return self.intercept + self.slope * items


def fit(
    name: str,
    xs: Sequence[int],
    values: Sequence[float],
    *,
    unit: str,
    item: str,
    how: str,
) -> Slope:
    """Fit a line by least squares; needs at least three points."""
    x, y = np.asarray(xs, dtype=float), np.asarray(values, dtype=float)
    spread = x - x.mean()
    square = float(spread @ spread)
    slope = float(spread @ y) / square
    intercept = float(y.mean() - slope * x.mean())
    residuals = y - (intercept + slope * x)
    variance = float(residuals @ residuals) / (len(x) - 2)
    return Slope(
        name=name,
        slope=_rounded(slope),
        intercept=_rounded(intercept),
        error=_rounded((variance / square) ** 0.5),
        worst_residual=_rounded(
            float(np.abs(residuals).max() / np.abs(y).max())
        ),
        unit=unit,
        item=item,
        low=min(xs),
        high=max(xs),
        points=len(xs),
        how=how,
    )


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that stay allocated for what `build` returns."""
    build()
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size_bytes


def cpu_us(action: Callable[[], Any]) -> float:
    """Return the processor time of one call, the least of several samples.

    The least is taken because other processes on the host only add to it.
    """
    action()
    count = 1
    while (spent := _spent_s(action, count)) < MIN_SAMPLE_S:
        count = max(count * 2, int(count * MIN_SAMPLE_S / max(spent, 1e-7)))
    samples = [spent, *(_spent_s(action, count) for _ in range(REPEATS))]
    return min(samples) / count * US_PER_S


def _spent_s(action: Callable[[], Any], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        action()
    return time.process_time() - started


def _rounded(number: float) -> float:
    return float(f'{number:.4g}')
