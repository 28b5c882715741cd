"""A fleet of membership objects on a simulated clock, with cuts, pauses and message counts."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

import msgpack

from egretstack.ids import InstanceId, ServiceName, ZoneName
from egretstack.membership import ANSWER_TIMEOUT_S, TICK_S, MembershipState, RowError
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState
from egretstack.peers import Message, decode, encode

DELAY_S = 0.005
EPOCH_S = 1_700_000_000.0


def instance(number: int, zone: str = "a") -> Member:
    """Return the member of an instance as listed."""
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    ports = {"caller": 8080, "peer": 9200, "operator": 9100}
    return Member(f"entry-{number}", ENTRY_SERVICE, ZoneName(zone), host, ports, MemberState.LIVE)


def runner(number: int) -> Member:
    """Return the member of a runner as listed."""
    host = f"10.8.{number // 250}.{number % 250 + 1}"
    return Member(
        f"runner-{number}",
        ServiceName("llm"),
        ZoneName("a"),
        host,
        {"http": 8000},
        MemberState.LIVE,
    )


@dataclass
class Node:
    """One instance of the fleet; while `down` it neither ticks nor answers, but keeps its state."""

    state: MembershipState
    down: bool = False
    messages: int = 0
    sent_bytes: int = 0


@dataclass
class Fleet:
    """Runs the nodes; `cuts` holds pairs (from, to) whose messages are lost."""

    seed: int = 1
    now_s: float = 0.0
    node_by_id: dict[InstanceId, Node] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    loss_rate: float = 0.0
    _queue: list = field(default_factory=list)
    _order: itertools.count = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def start(self, own: Member, members: list[Member]) -> Node:
        """Start an instance that reads the list once."""
        rng = random.Random(self.rng.random())
        state = MembershipState(own, self.now_s, EPOCH_S + self.now_s, rng)
        state.apply_list(self.now_s, members)
        node = Node(state)
        self.node_by_id[state.own] = node
        self._at(self.now_s + self.rng.random() * TICK_S, self._tick, node)
        return node

    def state_of(self, number: int) -> MembershipState:
        """Return the state of one instance."""
        return self.node_by_id[InstanceId(f"entry-{number}")].state

    def node(self, number: int) -> Node:
        """Return one instance."""
        return self.node_by_id[InstanceId(f"entry-{number}")]

    def read_list(self, number: int, members: list[Member]) -> None:
        """Let one instance read the list."""
        self.state_of(number).apply_list(self.now_s, members)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_s = end_s

    def cut(self, some: set[int], others: set[int]) -> None:
        """Cut the paths from some instances to others, in that direction."""
        self.cuts |= {(f"entry-{a}", f"entry-{b}") for a in some for b in others}

    def _at(self, at_s: float, function, *arguments) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), function, arguments))

    def _tick(self, node: Node) -> None:
        if self.node_by_id.get(node.state.own) is not node:
            return
        self._at(self.now_s + TICK_S, self._tick, node)
        if node.down:
            return
        for request in node.state.tick(self.now_s):
            target = InstanceId(request.peer.id)
            message = self._sent(node, request.message)
            self._at(self.now_s + DELAY_S, self._arrive, node, target, message)

    def _arrive(self, node: Node, target: InstanceId, message) -> None:
        answerer = self.node_by_id.get(target)
        if answerer is None or answerer.down or self._is_lost(node.state.own, target):
            self._at(self.now_s + ANSWER_TIMEOUT_S, self._miss, node, target)
            return
        answer = answerer.state.on_heartbeat(self.now_s, node.state.own, message)
        answer = self._sent(answerer, answer)
        if self._is_lost(target, node.state.own):
            self._at(self.now_s + ANSWER_TIMEOUT_S, self._miss, node, target)
            return
        self._at(self.now_s + DELAY_S, self._answer, node, target, answer)

    def _answer(self, node: Node, peer: InstanceId, answer) -> None:
        if node.down:
            self._miss(node, peer)
            return
        try:
            node.state.on_answer(self.now_s, peer, answer)
        except RowError as error:
            raise AssertionError("a row that this code packed") from error

    def _miss(self, node: Node, peer: InstanceId) -> None:
        if node.down:
            self._at(self.now_s + TICK_S, self._miss, node, peer)
            return
        node.state.on_timeout(self.now_s, peer)

    def _is_lost(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts or self.rng.random() < self.loss_rate

    @staticmethod
    def _sent(node: Node, message: Message) -> Message:
        """Count a message, and return it as decoded at the other end."""
        body = encode(message)
        node.messages += 1
        node.sent_bytes += len(body)
        return decode(msgpack.unpackb(body))


def fleet_of(size: int, runners: int = 0, seed: int = 1, zones: int = 1) -> tuple[Fleet, list]:
    """Start a fleet that has read one list; return the list too."""
    fleet = Fleet(seed)
    listed = [instance(number, f"zone-{number % zones}") for number in range(size)]
    for own in list(listed):
        fleet.start(own, listed + [runner(number) for number in range(runners)])
    return fleet, listed + [runner(number) for number in range(runners)]
