"""What relays of all kinds work with, and the task that one request is to them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import cached_property

import trio

from egretstack.fleet import Runner, RunnerTable
from egretstack.http1 import ConnectionPool
from egretstack.ids import ContentId, RunnerId, ZoneName
from egretstack.placing import (
    GenerationRequest,
    Placement,
    PlainBalancer,
    Run,
    RunnerBackoffs,
    SendBound,
)
from egretstack.relay._budget import RetryBudget
from egretstack.relay._crash_guard import CrashGuard
from egretstack.relay._runner_words import RunnerWords
from egretstack.routing import ClientAccount, EngineConfig, Route, ServiceConfig
from egretstack.traffic import ClientRequest, RunnerAnswer, SendTerms

RANKS = 100
"""Ranks of routes that are told apart within one rank of client accounts."""
ENGINE_RANKS = 3
"""The same for an engine: it knows ten priorities, and most accounts have one of three ranks."""
CONNECT_TIMEOUT_S = 0.15
"""Time for a connection to a runner: it takes some 3 ms unless the runner is gone. A lost opening
packet is sent again after a second only; another runner is sooner."""


class EnginePlacing(ABC):
    """Where generations run; asks the home, or decides here while the home is silent."""

    @abstractmethod
    async def place(self, work: GenerationRequest, engine: EngineConfig) -> Placement:
        """Give the place of a generation. Raises RequestFailed."""

    @abstractmethod
    def begin(self, run: Run) -> None:
        """Note a run that goes out, in progress until `end`; its fields change as it does."""

    @abstractmethod
    def end(self, run: Run) -> None:
        """Note that a run is over here."""

    @abstractmethod
    def first_token(self, run: Run, read_s: float, waited_s: float) -> None:
        """Note a first token: `read_s` after the send, and `waited_s` after the request came."""

    @abstractmethod
    def tokens_left(self, run: Run) -> float:
        """Give the output that a run is still expected to make."""

    @abstractmethod
    async def backup_for(self, run: Run, engine: EngineConfig, source: RunnerId) -> RunnerId | None:
        """Choose where the memory of a run that moved off `source` is copied from now on."""

    @abstractmethod
    async def move_turn(self, run: Run, refused: Collection[RunnerId]) -> RunnerId:
        """Wait until it is a run's turn to be copied off its runner; give the destination.

        `refused` names engines that had no room for its copy a moment ago.
        """

    @abstractmethod
    def move_done(self, attempt: str, source: RunnerId) -> None:
        """Give the turn up."""


@dataclass
class RelayTools:
    """Shared by all requests of a process."""

    runners: RunnerTable
    balancer: PlainBalancer
    placing: EnginePlacing
    budget: RetryBudget
    pool: ConnectionPool
    bounds: SendBound
    """What runners may get for now."""
    rests: RunnerBackoffs
    crashes: CrashGuard
    words: RunnerWords
    on_break: Callable[[], None] = lambda: None
    """Told when a runner broke what it was sent."""

    def heard(self, task: "Task", runner: RunnerId, answer: RunnerAnswer, sent_s: float) -> None:
        """Take what a runner says of itself beside its answer to a task sent at `sent_s`."""
        if answer.attempt_id in ("", task.request.attempt_id):
            self.words.heard(runner, answer, sent_s)

    def note_engine(self, runner: RunnerId, *, broke: bool) -> None:
        """Count what an engine made of a run; the end of one that leaves tells nothing."""
        if broke and not self.runners.is_ready(runner):
            return
        self.balancer.recent_answers.record(trio.current_time(), runner, broke=broke)
        if broke:
            self.on_break()


@dataclass(frozen=True)
class Task:
    """One request with all that was decided about it when its head was read."""

    request: ClientRequest
    route: Route
    service: ServiceConfig
    account: ClientAccount | None
    began_s: float
    deadline_s: float
    """When its answer has to be final, on the runtime's clock."""
    zones: frozenset[ZoneName] | None = None
    """The availability zones whose runners alone may run it; None if all may."""

    @cached_property
    def content(self) -> ContentId:
        """What it has in common with other attempts at the same request."""
        return self.request.content_id("" if self.account is None else self.account.name)

    def time_left_s(self) -> float:
        """Give the time until the deadline."""
        return self.deadline_s - trio.current_time()

    @property
    def rank(self) -> int:
        """Its place among all that wait: the client account's rank goes before the route's."""
        return self._account_rank() * RANKS + min(RANKS - 1, self.route.rank)

    @property
    def priority(self) -> int:
        """The same for an engine, which knows few priorities."""
        return self._account_rank() * ENGINE_RANKS + min(ENGINE_RANKS - 1, self.route.rank)

    def _account_rank(self) -> int:
        return self.account.rank or 0 if self.account is not None else 0

    def terms(self, runner: Runner, **more: object) -> SendTerms:
        """Give the terms of a send to a runner."""
        account = None if self.account is None else self.account.name
        return SendTerms(runner.incarnation.name, self.time_left_s(), account, **more)
