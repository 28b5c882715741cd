"""Random histories of several entries, one store with faults, and one upstream.

Entries write one shard. Writes get lost, lose their answers, or arrive late, and entries pause,
resume and die. After every step no key has run twice, and no attempt has run whose caller was told
"not run". At the end the faults stop, and every repeat gets a final answer within a bounded number
of tries.
"""

from dataclasses import dataclass, field
from math import inf

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from egretstack.ledger import (
    AttemptRegistry,
    CallState,
    NextAction,
    Operation,
    OperationKind,
    Outcome,
    ShardWriter,
    Stage,
    next_action,
)
from tests.ledger_support import FaultyStore, begin
from tests.support import check, tests_of

load_tests = tests_of(globals())

KEYS = ("k0", "k1", "k2", "k3")
SMALL_ROLL_THRESHOLD_BYTES = 250
"""So small that ended rows often move into segments."""
MAX_SEND_AGE_S = 5.0
MAX_TRIES = 12
entry_numbers = st.integers(0, 2)
fault_names = st.sampled_from(["", "", "", "", "away", "lost-request", "lost-answer", "late"])


@dataclass
class Call:
    """One attempt at an entry."""

    name: str
    operation: Operation
    started_at_s: float
    is_sending: bool = False
    has_ended: bool = False
    finish: Operation | None = None

    @property
    def attempt(self):
        return self.operation.row.attempt


@dataclass
class Entry:
    """One process."""

    boot: str
    writer: ShardWriter = field(default_factory=lambda: ShardWriter(SMALL_ROLL_THRESHOLD_BYTES))
    calls: list[Call] = field(default_factory=list)
    is_paused: bool = False
    is_dead: bool = False

    def __post_init__(self):
        self.attempts = AttemptRegistry(self.boot, 1000)


class Upstream:
    """Runs calls; with `checks_fencing` it refuses old fencing numbers, and look-ups fence too."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.ran_by_key = {}
        self.fence_by_key = {}

    def run(self, call):
        """Run a call; return False if it is fenced off."""
        number = call.operation.row.fence
        if self.checks_fencing and number < self.fence_by_key.get(call.name, 0):
            return False
        self.fence_by_key[call.name] = max(number, self.fence_by_key.get(call.name, 0))
        self.ran_by_key.setdefault(call.name, []).append(call.attempt)
        return True

    def look_up(self, name, number):
        """Return whether a key ran; None if the number is old."""
        if self.checks_fencing:
            if number < self.fence_by_key.get(name, 0):
                return None
            self.fence_by_key[name] = number
        return name in self.ran_by_key


class LedgerMachine(RuleBasedStateMachine):
    """The rules; `checks_fencing` and `has_lookup` say what the upstream offers."""

    checks_fencing = False
    has_lookup = False
    writer_class = ShardWriter

    def __init__(self):
        super().__init__()
        self.store = FaultyStore()
        self.upstream = Upstream(self.checks_fencing)
        self.entries = [self.new_entry(f"boot-{number}") for number in range(3)]
        self.dead_entries = []
        self.attempt_count = 0
        self.now_s = 0.0
        self.reported_not_run = set()

    def new_entry(self, boot):
        return Entry(boot, self.writer_class(SMALL_ROLL_THRESHOLD_BYTES))

    @rule(number=entry_numbers, name=st.sampled_from(KEYS))
    def call(self, number, name):
        self.start(self.entries[number], name)

    @rule(number=entry_numbers, home=entry_numbers, name=st.sampled_from(KEYS))
    def call_through_home(self, number, home, name):
        """Request the intent's write of another entry, which does not answer, and write it here."""
        call = self.start(self.entries[number], name)
        call.operation.forwarded = True
        own = call.operation
        peer_operation = Operation(OperationKind.BEGIN, own.key, own.row, inf, for_peer=True)
        if home != number and not self.entries[home].is_paused:
            self.entries[home].writer.submit(peer_operation)

    @rule(number=entry_numbers, fault=fault_names)
    def step(self, number, fault):
        entry = self.entries[number]
        if entry.is_paused:
            return
        step = entry.writer.next_step(self.now_s)
        if step is not None:
            self.store.execute(entry.writer, step, fault)
        self.process_outcomes(entry)

    @rule(number=entry_numbers)
    def give_up(self, number):
        entry = self.entries[number]
        if not entry.is_paused:
            entry.writer.expire_begins(inf)
            self.process_outcomes(entry)

    @rule(number=entry_numbers, connects=st.booleans())
    def send(self, number, connects):
        entry = self.entries[number]
        for call in entry.calls:
            if not entry.is_paused and self.may_begin_sending(entry, call):
                if connects:
                    call.is_sending = True
                else:
                    self.release(entry, call)
                return

    @rule(number=entry_numbers, answered=st.booleans())
    def first_byte_leaves(self, number, answered):
        entry = self.entries[number]
        for call in entry.calls:
            if not entry.is_paused and call.is_sending:
                self.send_first_byte(entry, call, answered)
                return

    @rule(number=entry_numbers, paused=st.booleans())
    def pause_or_resume(self, number, paused):
        self.entries[number].is_paused = paused

    @rule(number=entry_numbers)
    def kill(self, number):
        self.dead_entries.append(self.entries[number])
        self.entries[number].is_dead = True
        self.entries[number] = self.new_entry(f"boot-{len(self.dead_entries) + 10}")

    @precondition(lambda self: self.store.delayed_writes)
    @rule(data=st.data())
    def late_write_arrives(self, data):
        self.store.deliver(data.draw(st.sampled_from(self.store.delayed_writes)))

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0, 60.0]))
    def time_passes(self, seconds):
        self.now_s += seconds

    @invariant()
    def each_key_ran_at_most_once(self):
        for name, attempts in self.upstream.ran_by_key.items():
            check.assertEqual(len(attempts), 1, name)

    @invariant()
    def nothing_reported_as_not_run_ran(self):
        ran = {attempt for attempts in self.upstream.ran_by_key.values() for attempt in attempts}
        check.assertEqual(ran & self.reported_not_run, set())

    def teardown(self):
        self.store.delayed_writes.clear()
        for entry in self.entries:
            entry.is_paused = False
            self.settle(entry)
        self.now_s += 600
        for name in KEYS:
            self.repeat_until_final(name)
        self.each_key_ran_at_most_once()
        self.nothing_reported_as_not_run_ran()

    def settle(self, entry):
        while True:
            self.store.run_until_idle(entry.writer, self.now_s)
            self.process_outcomes(entry)
            sendable = [
                call
                for call in entry.calls
                if call.is_sending or self.may_begin_sending(entry, call)
            ]
            for call in sendable:
                self.send_first_byte(entry, call, True)
            if not sendable and entry.writer.is_idle:
                return

    def repeat_until_final(self, name):
        entry = self.entries[0]
        for _ in range(MAX_TRIES):
            call = self.start(entry, name)
            self.settle(entry)
            found = call.operation.found
            is_final = call.operation.outcome is Outcome.WRITTEN and call.has_ended
            if is_final or found is not None and not found.is_open:
                return
            if found is not None and self.choose_action(found, name) is NextAction.UNKNOWN:
                return
        raise AssertionError(f"{name}: no final answer in {MAX_TRIES} tries")

    def start(self, entry, name, replaces=None):
        self.attempt_count += 1
        operation = begin(name, f"attempt-{self.attempt_count}", replaces, owner=entry.boot)
        call = Call(name, operation, self.now_s)
        if entry.is_paused:
            return call
        entry.attempts.begin(call.attempt)
        entry.calls.append(call)
        entry.writer.submit(operation)
        return call

    def process_outcomes(self, entry):
        """Process the outcomes that the writer has set."""
        for call in list(entry.calls):
            outcome = call.operation.outcome
            if outcome is Outcome.WRITTEN or outcome is None:
                continue
            entry.calls.remove(call)
            if outcome in (Outcome.REFUSED, Outcome.ABANDONED):
                self.reported_not_run.add(call.attempt)
                entry.attempts.abandon(call.attempt)
                continue
            entry.attempts.forget(call.attempt)
            found = call.operation.found
            if found.is_open and self.choose_action(found, call.name) is NextAction.REPLACE:
                self.start(entry, call.name, found.attempt)

    def choose_action(self, found, name):
        action = next_action(self.stage(found), found, self.now_s, self.has_lookup)
        if action is not NextAction.LOOK_UP:
            return action
        ran = self.upstream.look_up(name, found.fence + 1)
        if ran:
            return NextAction.UNKNOWN
        if ran is False and self.checks_fencing:
            return NextAction.REPLACE
        return next_action(self.stage(found), found, self.now_s, False)

    def stage(self, found):
        for entry in self.entries:
            if entry.boot == found.boot:
                return (
                    Stage.UNRESPONSIVE
                    if entry.is_paused
                    else entry.attempts.stage(found.boot, found.attempt)
                )
        return Stage.OWNER_ENDED

    def may_begin_sending(self, entry, call):
        written = call.operation.outcome is Outcome.WRITTEN
        if not written or call.is_sending or call.has_ended:
            return False
        if self.now_s - call.started_at_s <= MAX_SEND_AGE_S and entry.attempts.may_send(
            call.attempt
        ):
            return True
        self.release(entry, call)
        return False

    def release(self, entry, call):
        """End a call that was not sent."""
        call.has_ended = True
        entry.attempts.abandon(call.attempt)
        self.reported_not_run.add(call.attempt)
        self.end(entry, call, CallState.NOT_RUN)

    def send_first_byte(self, entry, call, answered):
        call.is_sending, call.has_ended = False, True
        if not self.upstream.run(call):
            entry.attempts.abandon(call.attempt)
            self.end(entry, call, CallState.NOT_RUN)
            return
        entry.attempts.end(call.attempt, answered)
        self.end(entry, call, CallState.DONE if answered else CallState.UNKNOWN)

    def end(self, entry, call, state):
        row = call.operation.row.with_outcome(state)
        call.finish = Operation(OperationKind.FINISH, call.operation.key, row, inf)
        entry.writer.submit(call.finish)


class CheckedMachine(LedgerMachine):
    """The upstream checks fencing numbers and offers a look-up."""

    checks_fencing = True
    has_lookup = True


class LookupMachine(LedgerMachine):
    """The upstream offers a look-up and checks nothing."""

    has_lookup = True


MACHINE_SETTINGS = settings(
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_an_upstream_that_checks_nothing():
    run_state_machine_as_test(LedgerMachine, settings=MACHINE_SETTINGS)


def test_an_upstream_that_checks_fencing_numbers_and_offers_a_look_up():
    run_state_machine_as_test(CheckedMachine, settings=MACHINE_SETTINGS)


def test_an_upstream_that_offers_a_look_up_alone():
    run_state_machine_as_test(LookupMachine, settings=MACHINE_SETTINGS)
