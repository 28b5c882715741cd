"""Short runs of the soak test with fixed seeds, which include those that once broke a promise."""

from tests.soak.scenario import run_seed
from tests.support import check, tests_of

load_tests = tests_of(globals())

SECONDS = 6.0
SEEDS = (1, 2)
MAX_SHOWN_CHARS = 6_000
"""Characters of each process's log that a failure shows."""


def test_promises_hold_under_overlapping_faults():
    # Overlapping faults: entries are killed, paused, stopped and made to reload their settings;
    # links to the store and the runners are cut, silenced and reset; runners leave, crash and come
    # back; the configuration changes. No request runs twice that may not, no client is told "not
    # run" of a request that ran or gets another client's answer, and streams have no gap and no
    # false end.
    for seed in SEEDS:
        outcome = run_seed(seed, SECONDS)
        logs = "\n".join(log[-MAX_SHOWN_CHARS:] for log in outcome.logs)
        check.assertEqual(outcome.broken, (), f"seed {seed}\n{logs}")
        check.assertGreater(outcome.checked, 50)
