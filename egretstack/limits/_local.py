"""An account's limits on one instance: its share of the rate and of the open requests."""

from dataclasses import dataclass

from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId

BUSY_RETRY_S = 1.0


@dataclass
class _Usage:
    tokens: float
    filled_s: float
    open: int = 0


class LocalLimits:
    """Token bucket and open count by account; `instances` shares the contract's limits out."""

    def __init__(self) -> None:
        self.instances = 1
        self._usage_by_account: dict[AccountId, _Usage] = {}

    def open(self, now_s: float, contract: Contract) -> None:
        """Count a request in; raise EgretError that says when to come back."""
        usage = self._usage(now_s, contract)
        share = max(1, contract.concurrency // self.instances)
        if usage.open >= share:
            raise EgretError(
                ErrorKind.OVER_CONCURRENCY,
                f"{usage.open} requests are open here",
                retry_after_s=BUSY_RETRY_S,
            )
        if usage.tokens < 1:
            rate = contract.requests_per_s / self.instances
            raise EgretError(
                ErrorKind.RATE_LIMITED,
                f"more than {contract.requests_per_s:g} requests a second",
                retry_after_s=(1 - usage.tokens) / rate,
            )
        usage.tokens -= 1
        usage.open += 1

    def close(self, account: AccountId) -> None:
        """Count a request out."""
        self._usage_by_account[account].open -= 1

    def _usage(self, now_s: float, contract: Contract) -> _Usage:
        burst = max(1.0, contract.burst / self.instances)
        usage = self._usage_by_account.get(contract.account)
        if usage is None:
            usage = _Usage(burst, now_s)
            self._usage_by_account[contract.account] = usage
        gained = (now_s - usage.filled_s) * contract.requests_per_s / self.instances
        usage.tokens = min(burst, usage.tokens + gained)
        usage.filled_s = now_s
        return usage
