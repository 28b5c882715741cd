"""The capacity page agrees with the stored slopes, and the slopes with their measurements."""

import json
import re

from scripts._capacity_lines import LINES_BY_TABLE, fit_runs
from scripts._sheet import SLOPES_FILE, Resource, Slopes, is_within
from scripts._slope import Slope, fit
from scripts.capacity import PAGE, capacity_page
from tests.support import check, tests_of

load_tests = tests_of(globals())

SLOPE_NAME = re.compile(r"`([a-z]+\.[a-z_]+)`: ")
ROUNDING = 0.005


def read_stored_rows():
    return [json.loads(line) for line in SLOPES_FILE.read_text().splitlines()]


def read_all_slopes():
    slopes = Slopes()
    fit_runs(slopes)
    return slopes


def test_the_page_is_up_to_date_with_the_slopes():
    check.assertEqual(PAGE.read_text(), capacity_page(Slopes()), "run make slopes, or capacity.py")


def test_every_slope_on_the_page_was_measured():
    names = set(SLOPE_NAME.findall(PAGE.read_text()))
    check.assertTrue(names)
    check.assertLessEqual(names, read_all_slopes().slope_by_name.keys())


def test_every_stored_slope_is_the_least_squares_line_of_its_values():
    fields = Slope.__dataclass_fields__.keys()
    for row in read_stored_rows():
        script = row.pop("script")
        if row.keys() != fields:
            continue
        line = fit(
            row["name"],
            row["unit"],
            row["per"],
            dict(zip(row["sizes"], row["values"], strict=True)),
        )
        max_value = max(abs(value) for value in row["values"])
        for size in row["sizes"]:
            stored = row["base"] + row["each"] * size
            refitted = line.base + line.each * size
            check.assertLessEqual(
                abs(stored - refitted), ROUNDING * max_value, f"{script}: {row['name']}"
            )


def test_every_line_says_whether_it_fits():
    slopes = read_all_slopes()
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
