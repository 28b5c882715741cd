"""A ledger that stores one object for each call.

It is the baseline against which the sharded ledger is measured.
"""

import hashlib

from egretstack.errors import EgretError, ErrorKind, NotRunProof
from egretstack.ids import AccountId, AttemptId, IdempotencyKey, ServiceName
from egretstack.ledger._entry import CallState, LedgerEntry
from egretstack.objectapi import (
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformOutcomeUnknown,
    StoredObject,
)

MAX_STORE_ATTEMPTS = 3
PLATFORM_RETRY_S = 5.0


class PerCallLedger:
    """Writes the intent of each call before dispatch and its outcome afterwards."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._stored_by_attempt: dict[AttemptId, StoredObject] = {}

    async def begin(
        self,
        account: AccountId,
        service: ServiceName,
        key: IdempotencyKey,
        attempt: AttemptId,
        fingerprint: str,
    ) -> LedgerEntry:
        """Write the intent and return it, or return the finished entry of an earlier call.

        Raises EgretError: KEY_REUSED, IN_PROGRESS, OUTCOME_UNKNOWN, PLATFORM_AWAY.
        """
        name = _object_name(account, service, key)
        entry = LedgerEntry(attempt, fingerprint, CallState.INTENT)
        try:
            stored = await self._api.create(ObjectKind.LEDGER, name, entry.spec())
        except Conflict:
            return await self._existing(name, entry)
        except PlatformAway as error:
            raise _unavailable(error) from error
        except PlatformOutcomeUnknown:
            return await self._resolve_in_doubt(name, entry)
        self._stored_by_attempt[attempt] = stored
        return entry

    async def finish(self, entry: LedgerEntry) -> None:
        """Write the outcome; if that fails the intent remains and repeats are refused."""
        stored = self._stored_by_attempt.pop(entry.attempt, None)
        if stored is None:
            return
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                await self._api.replace(
                    ObjectKind.LEDGER, stored.name, entry.spec(), stored.version
                )
                return
            except Conflict:
                return
            except (PlatformAway, PlatformOutcomeUnknown):
                continue

    async def _resolve_in_doubt(self, name: str, entry: LedgerEntry) -> LedgerEntry:
        """Read back, by the attempt's id, whether a write whose answer was lost took effect."""
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                stored = await self._api.get(ObjectKind.LEDGER, name)
            except PlatformAway:
                continue
            if stored is not None and LedgerEntry.from_spec(stored.spec).attempt == entry.attempt:
                self._stored_by_attempt[entry.attempt] = stored
                return entry
            if stored is not None:
                return self._check_existing(stored, entry)
        raise _unavailable("the intent's write could not be settled")

    async def _existing(self, name: str, entry: LedgerEntry) -> LedgerEntry:
        try:
            stored = await self._api.get(ObjectKind.LEDGER, name)
        except PlatformAway as error:
            raise _unavailable(error) from error
        if stored is None:
            raise _unavailable("an entry that comes and goes")
        found = self._check_existing(stored, entry)
        if found.state is not CallState.NOT_RUN:
            return found
        try:
            fresh = await self._api.replace(ObjectKind.LEDGER, name, entry.spec(), stored.version)
        except (Conflict, PlatformAway, PlatformOutcomeUnknown) as error:
            raise _unavailable(error) from error
        self._stored_by_attempt[entry.attempt] = fresh
        return entry

    @staticmethod
    def _check_existing(stored: StoredObject, entry: LedgerEntry) -> LedgerEntry:
        found = LedgerEntry.from_spec(stored.spec)
        if found.fingerprint != entry.fingerprint:
            raise EgretError(ErrorKind.KEY_REUSED, "the key was used for another request")
        if found.state is CallState.INTENT:
            raise EgretError(ErrorKind.IN_PROGRESS, "a call with this key has begun")
        if found.state is CallState.UNKNOWN:
            raise EgretError(ErrorKind.OUTCOME_UNKNOWN, "the first call's outcome is unknown")
        return found


def _unavailable(cause: object) -> EgretError:
    proof = NotRunProof("the intent was not written, so the call was not sent")
    return EgretError(
        ErrorKind.PLATFORM_AWAY, str(cause), retry_after_s=PLATFORM_RETRY_S, proof=proof
    )


def _object_name(account: AccountId, service: ServiceName, key: IdempotencyKey) -> str:
    return hashlib.sha256(f"{account}\0{service}\0{key}".encode()).hexdigest()[:40]
