"""Client accounts: which account a key belongs to, and what its contract allows."""

import hashlib

import trio

from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId
from egretstack.kernel import Service
from egretstack.services.configuration import Configuration
from egretstack.services.limits import Limits

_SCHEME = "Bearer "
MAX_KEY_LENGTH = 512


class Accounts(Service):
    """Authenticates callers and applies their limits."""

    name = "accounts"
    requires = ("configuration", "limits")

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    def authenticate(self, authorization: str) -> Contract:
        """Return the contract of the key in an Authorization header. Raises EgretError."""
        state = self.kernel.get(Configuration).state
        if state.snapshot is None:
            raise EgretError(ErrorKind.CONFIGURATION_MISSING, "this instance has just started")
        key = authorization.removeprefix(_SCHEME)
        if key == authorization or not key or len(key) > MAX_KEY_LENGTH:
            raise EgretError(ErrorKind.UNAUTHENTICATED, "send the key as a bearer token")
        # Only digests of keys are kept; a key is random, so one round of SHA-256 suffices, and the
        # timing of the lookup of a digest reveals nothing about another key.
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = state.account_by_digest.get(digest)
        if account is None:
            raise EgretError(ErrorKind.UNAUTHENTICATED, "no client account has this key")
        return state.contract_by_account[account]

    async def ready(self, contract: Contract) -> None:
        """Wait briefly if the limits home may let a request in; call this before `open`."""
        await self.kernel.get(Limits).ready(contract)

    def open(self, contract: Contract) -> None:
        """Count a request in. Raises EgretError."""
        self.kernel.get(Limits).open(contract)

    def close(self, account: AccountId) -> None:
        """Count a request out."""
        self.kernel.get(Limits).close(account)
