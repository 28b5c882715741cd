"""Slopes: values measured at several sizes, fitted by least squares, printed as JSON lines."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass

OBJECT_SIZES = (5, 20, 80, 320)
REPEATS = 5
MICROSECONDS = 1_000_000


@dataclass(frozen=True)
class Slope:
    """A fitted line `value = base + each * size`, with the points that it was fitted to.

    `per` is the unit of the size. `worst` is the largest residual as a share of the largest value:
    close to 0 if the points are on a line; if it is large, do not extrapolate to the target.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    base: float
    each: float
    worst: float


def fit(name: str, unit: str, per: str, value_by_size: dict[float, float]) -> Slope:
    """Fit a line by least squares; a single point gives a base of 0."""
    sizes = tuple(value_by_size)
    values = tuple(value_by_size.values())
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    variance = sum((size - mean_size) ** 2 for size in sizes)
    if variance:
        covariance = sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        each = covariance / variance
        base = mean_value - each * mean_size
    else:
        each, base = values[0] / sizes[0], 0.0
    residuals = [abs(base + each * s - v) for s, v in zip(sizes, values, strict=True)]
    max_value = max(abs(value) for value in values)
    worst = max(residuals) / max_value if max_value else 0.0
    return Slope(name, unit, per, sizes, _round_all(values), *_round_all((base, each, worst)))


def print_slope(slope: Slope) -> None:
    """Print a slope as one JSON line."""
    print(json.dumps(asdict(slope)), flush=True)


def measure_held_bytes(make: Callable[[], object]) -> int:
    """Return the memory held by the object that `make` returns, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = make()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return after - before


def measure_cpu_us(function: Callable[[], object], rounds: int = 1) -> float:
    """Return the processor time of one call of `function` in microseconds, the best of several."""
    best = float("inf")
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(rounds):
            function()
        best = min(best, time.process_time() - started_s)
    return best / rounds * MICROSECONDS


def _round_all(values: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(float(f"{value:.4g}") for value in values)
