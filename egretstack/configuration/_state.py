"""The configuration in force on one instance; it only moves up."""

from enum import Enum

from egretstack.configuration._model import PartKind, Sections, Snapshot
from egretstack.contracts import Contract, ServiceSpec, read_contract, read_service
from egretstack.errors import UserError
from egretstack.ids import AccountId, ModelName, Revision, ServiceName


class Offer(Enum):
    """What became of a snapshot that was offered."""

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    BAD = "bad"


class ConfigurationState:
    """Contracts and services by name, as of one revision."""

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.contract_by_account: dict[AccountId, Contract] = {}
        self.account_by_digest: dict[str, AccountId] = {}
        self.service_by_name: dict[ServiceName, ServiceSpec] = {}
        self.service_by_model: dict[ModelName, ServiceName] = {}

    @property
    def revision(self) -> Revision:
        """Give the revision in force; 0 before the first."""
        return Revision(0) if self.snapshot is None else self.snapshot.head.revision

    def offer(self, snapshot: Snapshot) -> Offer:
        """Put a newer snapshot in force; refuse an older or a faulty one."""
        known = self.revision
        if snapshot.head.revision < known:
            # A store restored from an old copy, or a peer behind: taking it would undo an
            # accepted change on this instance alone.
            return Offer.OLDER
        if snapshot.head.revision == known:
            return Offer.SAME
        try:
            self._apply(snapshot)
        except UserError:
            return Offer.BAD
        return Offer.APPLIED

    def _apply(self, snapshot: Snapshot) -> None:
        contracts: dict[AccountId, Contract] = {}
        services: dict[ServiceName, ServiceSpec] = {}
        for part, sections in snapshot.sections_by_part.items():
            _read_part(part, sections, contracts, services)
        self.contract_by_account = contracts
        self.service_by_name = services
        self.account_by_digest = {
            digest: contract.account
            for contract in contracts.values()
            for digest in contract.key_digests
        }
        self.service_by_model = {
            model: service.name for service in services.values() for model in service.models
        }
        self.snapshot = snapshot


def _read_part(
    part: str,
    sections: Sections,
    contracts: dict[AccountId, Contract],
    services: dict[ServiceName, ServiceSpec],
) -> None:
    kind = part.partition(".")[0]
    if kind == PartKind.CONTRACT.value:
        contract = read_contract(part, sections)
        contracts[contract.account] = contract
    elif kind == PartKind.SERVICE.value:
        service = read_service(part, sections)
        services[service.name] = service
