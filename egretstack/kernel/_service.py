"""What a service is to the kernel."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from egretstack.kernel._kernel import Kernel


class ServiceFailed(Exception):
    """One service stopped with an error; the cause is chained."""

    def __init__(self, name: str) -> None:
        super().__init__(f"service {name} failed")
        self.name = name


class Service(ABC):
    """One part of a program, run by the kernel for the life of the process.

    A subclass names itself in `name` and the services it uses in `requires`; those are started
    before it and stopped after it.
    """

    name: str
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel

    @abstractmethod
    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled; call `task_status.started()` once ready."""

    async def drain(self) -> None:  # noqa: B027 - most services have nothing in progress
        """Return once nothing this service has in progress would be cut by a stop."""

    async def announce_stop(self) -> None:  # noqa: B027 - most services have nobody to tell
        """Tell others that this process ends; every service has drained, and none is stopped.

        The kernel waits for it for a short time only.
        """
