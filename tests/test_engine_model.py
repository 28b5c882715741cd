"""The engine model: prefill delays the whole batch, and memory is never exceeded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.replay import EngineModel, EngineParameters, OutputKind
from tests.support import check, tests_of

load_tests = tests_of(globals())

PARAMETERS = EngineParameters(
    kv_capacity_tokens=1000,
    max_batch=8,
    step_base_s=0.02,
    step_per_sequence_s=0.0,
    prefill_tokens_per_s=1000,
    prefill_step_tokens=500,
)


def run_steps(model, until=None):
    """Step until idle, or until a time; return the kind and time of each output by generation."""
    times = {}
    while (at_s := model.next_step_s()) is not None and (until is None or at_s <= until):
        for output in model.step(at_s):
            times.setdefault(output.generation, []).append((output.kind, at_s))
    return times


def submit(model, name, prompt, output, now_s=0.0, **more):
    model.submit(now_s, name, prompt_tokens=prompt, output_tokens=output, **more)


def test_the_first_token_comes_after_prefill():
    model = EngineModel(PARAMETERS)
    submit(model, "a", 400, 2)
    times = [at_s for _, at_s in run_steps(model)["a"]]
    check.assertAlmostEqual(times[0], 0.42)
    check.assertAlmostEqual(times[1], 0.44)


def test_prefill_of_a_prompt_stalls_the_whole_batch():
    model = EngineModel(PARAMETERS)
    submit(model, "a", 1, 3)
    first_s = model.next_step_s()
    submit(model, "b", 300, 1)
    tokens = [at_s for kind, at_s in run_steps(model)["a"] if kind is OutputKind.TOKEN]
    check.assertAlmostEqual(tokens[0], first_s)
    check.assertAlmostEqual(tokens[1] - tokens[0], 0.02 + 0.3)
    check.assertAlmostEqual(tokens[2] - tokens[1], 0.02)


def test_a_long_prompt_is_prefilled_over_several_steps():
    model = EngineModel(PARAMETERS)
    submit(model, "a", 800, 1)
    check.assertAlmostEqual(model.next_step_s(), 0.52)
    check.assertEqual(model.step(0.52), [])
    check.assertAlmostEqual(run_steps(model)["a"][0][1], 0.84)


def test_a_cached_prefix_is_not_prefilled_again():
    model = EngineModel(PARAMETERS)
    submit(model, "a", 400, 1, prefix="p")
    run_steps(model)
    submit(model, "b", 400, 1, now_s=10.0, prefix="p")
    check.assertAlmostEqual(run_steps(model)["b"][0][1] - 10.0, 0.02 + 0.4 * 0.3)


def test_the_lowest_priority_is_preempted_and_prefilled_again():
    model = EngineModel(PARAMETERS)
    submit(model, "high", 450, 100, priority=2)
    submit(model, "low", 450, 100, priority=1)
    outputs = run_steps(model)
    kinds = [kind for kind, _ in outputs["low"]]
    check.assertIn(OutputKind.PREEMPTED, kinds)
    check.assertNotIn(OutputKind.PREEMPTED, [kind for kind, _ in outputs["high"]])
    check.assertEqual(kinds.count(OutputKind.TOKEN), 100)
    preempted_at = kinds.index(OutputKind.PREEMPTED)
    gap_s = outputs["low"][preempted_at + 1][1] - outputs["low"][preempted_at - 1][1]
    check.assertGreater(gap_s, 0.45)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(1, 900), st.integers(1, 300), st.integers(0, 2), st.booleans()),
        min_size=1,
        max_size=12,
    )
)
def test_memory_is_never_overdrawn_and_every_token_comes_once(rows):
    model = EngineModel(PARAMETERS)
    kept = {}
    for number, (prompt, output, priority, cancelled) in enumerate(rows):
        submit(model, str(number), prompt, output, priority=priority)
        if cancelled:
            model.cancel(str(number))
        else:
            kept[str(number)] = output
    tokens = dict.fromkeys(kept, 0)
    while (at_s := model.next_step_s()) is not None:
        for output in model.step(at_s):
            tokens[output.generation] += output.kind is OutputKind.TOKEN
        alone = model.report(at_s + 10).running <= 1
        check.assertTrue(alone or model.kv_used_tokens() <= PARAMETERS.kv_capacity_tokens)
    check.assertEqual(tokens, kept)
    check.assertEqual(model.kv_used_tokens(), 0)
