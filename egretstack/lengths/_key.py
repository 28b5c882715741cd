"""The key of a length curve."""

from typing import NamedTuple

from egretstack.ids import AccountId, ModelName, ServiceName


class LengthKey(NamedTuple):
    """Which sessions a curve covers. An empty account or prefix covers all of them."""

    service: ServiceName
    model: ModelName
    account: AccountId = AccountId("")
    prefix: str = ""
    """A digest of the prompt's shared prefix; the text itself is the caller's private data."""

    def levels(self) -> "list[LengthKey]":
        """Return the keys from the most general to this one."""
        levels = [LengthKey(self.service, self.model)]
        if self.account:
            levels.append(LengthKey(self.service, self.model, self.account))
        if self.prefix:
            levels.append(self)
        return levels
