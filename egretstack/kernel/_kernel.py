"""Starts services in dependency order, runs them, and stops them in reverse order."""

import random
from graphlib import CycleError, TopologicalSorter
from typing import Any, TypeVar

import trio

from egretstack.clock import EpochClock
from egretstack.errors import UserError
from egretstack.events import Event, log
from egretstack.kernel._service import Service, ServiceFailed
from egretstack.kernel._unforeseen import UnforeseenErrors

S = TypeVar("S", bound=Service)
ANNOUNCE_STOP_TIMEOUT_S = 2.0


class Kernel:
    """The services of one process by name, with the settings and the clock that they share."""

    def __init__(self, settings: Any, rng: random.Random | None = None) -> None:
        self.settings = settings
        """Their type is the one that the program's services expect."""
        self.rng = rng or random.Random()
        self.epoch = EpochClock.start()
        self.unforeseen = UnforeseenErrors()
        self.draining = trio.Event()
        self._service_by_name: dict[str, Service] = {}

    def add(self, service: Service) -> None:
        """Register a service under its name; raise ValueError if the name is already in use."""
        if service.name in self._service_by_name:
            raise ValueError(f"two services are named {service.name}")
        self._service_by_name[service.name] = service

    def get(self, kind: type[S]) -> S:
        """Return the service with the name of `kind`; raise TypeError if it is of another class."""
        service = self._service_by_name[kind.name]
        if not isinstance(service, kind):
            raise TypeError(f"service {kind.name} is not a {kind.__name__}")
        return service

    def has(self, kind: type[Service]) -> bool:
        """Return whether this program runs the service with the name of `kind`."""
        return kind.name in self._service_by_name

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start all services, serve until `begin_drain` is called, then drain and stop them."""
        order = self._start_order()
        async with trio.open_nursery() as outer:
            scopes: list[trio.CancelScope] = []
            for name in order:
                scopes.append(await outer.start(self._run_service, self._service_by_name[name]))
            log(Event.STARTED, services=",".join(order))
            task_status.started()
            await self.draining.wait()
            log(Event.DRAIN_BEGUN)
            for name in reversed(order):
                await self._service_by_name[name].drain()
            with trio.move_on_after(ANNOUNCE_STOP_TIMEOUT_S):
                for name in reversed(order):
                    await self._service_by_name[name].announce_stop()
            for scope in reversed(scopes):
                scope.cancel()
        log(Event.STOPPED)

    def begin_drain(self) -> None:
        """Request a graceful shutdown, which interrupts nothing that is in progress."""
        self.draining.set()

    async def _run_service(
        self, service: Service, task_status: trio.TaskStatus[trio.CancelScope]
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._run_logged, service)
                task_status.started(scope)

    @staticmethod
    async def _run_logged(service: Service, task_status: trio.TaskStatus[None]) -> None:
        try:
            await service.run(task_status)
        except Exception as error:
            log(Event.SERVICE_FAILED, service=service.name, error=repr(error))
            raise ServiceFailed(service.name) from error

    def _start_order(self) -> list[str]:
        graph = {name: set(service.requires) for name, service in self._service_by_name.items()}
        unknown = set().union(*graph.values()) - graph.keys()
        if unknown:
            raise UserError(f"services not registered: {', '.join(sorted(unknown))}")
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            raise UserError(f"services require each other in a circle: {error.args[1]}") from error
