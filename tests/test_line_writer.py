"""Log lines towards a reader that is slow, or gone, or gets too many."""

import os

from egretstack.events import LineWriter
from tests.support import check, tests_of

load_tests = tests_of(globals())


class Clock:
    """Seconds that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def drain(descriptor):
    """Read all that is in a pipe, as text."""
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65_536):
            data += part
    except BlockingIOError:
        return data.decode()
    return data.decode()


def test_a_reader_that_stops_reading_stops_nothing():
    # The process would hang in a write and serve nobody: the pipe to the log collector is full.
    # Lines are dropped instead, and the reader is told how many when it is back.
    reading, writing = os.pipe()
    clock = Clock()
    writer = LineWriter(writing, clock)
    for number in range(5_000):
        clock.now_s = number
        writer.write("x" * 100)
    check.assertGreater(writer.dropped_total, 0)
    data = drain(reading)
    for word in ("first", "second", "third"):
        clock.now_s += 10
        writer.write(word)
        data += drain(reading)
    lines = data.splitlines()
    check.assertEqual(lines[-1], "third")
    check.assertEqual(sum("log_lines_dropped" in line for line in lines), 1)
    known = ("first", "second", "third", "x" * 100)
    check.assertEqual([one for one in lines if one not in known and "dropped" not in one], [])


def test_a_flood_is_cut_and_warnings_still_pass():
    reading, writing = os.pipe()
    clock = Clock()
    writer = LineWriter(writing, clock)
    for _ in range(2_000):
        writer.write("info")
    writer.write("warning", urgent=True)
    lines = drain(reading).splitlines()
    check.assertLess(lines.count("info"), 400)
    check.assertIn("warning", lines)
    clock.now_s = 1.0
    writer.write("info")
    check.assertEqual(drain(reading), "info\n")


def test_a_reader_that_is_gone_stops_nothing():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing, Clock())
    for _ in range(10):
        writer.write("x")
    os.close(writing)
