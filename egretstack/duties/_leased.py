"""One duty of this process: maintains its lease at the object API and works while it holds it."""

import random
import secrets
from abc import ABC, abstractmethod

import trio

from egretstack.duties._lease import (
    LEASE_TTL_S,
    RENEWALS_PER_TTL,
    Lease,
    LeaseRecord,
    LeaseUnreadable,
    LeaseWrite,
)
from egretstack.events import Event, log
from egretstack.ids import DutyName, InstanceId
from egretstack.objectapi import Conflict, ObjectApi, ObjectKind, PlatformError

LEASE_POLL_INTERVAL_S = LEASE_TTL_S / RENEWALS_PER_TTL
TICK_INTERVAL_S = 1.0
INCARNATION_BYTES = 4


class LeasedDuty(ABC):
    """A duty that one process of the fleet performs at a time."""

    def __init__(self, api: ObjectApi, own: InstanceId, name: DutyName) -> None:
        self._api = api
        self._name = name
        self._rng = random.Random(f"{own}/{name}")
        # A restarted process is a different holder: it cannot know what it sent before.
        self._lease = Lease(f"{own}.{secrets.token_hex(INCARNATION_BYTES)}")
        self._active_fencing: int | None = None
        self._cancel_scope = trio.CancelScope()
        self._stopped = trio.Event()

    @abstractmethod
    async def work(self) -> None:
        """Perform the duty forever; check `holds` or `remaining_s` before each effect."""

    @abstractmethod
    def begin(self) -> bool:
        """Prepare the work after the lease was acquired; False if it can't start yet."""

    @abstractmethod
    def end(self) -> None:
        """Discard the state of the work after the lease was lost."""

    def holds(self) -> bool:
        """Return whether this process holds the duty."""
        return self._lease.holds(trio.current_time())

    def remaining_s(self) -> float:
        """Return the seconds for which this process still holds the duty; 0 if it does not."""
        return self._lease.remaining_s(trio.current_time())

    async def run(self) -> None:
        """Maintain the lease and work until stopped."""
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._maintain_lease)
                    nursery.start_soon(self.work)
        finally:
            self._stopped.set()

    async def stop(self) -> None:
        """Stop the work, then release the lease."""
        self._cancel_scope.cancel()
        await self._stopped.wait()
        write = self._lease.release()
        if write is not None:
            await self._write_lease(write)

    async def _maintain_lease(self) -> None:
        while True:
            if not self.holds() or self._lease.is_renewal_due(trio.current_time()):
                await self._acquire_or_renew()
            self._apply_lease_state()
            # A holder checks often, so that a failed renewal is retried well before the lease
            # expires.
            interval_s = TICK_INTERVAL_S if self.holds() else LEASE_POLL_INTERVAL_S
            await trio.sleep(interval_s * (0.8 + 0.4 * self._rng.random()))

    def _apply_lease_state(self) -> None:
        is_held = self.holds()
        fencing = self._lease.fencing
        if self._active_fencing is not None and (not is_held or fencing != self._active_fencing):
            log(Event.DUTY_LOST, duty=self._name, fencing=self._active_fencing)
            self._active_fencing = None
            self.end()
        if is_held and self._active_fencing is None and self.begin():
            self._active_fencing = fencing
            log(Event.DUTY_TAKEN, duty=self._name, fencing=fencing)

    async def _acquire_or_renew(self) -> None:
        if (
            not self.holds() or self._lease.has_unconfirmed_write()
        ) and not await self._read_lease():
            return
        write = self._lease.next_write(trio.current_time())
        if write is not None:
            await self._write_lease(write)

    async def _read_lease(self) -> bool:
        try:
            stored = await self._api.get(ObjectKind.LEASE, self._name)
            record = None if stored is None else LeaseRecord.from_spec(stored.spec)
        except PlatformError:
            return False
        except LeaseUnreadable as error:
            log(Event.DUTY_UNREADABLE, duty=self._name, error=str(error))
            return False
        version = None if stored is None else stored.version
        self._lease.record_read(trio.current_time(), record, version)
        return True

    async def _write_lease(self, write: LeaseWrite) -> None:
        self._lease.record_sending(trio.current_time(), write)
        spec = write.record.spec()
        try:
            if write.version is None:
                stored = await self._api.create(ObjectKind.LEASE, self._name, spec)
            else:
                stored = await self._api.replace(ObjectKind.LEASE, self._name, spec, write.version)
        except Conflict:
            self._lease.give_up()
            return
        except PlatformError:
            return
        self._lease.record_written(stored.version)
