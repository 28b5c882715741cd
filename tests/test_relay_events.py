"""Cutting a stream into events, and letting each pass once and in order."""

from egretstack.relay import EventCursor, EventGap, EventSplitter, EventTooLarge, StreamEvent
from tests.support import check, tests_of

load_tests = tests_of(globals())


def events(*ids):
    return [StreamEvent(f"id: {one}\ndata: x\n\n".encode(), one) for one in ids]


def test_events_are_cut_wherever_the_bytes_are_cut():
    whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n"
    for size in range(1, len(whole)):
        splitter = EventSplitter()
        found = []
        for start in range(0, len(whole), size):
            found += splitter.feed(whole[start : start + size])
        check.assertEqual([event.id for event in found], ["1", "2", "3"])
        check.assertEqual(b"".join(event.data for event in found), whole)
        check.assertEqual(splitter.remainder, b"")


def test_half_an_event_is_kept_back():
    splitter = EventSplitter()
    check.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
    check.assertEqual(splitter.remainder, b"id: 1\ndata: a")


def test_an_event_that_never_ends_is_refused():
    splitter = EventSplitter()
    with check.assertRaises(EventTooLarge):
        for _ in range(20):
            splitter.feed(b"x" * 100_000)


def test_a_continued_run_that_sends_its_last_event_again():
    # The client sees a piece twice: the run had made its last event when its runner was told to
    # leave, the stream went on at the backup copy, and the copy sent that event once more. The
    # cursor drops what the client has.
    cursor = EventCursor()
    check.assertEqual(cursor.accept(events("1", "2", "3")), events("1", "2", "3"))
    check.assertEqual(cursor.accept(events("3")), [])
    check.assertEqual(cursor.accept(events("2", "3", "4")), events("4"))


def test_a_continued_run_that_leaves_an_event_out():
    # The client would see a piece missing: the copy went on from a later point than the client
    # had. Nothing after the gap may pass.
    cursor = EventCursor()
    cursor.accept(events("1", "2"))
    with check.assertRaises(EventGap):
        cursor.accept(events("4"))


def test_ids_that_count_by_more_than_one():
    cursor = EventCursor()
    check.assertEqual(len(cursor.accept(events("4", "8", "12"))), 3)
    with check.assertRaises(EventGap):
        cursor.accept(events("20"))


def test_events_without_ids_pass():
    cursor = EventCursor()
    comment = StreamEvent(b": hello\n\n", "")
    check.assertEqual(cursor.accept([comment, *events("1")]), [comment, *events("1")])
