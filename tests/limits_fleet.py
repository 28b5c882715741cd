"""Entries and homes of one small fleet in simulated time, with cuts, deaths and freezes.

Only the pure classes run here. Messages pass through the real codec and arrive one step later,
or never. Each node has its own view of who is live.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import msgpack

from egretstack.contracts import Contract, read_contract
from egretstack.errors import EgretError
from egretstack.ids import AccountId, InstanceId, ZoneName
from egretstack.limits import (
    MAX_READY_WAIT_S,
    QUERY_TIMEOUT_S,
    EntryLimiter,
    HomeLocator,
    HomeQuery,
    LimitsHome,
)
from egretstack.peers import decode, encode

STEP_S = 0.05
BEAT_STEPS = 5
ZONES = 3


def contract(account="acme", rate=10.0, burst=20, concurrency=50) -> Contract:
    """Give a contract with these limits."""
    sections = {
        "contract": {"account": account, "key_sha256": "f" * 64},
        "limits": {
            "requests_per_s": str(rate),
            "burst": str(burst),
            "concurrency": str(concurrency),
        },
    }
    return read_contract(account, sections)


@dataclass
class Node:
    """One instance: its entry side, its home side, and what became of its requests."""

    name: InstanceId
    homes: HomeLocator
    entry: EntryLimiter
    home: LimitsHome
    contract_by_account: dict[AccountId, Contract]
    alive: bool = True
    paused: bool = False
    inbox: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    sent_messages: int = 0
    sent_bytes: int = 0


class Fleet:
    """Nodes that exchange messages; `admitted` holds (time, account, node) in order."""

    def __init__(self, count: int, contracts: Iterable[Contract], settle: bool = True) -> None:
        self.now = 0.0
        self.steps = 0
        self.cuts: set[tuple[str, str]] = set()
        self.admitted: list[tuple[float, str, str]] = []
        self.refused: list[tuple[float, str, EgretError]] = []
        self.contract_by_account = {one.account: one for one in contracts}
        self.node_by_name: dict[InstanceId, Node] = {}
        self._pending: list = []
        for number in range(count):
            self._add(InstanceId(f"entry-{number}"))
        self.refresh_views()
        if settle:
            self.run(10.0)

    def _add(self, name: InstanceId) -> None:
        homes = HomeLocator(self.now)
        self.node_by_name[name] = Node(
            name,
            homes,
            EntryLimiter(name, homes, self.now),
            LimitsHome(name, homes, self.now),
            dict(self.contract_by_account),
        )

    def nodes(self) -> list[Node]:
        """Give every node in order."""
        return list(self.node_by_name.values())

    def zone(self, name: InstanceId) -> ZoneName:
        """Give the zone of a node."""
        return ZoneName(f"zone-{int(name.partition('-')[2]) % ZONES}")

    def set_view(self, node: Node, live: Iterable[InstanceId]) -> None:
        """Change a node's view of who is live."""
        node.homes.update_view(self.now, {name: self.zone(name) for name in sorted(live)})

    def refresh_views(self) -> None:
        """Give every running node the true view."""
        live = [node.name for node in self.nodes() if node.alive]
        for node in self.nodes():
            if node.alive and not node.paused:
                self.set_view(node, live)

    def home_of(self, account: str, asker: Node | None = None) -> Node:
        """Give the home of an account in a node's view."""
        asker = asker or next(node for node in self.nodes() if node.alive)
        return self.node_by_name[asker.homes.home(AccountId(account))]

    def others(self, node: Node) -> list[Node]:
        """Give every other node."""
        return [one for one in self.nodes() if one is not node]

    def cut(self, side: Iterable[Node], other: Iterable[Node], both: bool = True) -> None:
        """Cut the ways from one side to another."""
        others = list(other)
        for one in side:
            for two in others:
                self.cuts.add((one.name, two.name))
                if both:
                    self.cuts.add((two.name, one.name))

    def kill(self, node: Node) -> None:
        """End a node at once, with its requests."""
        node.alive = False
        node.ends.clear()
        node.waiting.clear()
        node.inbox.clear()

    def open_total(self, account: str = "acme") -> int:
        """Count the open requests of an account at every node that lives."""
        return sum(1 for node in self.nodes() for end in node.ends if end[1] == account)

    def request(self, node: Node, account: str = "acme", hold_s: float = 0.0) -> None:
        """Let a caller send a request that stays open for a time."""
        if node.alive and not node.paused:
            node.waiting.append([self.now + MAX_READY_WAIT_S, account, hold_s, False])

    def run(self, seconds: float, each_step=None) -> None:
        """Let time pass; `each_step` is called before every step."""
        for _ in range(round(seconds / STEP_S)):
            if each_step is not None:
                each_step()
            self._step()

    def _step(self) -> None:
        self.steps += 1
        self.now = round(self.steps * STEP_S, 6)
        for node in self.nodes():
            if node.alive and not node.paused:
                self._step_node(node)
        self._time_out()

    def _step_node(self, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        for deliver in inbox:
            deliver()
        self._end_requests(node)
        self._decide(node)
        beat = self.steps % BEAT_STEPS == 0
        if beat:
            node.home.tick(self.now)
        if beat or node.waiting:
            for ask in node.entry.due_queries(self.now):
                self._send(node, ask)

    def _end_requests(self, node: Node) -> None:
        ended = [end for end in node.ends if end[0] <= self.now]
        if ended:
            node.ends = [end for end in node.ends if end[0] > self.now]
            for _, account in ended:
                node.entry.close(self.now, account)

    def _decide(self, node: Node) -> None:
        waiting, node.waiting = node.waiting, []
        for request in waiting:
            deadline, account, hold_s, counted = request
            known = node.contract_by_account.get(account)
            if known is None:
                continue
            if counted:
                node.entry.count_waiting(account, -1)
            if node.entry.should_wait(self.now, known):
                if self.now < deadline:
                    node.entry.count_waiting(account, 1)
                    node.waiting.append([deadline, account, hold_s, True])
                    continue
                node.entry.on_wait_timeout(self.now, account)
            self._open(node, known, hold_s)

    def _open(self, node: Node, known: Contract, hold_s: float) -> None:
        try:
            node.entry.open(self.now, known)
        except EgretError as error:
            self.refused.append((self.now, node.name, error))
            return
        self.admitted.append((self.now, known.account, node.name))
        node.ends.append((self.now + hold_s, known.account))

    def _send(self, node: Node, ask: HomeQuery) -> None:
        home = self.node_by_name[ask.home]
        if home is node:
            answer = home.home.answer(self.now, node.name, ask.message, home.contract_by_account)
            node.entry.on_answer(self.now, ask, answer)
            return
        flight = [self.now + QUERY_TIMEOUT_S, node, ask, False]
        self._pending.append(flight)
        message = self._over_wire(node, ask.message)
        if (node.name, home.name) not in self.cuts and home.alive:
            home.inbox.append(lambda: self._receive(home, node, flight, message))

    def _receive(self, home: Node, node: Node, flight: list, message) -> None:
        answer = home.home.answer(self.now, node.name, message, home.contract_by_account)
        back = self._over_wire(home, answer)
        if (home.name, node.name) not in self.cuts and node.alive:
            node.inbox.append(lambda: self._deliver(node, flight, back))

    def _deliver(self, node: Node, flight: list, answer) -> None:
        if not flight[3]:
            flight[3] = True
            node.entry.on_answer(self.now, flight[2], answer)

    def _time_out(self) -> None:
        for flight in self._pending:
            node = flight[1]
            runs = node.alive and not node.paused
            if not flight[3] and self.now >= flight[0] and runs:
                flight[3] = True
                node.entry.on_failure(self.now, flight[2])
        self._pending = [flight for flight in self._pending if not flight[3] and flight[1].alive]

    @staticmethod
    def _over_wire(node: Node, message):
        body = encode(message)
        node.sent_messages += 1
        node.sent_bytes += len(body)
        return decode(msgpack.unpackb(body))

    def change_contract(self, changed: Contract, nodes: Iterable[Node] | None = None) -> None:
        """Put another contract in force on some nodes, or on all."""
        for node in nodes if nodes is not None else self.nodes():
            node.contract_by_account[changed.account] = replace(changed)


def required_burst(times: list[float], rate: float) -> float:
    """Give the least burst with which a token bucket of `rate` lets all these times pass."""
    level = most = 0.0
    last = times[0] if times else 0.0
    for time in times:
        level = max(0.0, level - (time - last) * rate) + 1
        last = time
        most = max(most, level)
    return most
