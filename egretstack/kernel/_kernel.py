"""Starts services in order of dependency, keeps them running, and stops them in reverse."""

import random
from graphlib import CycleError, TopologicalSorter
from typing import Any, TypeVar

import trio

from egretstack.clock import EpochClock
from egretstack.errors import UserError
from egretstack.events import Event, log
from egretstack.kernel._service import Service, ServiceFailed

S = TypeVar("S", bound=Service)
ANNOUNCE_STOP_TIMEOUT_S = 2.0


class Kernel:
    """The services of one process, by name, with the settings and clock they share."""

    def __init__(self, settings: Any, rng: random.Random | None = None) -> None:
        self.settings = settings
        """Of the type that the program's services expect."""
        self.rng = rng or random.Random()
        self.epoch = EpochClock.start()
        self.draining = trio.Event()
        self._by_name: dict[str, Service] = {}

    def add(self, service: Service) -> None:
        """Register a service under its name; a second one of that name is a bug."""
        if service.name in self._by_name:
            raise ValueError(f"two services are named {service.name}")
        self._by_name[service.name] = service

    def get(self, kind: type[S]) -> S:
        """Give the registered service with the name of `kind`."""
        service = self._by_name[kind.name]
        if not isinstance(service, kind):
            raise TypeError(f"service {kind.name} is not a {kind.__name__}")
        return service

    def has(self, kind: type[Service]) -> bool:
        """Tell whether this program runs the service with the name of `kind`."""
        return kind.name in self._by_name

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start every service, then serve until `begin_drain` and the drains that follow."""
        order = self._order()
        async with trio.open_nursery() as outer:
            scopes: list[trio.CancelScope] = []
            for name in order:
                scopes.append(await outer.start(self._run_one, self._by_name[name]))
            log(Event.STARTED, services=",".join(order))
            task_status.started()
            await self.draining.wait()
            log(Event.DRAIN_BEGUN)
            for name in reversed(order):
                await self._by_name[name].drain()
            with trio.move_on_after(ANNOUNCE_STOP_TIMEOUT_S):
                for name in reversed(order):
                    await self._by_name[name].announce_stop()
            for scope in reversed(scopes):
                scope.cancel()
        log(Event.STOPPED)

    def begin_drain(self) -> None:
        """Ask for a graceful shutdown; it cuts nothing in progress."""
        self.draining.set()

    async def _run_one(
        self, service: Service, task_status: trio.TaskStatus[trio.CancelScope]
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._guard, service)
                task_status.started(scope)

    @staticmethod
    async def _guard(service: Service, task_status: trio.TaskStatus[None]) -> None:
        try:
            await service.run(task_status)
        except Exception as error:
            log(Event.SERVICE_FAILED, service=service.name, error=repr(error))
            raise ServiceFailed(service.name) from error

    def _order(self) -> list[str]:
        graph = {name: set(service.requires) for name, service in self._by_name.items()}
        unknown = set().union(*graph.values()) - graph.keys()
        if unknown:
            raise UserError(f"services not registered: {', '.join(sorted(unknown))}")
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            raise UserError(f"services require each other in a circle: {error.args[1]}") from error
