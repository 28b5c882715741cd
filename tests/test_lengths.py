"""Tests of the length model: what it learns from ended and running sessions, and what it shares."""

import random

from hypothesis import given
from hypothesis import strategies as st

from egretstack.lengths import (
    BUCKETS,
    EDGES,
    MAX_SUMMARY_BYTES,
    LengthKey,
    LengthModel,
    SurvivalCurve,
    bucket_index,
    pack_summary,
    unpack_summary,
)
from tests.support import check, tests_of

load_tests = tests_of(globals())

KEY = LengthKey("llm", "story", "acme", "p1")


def trained_model(count=400, seed=1, key=KEY, mean=6.0):
    model = LengthModel()
    rng = random.Random(seed)
    for _ in range(count):
        model.record_finished(key, 0, max(1, int(rng.lognormvariate(mean, 1.0))))
    return model


@given(st.integers(1, 10**6))
def test_a_length_lies_in_its_bucket(tokens):
    bucket = bucket_index(tokens)
    check.assertLessEqual(EDGES[bucket], tokens)
    if bucket + 1 < BUCKETS:
        check.assertLess(tokens, EDGES[bucket + 1])


@given(st.lists(st.floats(0, 1), min_size=BUCKETS, max_size=BUCKETS), st.floats(0, 1e5))
def test_survival_never_increases(hazards, tokens):
    curve = SurvivalCurve(hazards)
    check.assertLessEqual(curve.log_survival(tokens + 10), curve.log_survival(tokens) + 1e-9)
    check.assertLessEqual(curve.excess_survival(tokens), 1.0)


def test_quantiles_match_the_sampled_lengths():
    curve = trained_model().curve(KEY)
    rng = random.Random(2)
    lengths = [int(rng.lognormvariate(6.0, 1.0)) for _ in range(4000)]
    for share in (0.5, 0.9):
        below = sum(length <= curve.quantile(share) for length in lengths) / len(lengths)
        check.assertAlmostEqual(below, share, delta=0.06)
    long = [length for length in lengths if length >= 800]
    below = sum(length <= curve.quantile(0.9, 800) for length in long) / len(long)
    check.assertAlmostEqual(below, 0.9, delta=0.06)


def test_running_sessions_are_evidence():
    # Every answer has passed 4000 tokens and none has ended yet. An estimate from ended sessions
    # alone would have no observations and forecast the prior.
    model = LengthModel()
    before = model.curve(KEY).conditional_survival(0, 2000)
    for _ in range(50):
        model.record_progress(KEY, 0, 4000)
    check.assertGreater(model.curve(KEY).conditional_survival(0, 2000), max(0.7, 3 * before))


def test_progress_in_small_steps_counts_each_bucket_once():
    stepwise, at_once = LengthModel(), LengthModel()
    for _ in range(30):
        for tokens in range(1, 600):
            stepwise.record_progress(KEY, tokens - 1, tokens)
        stepwise.record_finished(KEY, 599, 600)
        at_once.record_finished(KEY, 0, 600)
    check.assertEqual(stepwise.summary().by_key[KEY].at_risk, at_once.summary().by_key[KEY].at_risk)


def test_a_new_account_starts_with_the_lengths_of_its_service():
    new_key = LengthKey("llm", "story", "newcomer", "p9")
    curve = trained_model().curve(new_key)
    check.assertAlmostEqual(curve.quantile(0.5), 400, delta=120)


def test_a_shift_of_lengths_is_learned():
    model = trained_model()
    rng = random.Random(3)
    for _ in range(600):
        model.record_finished(KEY, 0, max(1, int(rng.lognormvariate(7.0, 1.0))))
    check.assertAlmostEqual(model.curve(KEY).quantile(0.5), 1097, delta=250)


def test_summaries_merge_and_are_bounded():
    local, remote = LengthModel(), trained_model()
    packed = pack_summary(remote.summary())
    check.assertLessEqual(len(packed), MAX_SUMMARY_BYTES)
    for _ in range(3):
        local.set_summary("entry-2", unpack_summary(packed))
    expected = remote.curve(KEY).quantile(0.9)
    check.assertAlmostEqual(local.curve(KEY).quantile(0.9), expected, delta=0.1 * expected)
    large = LengthModel()
    for number in range(500):
        large.record_finished(
            LengthKey("s" * 63, "m" * 63, "a" * 120 + str(number), "p"), 0, 20_000
        )
    check.assertLessEqual(len(pack_summary(large.summary())), MAX_SUMMARY_BYTES)


@given(st.binary(max_size=200))
def test_a_malformed_summary_is_a_value_error(packed):
    try:
        unpack_summary(packed)
    except ValueError:
        return


def test_an_invalid_or_oversized_summary_is_rejected():
    import msgpack

    valid = pack_summary(trained_model().summary())
    for change in ({4: [10**6] * BUCKETS}, {4: [1]}, {0: 7}, {5: [300] * BUCKETS}):
        rows = msgpack.unpackb(valid)
        for column, value in change.items():
            rows[0][column] = value
        check.assertRaises(ValueError, unpack_summary, msgpack.packb(rows))
    rows = [
        ["s" * 200, "m" * 200, str(number), *msgpack.unpackb(valid)[0][3:]] for number in range(60)
    ]
    oversized = msgpack.packb(rows)
    check.assertGreater(len(oversized), MAX_SUMMARY_BYTES)
    check.assertRaises(ValueError, unpack_summary, oversized)
