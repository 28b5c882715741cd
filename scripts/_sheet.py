"""Lines of the capacity page: measured slopes extrapolated to the target, and their bounds."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from scripts._slope import Slope, fit
from scripts._target import BOUNDS, KILOBYTE, MEGABYTE

PREFIX = "slopes_"
SLOPES_FILE = Path(__file__).parent.parent / "docs" / "capacity-slopes.jsonl"


class Resource(Enum):
    """A resource: label, unit, and bound, or None if there is no bound."""

    CPU = ("processor time", "us/s", BOUNDS.cpu_us)
    MEMORY = ("memory", "bytes", BOUNDS.memory_bytes)
    TRAFFIC = ("traffic", "bytes/s", BOUNDS.sent_bytes)
    READS = ("object API reads", "calls/s", BOUNDS.reads)
    WRITES = ("object API writes", "calls/s", BOUNDS.writes)
    CORE = ("processor time of the entry", "us/s", 1_000_000)
    DATA_MEMORY = ("memory of the entry", "bytes", None)

    def __init__(self, label: str, unit: str, bound: float | None) -> None:
        self.label = label
        self.unit = unit
        self.bound = bound


@dataclass(frozen=True)
class Line:
    """One cost of one role. `basis` describes how the value follows from the slopes."""

    cost: str
    resource: Resource
    slopes: tuple[str, ...]
    basis: str
    value: float
    carried_by: str

    @property
    def fits(self) -> bool:
        """Return whether this line on its own stays within the bound."""
        return is_within(self.value, self.resource.bound)


class Slopes:
    """The stored slopes by name, such as `accounts.metrics_memory` from `slopes_accounts.py`."""

    def __init__(self, path: Path = SLOPES_FILE) -> None:
        self.slope_by_name: dict[str, Slope] = {}
        self._rows_by_part: dict[str, list[dict]] = {}
        for text in path.read_text().splitlines():
            row = json.loads(text)
            script = row.pop("script")
            part = script.removeprefix(PREFIX)
            self._rows_by_part.setdefault(part, []).append(row)
            if row.keys() == Slope.__dataclass_fields__.keys():
                slope = Slope(**row)
                self.slope_by_name[f"{part}.{slope.name}"] = slope

    def fit_rows(
        self, name: str, unit: str, size: tuple[str, str], value: str, **filters: object
    ) -> None:
        """Fit a slope to the rows of a script that prints runs and not slopes (`limits.traffic`).

        `size` is the unit of a run's size and the field that holds the size; `value` is the field
        with the measured value; `filters` select runs by other fields.
        """
        part, _, short_name = name.partition(".")
        per, size_field = size
        rows = [
            row
            for row in self._rows_by_part.get(part, [])
            if value in row and size_field in row and filters.items() <= row.items()
        ]
        value_by_size = {row[size_field]: row[value] for row in rows}
        if value_by_size:
            self.slope_by_name[name] = fit(short_name, unit, per, value_by_size)

    def value_at(self, name: str, size: float) -> float:
        """Return the value at a size on the fitted line.

        A line falls only because of scatter; for such a line, return the largest measured value.
        """
        slope = self.slope_by_name[name]
        if slope.each <= 0:
            return max(slope.values)
        return max(0.0, slope.base + slope.each * size)

    def unit_cost(self, name: str) -> float:
        """Return the cost of one more unit."""
        return self.slope_by_name[name].each


def format_amount(value: float, unit: str) -> str:
    """Format a value with its unit for people to read."""
    head, _, tail = unit.partition("/")
    rate = "/" + tail if tail else ""
    if head == "bytes" and value >= MEGABYTE:
        return f"{value / MEGABYTE:,.3g} MB{rate}"
    if head == "bytes" and value >= KILOBYTE:
        return f"{value / KILOBYTE:,.3g} KB{rate}"
    if value >= KILOBYTE:
        return f"{value:,.0f} {unit}"
    return f"{value:.3g} {unit}"


def format_slope(slope: Slope) -> str:
    """Format a slope as base and cost per unit."""
    if len(slope.sizes) == 1:
        return f"{slope.each:,.4g} {slope.unit} a {slope.per}"
    if slope.each <= 0:
        return f"at most {max(slope.values):,.4g} {slope.unit}, whatever the size"
    return f"{slope.base:,.4g} {slope.unit}, and {slope.each:,.4g} for each {slope.per}"


def format_table(lines: Iterable[Line], slopes: Slopes) -> str:
    """Format lines as a table, with the total of each resource below."""
    rows = [
        "| cost | carried by | measured | sum at the target | bound | |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    total: dict[Resource, float] = {}
    for line in lines:
        rows.append(_format_row(line, slopes))
        total[line.resource] = total.get(line.resource, 0.0) + line.value
    for resource, value in total.items():
        rows.append(_format_total_row(resource, value))
    return "\n".join(rows)


def is_within(value: float, bound: float | None) -> bool:
    """Return whether a value is within a bound; None means no bound."""
    return bound is None or value <= bound


def format_verdict(value: float, bound: float | None) -> str:
    """Return the text that says whether a value is within a bound."""
    if bound is None:
        return ""
    return "fits" if value <= bound else "**does not fit**"


def _format_row(line: Line, slopes: Slopes) -> str:
    measured = "; ".join(
        f"`{name}`: {format_slope(slopes.slope_by_name[name])}" for name in line.slopes
    )
    resource = line.resource
    total = f"{line.basis}: {format_amount(line.value, resource.unit)}"
    verdict = format_verdict(line.value, resource.bound)
    return (
        f"| {line.cost} | {line.carried_by} | {measured} | {total} "
        f"| {_format_bound(resource)} | {verdict} |"
    )


def _format_total_row(resource: Resource, value: float) -> str:
    total = f"**{format_amount(value, resource.unit)}**"
    verdict = format_verdict(value, resource.bound)
    return f"| all of it: {resource.label} | | | {total} | {_format_bound(resource)} | {verdict} |"


def _format_bound(resource: Resource) -> str:
    return "none given" if resource.bound is None else format_amount(resource.bound, resource.unit)
