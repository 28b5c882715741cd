"""The contract of one client account as typed values."""

from dataclasses import dataclass
from typing import Self

from egretstack.contracts._contract_schema import CONTRACT_SCHEMA
from egretstack.ids import AccountId, ServiceName
from egretstack.schema import Document


@dataclass(frozen=True)
class Contract:
    """The limits, deadlines and service-level targets of one client account.

    Times are in seconds, rates in requests per second over the whole fleet.
    """

    account: AccountId
    key_digests: tuple[str, ...]
    value: int
    services: tuple[ServiceName, ...]
    requests_per_s: float
    burst: int
    concurrency: int
    max_prompt_tokens: int
    max_output_tokens: int
    start_deadline_s: float
    call_deadline_s: float
    stall_weight: float
    preemption_weight: float
    tail_weight: float
    first_token_target_s: float
    gap_target_s: float
    target_share: float

    @classmethod
    def from_document(cls, document: Document) -> Self:
        """Build the contract from a validated document."""
        return cls(
            account=AccountId(document.text("contract", "account")),
            key_digests=document.names("contract", "key_sha256"),
            value=document.integer("contract", "value"),
            services=tuple(ServiceName(n) for n in document.names("contract", "services")),
            requests_per_s=document.number("limits", "requests_per_s"),
            burst=document.integer("limits", "burst"),
            concurrency=document.integer("limits", "concurrency"),
            max_prompt_tokens=document.integer("limits", "max_prompt_tokens"),
            max_output_tokens=document.integer("limits", "max_output_tokens"),
            start_deadline_s=document.number("deadlines", "start_s"),
            call_deadline_s=document.number("deadlines", "call_s"),
            stall_weight=document.number("weights", "stall"),
            preemption_weight=document.number("weights", "preemptions"),
            tail_weight=document.number("weights", "tail"),
            first_token_target_s=document.number("targets", "first_token_s"),
            gap_target_s=document.number("targets", "gap_s"),
            target_share=document.number("targets", "share"),
        )

    def allows(self, service: ServiceName) -> bool:
        """Return whether the account may use a service."""
        return not self.services or service in self.services


def read_contract(where: str, sections: dict[str, dict[str, str]]) -> Contract:
    """Validate the sections of a contract; raise UserError that names `where` in each error."""
    return Contract.from_document(CONTRACT_SCHEMA.check(where, sections))
