"""Limits under random demand, cuts, kills and pauses: the stated bounds always hold."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egretstack.limits import WARM_UP_S
from egretstack.limits._timing import HOLD_TTL_S
from tests.limits_fleet import Fleet, contract, required_burst
from tests.support import check, tests_of

load_tests = tests_of(globals())

MAX_HOLD_S = 4.0
ROUNDING = 0.01

CONTRACTS = st.builds(
    contract,
    rate=st.sampled_from([0.5, 3.0, 20.0, 200.0]),
    burst=st.integers(1, 30),
    concurrency=st.integers(1, 30),
)
FAULTS = st.lists(
    st.sampled_from(["cut", "cut-one-way", "cut-off", "kill", "kill-home", "freeze", "lag"]),
    min_size=1,
    max_size=3,
)


class Demand:
    """Requests at random nodes at an intensity that changes every few seconds."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.peak_open = 0
        self._intensities = []

    def __call__(self):
        if self.fleet.steps % 40 == 0 or not self._intensities:
            self._intensities = [
                self.rng.choice((0, 0, 0.05, 0.3, 3)) for _ in self.fleet.node_by_name
            ]
        for node, intensity in zip(self.fleet.nodes(), self._intensities, strict=True):
            count = int(intensity) + (self.rng.random() < intensity % 1)
            for _ in range(count):
                self.fleet.request(node, hold_s=self.rng.choice((0, 0.2, 1, MAX_HOLD_S)))
        self.peak_open = max(self.peak_open, self.fleet.open_total())


@settings(max_examples=25, deadline=None, derandomize=True)
@given(acme=CONTRACTS, count=st.integers(1, 7), seed=st.integers(0, 10**6))
def test_a_whole_fleet_never_exceeds_a_contract(acme, count, seed):
    fleet = Fleet(count, [acme])
    demand = Demand(fleet, seed)
    fleet.run(25, demand)
    check.assertLessEqual(demand.peak_open, acme.concurrency)
    times = [time for time, _, _ in fleet.admitted]
    burst = required_burst(times, acme.requests_per_s)
    check.assertLessEqual(burst, acme.burst + ROUNDING)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(acme=CONTRACTS, faults=FAULTS, seed=st.integers(0, 10**6))
def test_faults_never_exceed_the_bound_and_the_contract_holds_again_after_them(acme, faults, seed):
    # Each fault may hide grants of one whole contract from the home; the conservative shares add
    # one more. When all faults are repaired and the fleet has settled, the contract holds.
    fleet = Fleet(6, [acme])
    demand = Demand(fleet, seed)
    fleet.run(5, demand)
    for fault in faults:
        inject(fleet, fault, demand.rng)
        fleet.run(4, demand)
        if demand.rng.random() < 0.7:
            fleet.refresh_views()
        fleet.run(4, demand)
    check.assertLessEqual(demand.peak_open, (2 + len(faults)) * acme.concurrency)
    repair(fleet)
    fleet.run(WARM_UP_S + HOLD_TTL_S + MAX_HOLD_S, demand)
    demand.peak_open = 0
    fleet.admitted.clear()
    fleet.run(10, demand)
    check.assertLessEqual(demand.peak_open, acme.concurrency)
    times = [time for time, _, _ in fleet.admitted]
    burst = required_burst(times, acme.requests_per_s)
    check.assertLessEqual(burst, acme.burst + ROUNDING)


def inject(fleet, fault, rng):
    """Inject one fault."""
    running = [node for node in fleet.nodes() if node.alive]
    some = rng.sample(running, max(1, len(running) // 3))
    rest = [node for node in running if node not in some]
    if fault == "cut":
        fleet.cut(some, rest)
    elif fault == "cut-one-way":
        fleet.cut(some, rest, both=False)
    elif fault == "cut-off":
        fleet.cut([fleet.home_of("acme", running[0])], fleet.nodes())
    elif fault == "freeze":
        some[0].paused = True
    elif fault == "lag":
        fleet.set_view(some[0], [node.name for node in rest])
    elif len(running) > 2:
        fleet.kill(some[0] if fault == "kill" else fleet.home_of("acme", running[0]))


def repair(fleet):
    """End every fault except kills."""
    fleet.cuts.clear()
    for node in fleet.nodes():
        node.paused = False
    fleet.refresh_views()
