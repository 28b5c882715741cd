"""The typed values of the configuration's parts, parsed one part at a time."""

from dataclasses import dataclass, field

from egretstack.configuration._model import PartKind, Sections, part_name
from egretstack.contracts import Contract, ServiceSpec, read_contract, read_service
from egretstack.errors import UserError
from egretstack.ids import AccountId, ModelName, ServiceName


@dataclass(frozen=True)
class PartTable:
    """Contracts and services by name, as of one revision."""

    contract_by_account: dict[AccountId, Contract] = field(default_factory=dict)
    service_by_name: dict[ServiceName, ServiceSpec] = field(default_factory=dict)

    def with_changes(self, sections_by_part: dict[str, Sections | None]) -> "PartTable":
        """Return a copy with some parts replaced or removed; raise UserError for an invalid part.

        Parsing all parts again for each change would block the process's event loop, and with
        it every stream.
        """
        table = PartTable(dict(self.contract_by_account), dict(self.service_by_name))
        for part, sections in sections_by_part.items():
            table._set_part(part, sections)
        return table

    def account_by_digest(self) -> dict[str, AccountId]:
        """Return the account of each key digest."""
        return {
            digest: contract.account
            for contract in self.contract_by_account.values()
            for digest in contract.key_digests
        }

    def service_by_model(self) -> dict[ModelName, ServiceName]:
        """Return the service of each model."""
        return {
            model: service.name
            for service in self.service_by_name.values()
            for model in service.models
        }

    def _set_part(self, part: str, sections: Sections | None) -> None:
        kind, _, name = part.partition(".")
        if kind == PartKind.CONTRACT.value:
            self.contract_by_account.pop(AccountId(name), None)
            if sections is not None:
                contract = read_contract(part, sections)
                _check_name(part, PartKind.CONTRACT, contract.account)
                self.contract_by_account[contract.account] = contract
        elif kind == PartKind.SERVICE.value:
            self.service_by_name.pop(ServiceName(name), None)
            if sections is not None:
                service = read_service(part, sections)
                _check_name(part, PartKind.SERVICE, service.name)
                self.service_by_name[service.name] = service


def _check_name(part: str, kind: PartKind, name: str) -> None:
    if part_name(kind, name) != part:
        raise UserError(f"{part}: describes {name}")
