"""Splitting a stream into events, and accepting each event once and in order."""

import time

from egretstack.relay import EventCursor, EventGap, EventSplitter, EventTooLarge, StreamEvent
from tests.support import check, tests_of

load_tests = tests_of(globals())


def events(*ids):
    return [StreamEvent(f"id: {event_id}\ndata: x\n\n".encode(), event_id) for event_id in ids]


def test_events_are_split_wherever_the_chunks_end():
    stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n"
    for size in range(1, len(stream)):
        splitter = EventSplitter()
        received = []
        for start in range(0, len(stream), size):
            received += splitter.feed(stream[start : start + size])
        check.assertEqual([event.id for event in received], ["1", "2", "3"])
        check.assertEqual(b"".join(event.data for event in received), stream)
        check.assertEqual(splitter.remainder, b"")


def test_a_partial_event_is_held_back():
    splitter = EventSplitter()
    check.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
    check.assertEqual(splitter.remainder, b"id: 1\ndata: a")


def test_an_event_that_never_ends_is_rejected():
    splitter = EventSplitter()
    with check.assertRaises(EventTooLarge):
        for _ in range(20):
            splitter.feed(b"x" * 100_000)


def test_a_continued_run_that_repeats_its_last_event():
    # The client would receive text twice: the run had produced its last event when its runner was
    # told to leave, the stream continued from the backup copy, and the copy sent that event again.
    # The cursor drops events that the client already has.
    cursor = EventCursor()
    check.assertEqual(cursor.accept(events("1", "2", "3")), events("1", "2", "3"))
    check.assertEqual(cursor.accept(events("3")), [])
    check.assertEqual(cursor.accept(events("2", "3", "4")), events("4"))


def test_a_continued_run_that_skips_an_event():
    # Text would be missing at the client: the copy continued after a later event than the client's
    # last one. Nothing after the gap may be forwarded.
    cursor = EventCursor()
    cursor.accept(events("1", "2"))
    with check.assertRaises(EventGap):
        cursor.accept(events("4"))


def test_events_before_a_gap_count_as_not_received():
    # Guards against a run that resumes after an event which came in one piece with the gap, and so
    # was never forwarded.
    cursor = EventCursor()
    cursor.accept(events("1", "2"))
    with check.assertRaises(EventGap):
        cursor.accept(events("3", "5"))
    check.assertEqual(cursor.last_id, "2")
    check.assertEqual(cursor.accept(events("3")), events("3"))


def test_last_event_ids_that_are_no_numbers():
    # Guards against a failure on what a client sends as its last event.
    for last_id in ("abc", "-3", "\xb2", "9" * 5_000):
        cursor = EventCursor(last_id)
        check.assertEqual(cursor.accept(events("1", "2")), events("1", "2"))
        check.assertEqual(cursor.last_id, "2")


def test_events_of_one_run_that_share_an_id_that_is_no_number():
    # Guards against a lost event: only a new run may repeat the client's last event.
    cursor = EventCursor()
    check.assertEqual(len(cursor.accept(events("a", "a", "a"))), 3)
    cursor = EventCursor("a")
    check.assertEqual(cursor.accept(events("a", "b", "b")), events("b", "b"))


def test_ids_that_no_header_can_hold_are_ignored():
    # Guards against a `Last-Event-Id` that fails the request to the next runner.
    for event_id in (b"5 ", b" 5", b"\x005", b"5\x0b6", b"\x1f", b"\x7f", b"9" * 2_000):
        [event] = EventSplitter().feed(b"id: " + event_id + b"\ndata: x\n\n")
        check.assertEqual((event.id, event.has_data), ("", True))
    [event] = EventSplitter().feed(b"id: a b\xe9\n\n")
    check.assertEqual(event.id, "a b\xe9")


def test_ids_that_count_by_more_than_one():
    cursor = EventCursor()
    check.assertEqual(len(cursor.accept(events("4", "8", "12"))), 3)
    with check.assertRaises(EventGap):
        cursor.accept(events("20"))


def test_events_without_ids_pass():
    cursor = EventCursor()
    comment = StreamEvent(b": hello\n\n", "")
    check.assertEqual(cursor.accept([comment, *events("1")]), [comment, *events("1")])


def test_a_stream_is_not_resumable_after_an_event_without_a_number():
    # Guards against the repetition of an event that has no number by which it could be dropped.
    cursor = EventCursor("4")
    cursor.accept([StreamEvent(b": comment\n\n", "")])
    check.assertTrue(cursor.is_resumable)
    cursor.accept([StreamEvent(b"data: x\n\n", "")])
    check.assertFalse(cursor.is_resumable)
    cursor.accept(events("5"))
    check.assertTrue(cursor.is_resumable)


def test_comments_are_no_events_and_their_size_is_limited():
    # Guards against a runner that seems alive by comments alone, and sends them without end.
    splitter = EventSplitter()
    [comment, event] = splitter.feed(b": still here\n\nid: 1\ndata: x\n\n")
    check.assertTrue(comment.is_comment and not event.is_comment)
    for _ in range(10):
        splitter.feed(b":" + b"x" * 10_000 + b"\n\nid: 1\ndata: x\n\n")
    with check.assertRaises(EventTooLarge):
        for _ in range(10):
            splitter.feed(b":" + b"x" * 10_000 + b"\n\n")


def test_an_event_in_many_pieces_is_found_in_linear_time():
    # Guards against an instance that is kept busy by one long event in small pieces.
    splitter = EventSplitter()
    began_s = time.process_time()
    for _ in range(10_000):
        splitter.feed(b"x" * 100)
    check.assertEqual(len(splitter.feed(b"\r\n\r\n")), 1)
    check.assertLess(time.process_time() - began_s, 1.0)
