"""Tests of writing log lines to a reader that is slow or has closed the pipe, and under load."""

import os

from egretstack.events import LineWriter
from tests.support import check, tests_of

load_tests = tests_of(globals())


class ManualClock:
    """A clock whose seconds the test sets."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def drain(descriptor):
    """Return the text that is in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        return data.decode()
    return data.decode()


def test_a_reader_that_stops_reading_does_not_block_the_process():
    # The pipe to the log collector is full, and a process that blocks in a write would serve
    # nobody. Lines are dropped instead, and their number is logged when the reader reads again.
    reading, writing = os.pipe()
    clock = ManualClock()
    writer = LineWriter(writing, clock)
    for number in range(5_000):
        clock.now_s = number
        writer.write("x" * 100)
    check.assertGreater(writer.dropped_total, 0)
    data = drain(reading)
    for line in ("first", "second", "third"):
        clock.now_s += 10
        writer.write(line)
        data += drain(reading)
    lines = data.splitlines()
    check.assertEqual(lines[-1], "third")
    check.assertEqual(sum("log_lines_dropped" in line for line in lines), 1)
    written = ("first", "second", "third", "x" * 100)
    check.assertEqual([line for line in lines if line not in written and "dropped" not in line], [])


def test_a_flood_of_lines_is_limited_and_warnings_still_pass():
    reading, writing = os.pipe()
    clock = ManualClock()
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


def test_a_reader_that_closed_the_pipe_does_not_stop_the_process():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing, ManualClock())
    for _ in range(10):
        writer.write("x")
    os.close(writing)
