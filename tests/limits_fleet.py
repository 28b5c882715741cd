"""A small fleet of entries and limits homes in simulated time, with cuts, kills and pauses.

Only the classes without I/O run here. Messages pass through the real codec and arrive one step
later or never. Each node has its own view of the live instances.
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
TICK_STEPS = 5
ZONES = 3


def contract(account="acme", rate=10.0, burst=20, concurrency=50) -> Contract:
    """Return a contract with these limits."""
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
    """One instance: its entry limiter, its limits home and its requests."""

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
    """Nodes that exchange messages; `admitted` has (time, account, node) in order."""

    def __init__(self, count: int, contracts: Iterable[Contract], settle: bool = True) -> None:
        self.now = 0.0
        self.steps = 0
        self.cuts: set[tuple[str, str]] = set()
        self.admitted: list[tuple[float, str, str]] = []
        self.refused: list[tuple[float, str, EgretError]] = []
        self.contract_by_account = {contract.account: contract for contract in contracts}
        self.node_by_name: dict[InstanceId, Node] = {}
        self._queries_in_flight: list = []
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
        """Return all nodes in order."""
        return list(self.node_by_name.values())

    def zone(self, name: InstanceId) -> ZoneName:
        """Return the availability zone of a node."""
        return ZoneName(f"zone-{int(name.partition('-')[2]) % ZONES}")

    def set_view(self, node: Node, live: Iterable[InstanceId]) -> None:
        """Set a node's view of the live instances."""
        node.homes.update_view(self.now, {name: self.zone(name) for name in sorted(live)})

    def refresh_views(self) -> None:
        """Set the view of every running node to the actual live instances."""
        live = [node.name for node in self.nodes() if node.alive]
        for node in self.nodes():
            if node.alive and not node.paused:
                self.set_view(node, live)

    def home_of(self, account: str, viewer: Node | None = None) -> Node:
        """Return the home of an account in a node's view."""
        viewer = viewer or next(node for node in self.nodes() if node.alive)
        return self.node_by_name[viewer.homes.home(AccountId(account))]

    def others(self, node: Node) -> list[Node]:
        """Return all other nodes."""
        return [other for other in self.nodes() if other is not node]

    def cut(self, side: Iterable[Node], other: Iterable[Node], both: bool = True) -> None:
        """Drop all messages from one side to the other; with `both`, in both directions."""
        others = list(other)
        for left in side:
            for right in others:
                self.cuts.add((left.name, right.name))
                if both:
                    self.cuts.add((right.name, left.name))

    def kill(self, node: Node) -> None:
        """Kill a node with its requests."""
        node.alive = False
        node.ends.clear()
        node.waiting.clear()
        node.inbox.clear()

    def open_total(self, account: str = "acme") -> int:
        """Return the number of open requests of an account on all live nodes."""
        return sum(1 for node in self.nodes() for end in node.ends if end[1] == account)

    def request(self, node: Node, account: str = "acme", hold_s: float = 0.0) -> None:
        """Send a request to a node; if admitted, it stays open for `hold_s`."""
        if node.alive and not node.paused:
            node.waiting.append([self.now + MAX_READY_WAIT_S, account, hold_s, False])

    def run(self, seconds: float, each_step=None) -> None:
        """Advance the time; `each_step` is called before every step."""
        for _ in range(round(seconds / STEP_S)):
            if each_step is not None:
                each_step()
            self._step()

    def _step(self) -> None:
        self.steps += 1
        self.now = round(self.steps * STEP_S, 6)
        for node in self.nodes():
            if node.alive and not node.paused:
                self._run_node(node)
        self._fail_overdue_queries()

    def _run_node(self, node: Node) -> None:
        inbox, node.inbox = node.inbox, []
        for deliver in inbox:
            deliver()
        self._end_requests(node)
        self._decide(node)
        is_tick = self.steps % TICK_STEPS == 0
        if is_tick:
            node.home.tick(self.now)
        if is_tick or node.waiting:
            for query in node.entry.due_queries(self.now):
                self._send(node, query)

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
            contract_here = node.contract_by_account.get(account)
            if contract_here is None:
                continue
            if counted:
                node.entry.count_waiting(account, -1)
            if node.entry.should_wait(self.now, contract_here):
                if self.now < deadline:
                    node.entry.count_waiting(account, 1)
                    node.waiting.append([deadline, account, hold_s, True])
                    continue
                node.entry.on_wait_timeout(self.now, account)
            self._open(node, contract_here, hold_s)

    def _open(self, node: Node, contract_here: Contract, hold_s: float) -> None:
        try:
            node.entry.open(self.now, contract_here)
        except EgretError as error:
            self.refused.append((self.now, node.name, error))
            return
        self.admitted.append((self.now, contract_here.account, node.name))
        node.ends.append((self.now + hold_s, contract_here.account))

    def _send(self, node: Node, query: HomeQuery) -> None:
        home = self.node_by_name[query.home]
        if home is node:
            answer = home.home.answer(self.now, node.name, query.message, home.contract_by_account)
            node.entry.on_answer(self.now, query, answer)
            return
        in_flight = [self.now + QUERY_TIMEOUT_S, node, query, False]
        self._queries_in_flight.append(in_flight)
        message = self._over_wire(node, query.message)
        if (node.name, home.name) not in self.cuts and home.alive:
            home.inbox.append(lambda: self._receive(home, node, in_flight, message))

    def _receive(self, home: Node, node: Node, in_flight: list, message) -> None:
        answer = home.home.answer(self.now, node.name, message, home.contract_by_account)
        back = self._over_wire(home, answer)
        if (home.name, node.name) not in self.cuts and node.alive:
            node.inbox.append(lambda: self._deliver(node, in_flight, back))

    def _deliver(self, node: Node, in_flight: list, answer) -> None:
        if not in_flight[3]:
            in_flight[3] = True
            node.entry.on_answer(self.now, in_flight[2], answer)

    def _fail_overdue_queries(self) -> None:
        for in_flight in self._queries_in_flight:
            node = in_flight[1]
            is_running = node.alive and not node.paused
            if not in_flight[3] and self.now >= in_flight[0] and is_running:
                in_flight[3] = True
                node.entry.on_failure(self.now, in_flight[2])
        self._queries_in_flight = [
            in_flight
            for in_flight in self._queries_in_flight
            if not in_flight[3] and in_flight[1].alive
        ]

    @staticmethod
    def _over_wire(node: Node, message):
        body = encode(message)
        node.sent_messages += 1
        node.sent_bytes += len(body)
        return decode(msgpack.unpackb(body))

    def change_contract(self, changed: Contract, nodes: Iterable[Node] | None = None) -> None:
        """Put a changed contract in force on some nodes, or on all."""
        for node in nodes if nodes is not None else self.nodes():
            node.contract_by_account[changed.account] = replace(changed)


def required_burst(times: list[float], rate: float) -> float:
    """Return the minimum burst of a token bucket of `rate` that admits all these times."""
    level = burst = 0.0
    last = times[0] if times else 0.0
    for time in times:
        level = max(0.0, level - (time - last) * rate) + 1
        last = time
        burst = max(burst, level)
    return burst
