"""The capacity page follows from the kept slopes, and the slopes from their measurements."""

import json
import re

from scripts._capacity_lines import LINES_BY_TABLE, fit_runs
from scripts._sheet import SLOPES_FILE, Resource, Slopes, is_within
from scripts._slope import Slope, fit
from scripts.capacity import PAGE, capacity_page
from tests.support import check, tests_of

load_tests = tests_of(globals())

NAMED = re.compile(r"`([a-z]+\.[a-z_]+)`: ")
ROUNDING = 0.005


def kept_rows():
    return [json.loads(line) for line in SLOPES_FILE.read_text().splitlines()]


def all_slopes():
    slopes = Slopes()
    fit_runs(slopes)
    return slopes


def test_the_page_is_what_the_slopes_give():
    check.assertEqual(PAGE.read_text(), capacity_page(Slopes()), "run make slopes, or capacity.py")


def test_every_slope_on_the_page_was_measured():
    named = set(NAMED.findall(PAGE.read_text()))
    check.assertTrue(named)
    check.assertLessEqual(named, all_slopes().slope_by_name.keys())


def test_every_kept_slope_is_the_least_squares_line_of_its_values():
    fields = Slope.__dataclass_fields__.keys()
    for row in kept_rows():
        script = row.pop("script")
        if row.keys() != fields:
            continue
        again = fit(
            row["name"],
            row["unit"],
            row["per"],
            dict(zip(row["sizes"], row["values"], strict=True)),
        )
        top = max(abs(value) for value in row["values"])
        for size in row["sizes"]:
            kept = row["base"] + row["each"] * size
            fresh = again.base + again.each * size
            check.assertLessEqual(abs(kept - fresh), ROUNDING * top, f"{script}: {row['name']}")


def test_every_line_says_whether_it_fits():
    slopes = all_slopes()
    page = PAGE.read_text()
    for lines in LINES_BY_TABLE.values():
        for line in lines(slopes):
            [row] = [
                text
                for text in page.splitlines()
                if f"| {line.cost} |" in text and f"`{line.slopes[0]}`" in text
            ]
            fits = is_within(line.value, line.resource.bound)
            if line.resource.bound is not None:
                check.assertEqual("does not fit" not in row, fits, row)


def test_bounds_are_those_of_the_target():
    check.assertEqual(Resource.CPU.bound, 0.012 * 1_000_000)
    check.assertEqual(Resource.MEMORY.bound, 256_000_000)
    check.assertEqual(Resource.TRAFFIC.bound, 3_000)
    check.assertEqual(Resource.READS.bound, 2_000)
