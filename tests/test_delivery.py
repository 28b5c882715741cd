"""Tests of delivery: the cursor, recovery decisions and session ids."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.delivery import (
    Cursor,
    Failure,
    InvalidSessionId,
    Recovery,
    RecoveryBudget,
    SessionIdCipher,
    SessionProgress,
    SessionRef,
    Step,
    Verdict,
)
from egretstack.ids import AccountId, GenerationId, InstanceId, RunnerId, ServiceName
from tests.support import check, tests_of

load_tests = tests_of(globals())

FIRST = GenerationId("one")
SECOND = GenerationId("two")


@settings(deadline=None)
@given(st.lists(st.tuples(st.sampled_from([FIRST, SECOND]), st.integers(0, 20)), max_size=60))
def test_delivered_events_are_one_generation_in_order(offers):
    # Whatever events arrive, including reordered, repeated, skipped ones and those of another
    # generation, the reader gets 0, 1, 2, ... of the generation that the cursor is bound to.
    # Without the check of the generation, two answers would be spliced.
    cursor = Cursor()
    delivered = [event for event in offers if cursor.offer(*event) is Verdict.DELIVER]
    check.assertEqual([sequence for _, sequence in delivered], list(range(len(delivered))))
    check.assertLessEqual(len({generation for generation, _ in delivered}), 1)


def test_generation_lost_before_delivery_is_rerun():
    # The engine fails before a token was delivered. The caller gets one complete answer, from a
    # second generation.
    recovery = Recovery(RecoveryBudget(), 0, 10)
    check.assertIs(recovery.decide(1, Failure.MISSING, SessionProgress(True, 0)), Step.RERUN)


def test_generation_lost_after_delivery_is_never_rerun():
    # The engine fails when the reader has half of the answer. A second generation would differ
    # from it, so the loss is reported to the reader at once.
    recovery = Recovery(RecoveryBudget(), 0, 10)
    check.assertIs(recovery.decide(1, Failure.MISSING, SessionProgress(True, 3)), Step.LOST)


def test_broken_connection_is_resumed_within_the_budget():
    recovery = Recovery(RecoveryBudget(resumes=2), 0, 10)
    steps = [recovery.decide(1, Failure.BROKEN, SessionProgress(True, 3)) for _ in range(3)]
    check.assertEqual(steps, [Step.RESUME, Step.RESUME, Step.LOST])


def test_session_id_opens_with_any_key_and_a_forged_one_is_refused():
    old, new = SessionIdCipher.new_key(), SessionIdCipher.new_key()
    ref = SessionRef(
        AccountId("a"), InstanceId("i"), ServiceName("s"), RunnerId("r"), GenerationId("g")
    )
    text = SessionIdCipher([old]).seal(ref)
    check.assertEqual(SessionIdCipher([new, old]).open(text), ref)
    with check.assertRaises(InvalidSessionId):
        SessionIdCipher([new]).open(text)
    with check.assertRaises(InvalidSessionId):
        SessionIdCipher([old]).open(text[:-4] + "AAAA")
