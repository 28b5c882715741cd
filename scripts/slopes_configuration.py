"""Measures the cost of a configuration change; prints JSON lines.

Run: PYTHONPATH=. .venv/bin/python scripts/slopes_configuration.py

- `bytes`: encoded size of each way to send one change, with 700 contracts.
- `cpu`: processor microseconds of each step of one change on one instance.
- `fan_out`: updates sent by the busiest steward and depth of the tree, by fleet size and width.
- `in_force`: seconds of simulated time until a change is in force, bytes and messages between
  stewards for each change and each steward, and calls to the platform. The objects are those of
  the product; links between them are function calls with a delay in each direction.
- `head_update`: retries of the conditional update of the head at several rates of changes.
"""

import json
import random
import sys
import time
from dataclasses import replace
from statistics import median

import trio
import trio.testing

from egretstack.configuration import (
    ApplyConflict,
    Change,
    ConfigAsk,
    ConfigNews,
    ConfigurationState,
    ConfigurationStore,
    Delta,
    FanOut,
    Head,
    Snapshot,
    delta_message,
    parse_delta,
    part_digest,
    snapshot_piece,
)
from egretstack.configuration._head_object import HeadObject
from egretstack.ids import ChangeId, InstanceId, Revision, ZoneName
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState, PlatformAway
from egretstack.peers import encode
from standins.object_store import InProcessObjectApi, ObjectStore

CONTRACTS = 700
CHANGES_A_DAY = 5100
DAY_S = 86_400
LINK_DELAY_S = 0.04
"""One-way delay between stewards, as between distant regions."""

SEED = 7
IP_AND_TCP_BYTES = 52


def make_contract(name: str, mark: int) -> dict[str, dict[str, str]]:
    """Make a contract of about 1 KB."""
    digests = ",".join(f"{mark + place:064x}" for place in range(14))
    return {"contract": {"account": name, "key_sha256": digests}}


def make_snapshot() -> Snapshot:
    """Make a snapshot of 700 contracts with 256 recent changes."""
    names = [f"account-{number}" for number in range(CONTRACTS)]
    sections = {f"contract.{name}": make_contract(name, 1) for name in names}
    digests = {part: part_digest(one) for part, one in sections.items()}
    ids = tuple(ChangeId(f"{number:016x}") for number in range(256))
    return Snapshot(Head(Revision(256), ids[-1], digests, ids), sections)


def with_change(snapshot: Snapshot, number: int) -> Snapshot:
    """Return the next revision, with one contract changed."""
    name = f"account-{number % CONTRACTS}"
    part = f"contract.{name}"
    sections = snapshot.sections_by_part | {part: make_contract(name, number + 1000)}
    digests = snapshot.head.digest_by_part | {part: part_digest(sections[part])}
    change = ChangeId(f"{number + 10_000:016x}")
    recent = (*snapshot.head.recent, change)[-256:]
    head = Head(Revision(snapshot.head.revision + 1), change, digests, recent)
    return Snapshot(head, sections)


def print_figures(what: str, **figures: object) -> None:
    """Print one JSON line."""
    print(json.dumps({"what": what} | figures))
    sys.stdout.flush()


def measure_bytes() -> None:
    """Print the encoded size of each way to send a change."""
    first = make_snapshot()
    state = ConfigurationState()
    state.offer(first)
    state.offer(with_change(first, 0))
    delta = len(encode(delta_message(state.delta_since(first.head.revision, first.head.change_id))))
    snapshot = sum(len(json.dumps(one)) for one in first.sections_by_part.values())
    head_object = HeadObject(first.head.revision, first.head.change_id, "0" * 16)
    since = dict(list(first.head.digest_by_part.items())[:63])
    head_object = replace(
        head_object, since=since, inline={"contract.account-1": make_contract("a", 1)}
    )
    head = len(json.dumps(replace(head_object, recent=first.head.recent).to_spec()))
    manifest = len(json.dumps(first.head.digest_by_part))
    per_day = CHANGES_A_DAY / DAY_S
    print_figures(
        "bytes",
        delta=delta,
        news=len(encode(ConfigNews("instance-417", 5000))),
        ask=len(encode(ConfigAsk(5000, "0" * 16))),
        first_piece=len(encode(snapshot_piece(first, ""))),
        snapshot=snapshot,
        largest_head=head,
        manifest=manifest,
        delta_bytes_a_second=round(delta * per_day, 1),
        head_bytes_a_second=round(head * per_day, 1),
        snapshot_bytes_a_second=round(snapshot * per_day, 1),
    )


def measure_cpu(rounds: int = 200) -> None:
    """Print the processor time of one change on one instance."""
    sender, receiver, starting = (ConfigurationState() for _ in range(3))
    snapshot = make_snapshot()
    for state in (sender, receiver):
        state.offer(snapshot)
    durations_by_step: dict[str, list[float]] = {
        "make_delta": [],
        "apply_delta": [],
        "read_all_parts": [],
    }
    for number in range(rounds):
        base = snapshot.head
        snapshot = with_change(snapshot, number)
        sender.offer(snapshot)
        start = time.process_time()
        delta = sender.delta_since(base.revision, base.change_id)
        made = time.process_time()
        receiver.offer_delta(parse_delta(delta_message(delta)))
        applied = time.process_time()
        durations_by_step["make_delta"].append(made - start)
        durations_by_step["apply_delta"].append(applied - made)
    for _ in range(5):
        starting = ConfigurationState()
        start = time.process_time()
        starting.offer(snapshot)
        durations_by_step["read_all_parts"].append(time.process_time() - start)
    micros = {name: round(median(values) * 1e6) for name, values in durations_by_step.items()}
    print_figures("cpu", contracts=CONTRACTS, **{f"{name}_us": one for name, one in micros.items()})


def make_members(count: int) -> list[Member]:
    """Make the stewards of a fleet in ten availability zones."""
    return [
        Member(
            f"i-{number}",
            ENTRY_SERVICE,
            ZoneName(f"z{number % 10}"),
            "10.0.0.1",
            {"steward": 1},
            MemberState.LIVE,
        )
        for number in range(count)
    ]


def measure_fan_out() -> None:
    """Print how many updates the busiest steward sends, and the depth of the tree."""
    for count in (20, 80, 420):
        for width in (2, 4, 8, 16):
            listed = make_members(count)
            start = time.process_time()
            children = {}
            for one in listed:
                fan_out = FanOut(InstanceId(one.id), width)
                fan_out.update(listed)
                children[one.id] = [child.id for child in fan_out.children]
            cpu_us = (time.process_time() - start) / count * 1e6
            reached, levels = {fan_out.watchers[0]}, 0
            while len(reached) < count:
                reached |= {child for one in reached for child in children[one]}
                levels += 1
            print_figures(
                "fan_out",
                stewards=count,
                width=width,
                news_of_the_busiest=max(map(len, children.values())),
                news_on_average=round(sum(map(len, children.values())) / count, 2),
                levels=levels,
                update_us=round(cpu_us),
            )


class Steward:
    """A steward's state and fan-out tree; its links are function calls with a delay."""

    def __init__(self, member: Member, fleet: "StewardFleet", width: int) -> None:
        self.id = InstanceId(member.id)
        self.state = ConfigurationState()
        self.fan_out = FanOut(self.id, width)
        self.sent_bytes = 0
        self.messages = 0
        self._fleet = fleet

    def count_message(self, message: object) -> None:
        """Count a sent message and its bytes."""
        self.messages += 1
        self.sent_bytes += len(encode(message)) + IP_AND_TCP_BYTES

    async def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot that a watch reported."""
        self.state.offer(snapshot)
        self.notify_children()

    def notify_children(self) -> None:
        """Send the new revision to the children."""
        for child in self.fan_out.children:
            news = ConfigNews(self.id, self.state.revision)
            self.count_message(news)
            self._fleet.nursery.start_soon(self._fleet.steward_by_id[child.id].on_news, self, news)

    async def on_news(self, sender: "Steward", news: ConfigNews) -> None:
        """Request the changes from the sender if its revision is newer, and apply them."""
        await trio.sleep(LINK_DELAY_S)
        if news.revision <= self.state.revision:
            return
        request = ConfigAsk(self.state.revision, self.state.change_id)
        self.count_message(request)
        await trio.sleep(LINK_DELAY_S)
        delta = sender.state.delta_since(request.revision, request.change_id)
        if not isinstance(delta, Delta):
            return
        sender.count_message(delta_message(delta))
        await trio.sleep(LINK_DELAY_S)
        before = self.state.revision
        self.state.offer_delta(delta)
        if self.state.revision > before:
            self.notify_children()


class StewardFleet:
    """The stewards of a fleet as objects on a mock clock."""

    def __init__(self, count: int, width: int, nursery: trio.Nursery) -> None:
        listed = make_members(count)
        self.nursery = nursery
        self.steward_by_id = {one.id: Steward(one, self, width) for one in listed}
        for one in self.steward_by_id.values():
            one.fan_out.update(listed)


async def measure_in_force(count: int, width: int, changes: int = 5) -> None:
    """Print the time until a change is in force, and its cost for each steward."""
    async with trio.open_nursery() as nursery:
        fleet = StewardFleet(count, width, nursery)
        snapshot = make_snapshot()
        for one in fleet.steward_by_id.values():
            one.state.offer(snapshot)
        roots = next(iter(fleet.steward_by_id.values())).fan_out.watchers
        durations_s = []
        for number in range(changes):
            snapshot = with_change(snapshot, number)
            start_s = trio.current_time()
            for root in roots:
                nursery.start_soon(fleet.steward_by_id[root].apply_snapshot, snapshot)
            while any(
                one.state.revision < snapshot.head.revision for one in fleet.steward_by_id.values()
            ):
                await trio.sleep(0.01)
            durations_s.append(trio.current_time() - start_s)
            await trio.sleep(2)
        nursery.cancel_scope.cancel()
    stewards = fleet.steward_by_id.values()
    rate = CHANGES_A_DAY / DAY_S
    print_figures(
        "in_force",
        stewards=count,
        width=width,
        one_way_ms=LINK_DELAY_S * 1000,
        seconds=round(max(durations_s), 2),
        bytes_a_change=round(sum(one.sent_bytes for one in stewards) / count / changes),
        bytes_a_change_of_the_busiest=round(max(one.sent_bytes for one in stewards) / changes),
        messages_a_change=round(sum(one.messages for one in stewards) / count / changes, 1),
        bytes_a_second_of_the_busiest=round(
            max(one.sent_bytes for one in stewards) / changes * rate, 1
        ),
    )


async def measure_head_update(per_day: int, latency_s: float, changes: int = 200) -> None:
    """Print how often updates of the head conflict when changes arrive at random times."""
    store = ObjectStore()
    store.faults.delay_s = latency_s
    operators = ConfigurationStore(InProcessObjectApi(store))
    rng = random.Random(SEED)
    durations_s: list[float] = []
    refused = 0

    async def accept(number: int) -> None:
        nonlocal refused
        name = f"account-{rng.randrange(CONTRACTS)}"
        part = f"contract.{name}"
        head = await operators.head()
        expected = None if head is None else head.digest_by_part.get(part)
        change = Change(
            ChangeId(str(number)), {part: make_contract(name, number)}, {part: expected}
        )
        start_s = trio.current_time()
        try:
            await operators.apply(change)
            durations_s.append(trio.current_time() - start_s)
        except (ApplyConflict, PlatformAway):
            refused += 1

    async with trio.open_nursery() as nursery:
        for number in range(changes):
            nursery.start_soon(accept, number)
            await trio.sleep(rng.expovariate(per_day / DAY_S))
    updates = sum(
        n
        for (verb, kind), n in store.calls.items()
        if kind.value == "configheads" and verb in ("replace", "create")
    )
    print_figures(
        "head_update",
        changes_a_day=per_day,
        latency_ms=latency_s * 1000,
        accepted=len(durations_s),
        not_accepted=refused,
        retries_a_change=round((updates - len(durations_s)) / max(1, len(durations_s)), 4),
        slowest_s=round(max(durations_s), 3),
    )


def main() -> None:
    """Run all measurements."""
    measure_bytes()
    measure_cpu()
    measure_fan_out()
    for count in (5, 20, 80, 320):
        for width in (4, 8):
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(measure_in_force, count, width, clock=clock)
    for per_day in (CHANGES_A_DAY, 10 * CHANGES_A_DAY, 100 * CHANGES_A_DAY):
        for latency_s in (0.005, 0.1):
            trio.run(
                measure_head_update,
                per_day,
                latency_s,
                clock=trio.testing.MockClock(autojump_threshold=0),
            )


if __name__ == "__main__":
    main()
