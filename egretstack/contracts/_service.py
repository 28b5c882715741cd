"""The description of one service as typed values."""

from dataclasses import dataclass
from typing import Self

from egretstack.contracts._service_schema import SERVICE_SCHEMA, Fencing, ServiceKind
from egretstack.ids import ModelName, ServiceName
from egretstack.schema import Document

__all__ = ["Fencing", "ServiceKind", "ServiceSpec", "read_service"]


@dataclass(frozen=True)
class ServiceSpec:
    """The upstreams of a service and which of its calls may be repeated."""

    name: ServiceName
    kind: ServiceKind
    fencing: Fencing
    models: tuple[ModelName, ...]
    kv_capacity_tokens: int
    max_batch: int
    repeatable: tuple[str, ...]
    lookup: str
    retention_s: float

    @classmethod
    def from_document(cls, document: Document) -> Self:
        """Build the description from a validated document."""
        return cls(
            name=ServiceName(document.text("service", "name")),
            kind=document.get("service", "kind", ServiceKind),
            fencing=document.get("service", "fencing", Fencing),
            models=tuple(ModelName(name) for name in document.names("engine", "models")),
            kv_capacity_tokens=document.integer("engine", "kv_capacity_tokens"),
            max_batch=document.integer("engine", "max_batch"),
            repeatable=document.names("calls", "repeatable"),
            lookup=document.text("calls", "lookup"),
            retention_s=document.number("calls", "retention_s"),
        )


def read_service(where: str, sections: dict[str, dict[str, str]]) -> ServiceSpec:
    """Validate the sections of a description; raise UserError that names `where` in each error."""
    return ServiceSpec.from_document(SERVICE_SCHEMA.check(where, sections))
