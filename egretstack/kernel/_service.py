"""The interface between the kernel and a service."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from egretstack.kernel._kernel import Kernel


class ServiceFailed(Exception):
    """A service stopped with an error, which is the chained cause."""

    def __init__(self, name: str) -> None:
        super().__init__(f"service {name} failed")
        self.name = name


class Service(ABC):
    """One part of a program, run by the kernel until the process ends.

    A subclass sets its own name in `name` and the services that it uses in `requires`; those are
    started before it and stopped after it.
    """

    name: str
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel

    @abstractmethod
    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run until cancelled; call `task_status.started()` once ready."""

    async def drain(self) -> None:  # noqa: B027 - most services have nothing in progress
        """Return once a stop would interrupt nothing that this service has in progress."""

    async def announce_stop(self) -> None:  # noqa: B027 - most services announce nothing
        """Notify other processes that this one ends; all services have drained, none has stopped.

        The kernel waits only a short time for it.
        """
