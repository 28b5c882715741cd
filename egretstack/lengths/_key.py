"""Whose output lengths a curve describes."""

from typing import NamedTuple

from egretstack.ids import AccountId, ModelName, ServiceName


class LengthKey(NamedTuple):
    """Whose lengths: account and prefix may be empty, which stands for all of them."""

    service: ServiceName
    model: ModelName
    account: AccountId = AccountId("")
    prefix: str = ""
    """A digest of the prompt's shared beginning: the text itself is the caller's."""

    def levels(self) -> "list[LengthKey]":
        """Give the keys from the widest to this one."""
        levels = [LengthKey(self.service, self.model)]
        if self.account:
            levels.append(LengthKey(self.service, self.model, self.account))
        if self.prefix:
            levels.append(self)
        return levels
