"""Contracts of client accounts and descriptions of upstream services."""

from egretstack.contracts._contract import Contract, read_contract
from egretstack.contracts._contract_schema import CONTRACT_SCHEMA, contract_page
from egretstack.contracts._service import Fencing, ServiceKind, ServiceSpec, read_service
from egretstack.contracts._service_schema import SERVICE_SCHEMA, service_page

__all__ = [
    "CONTRACT_SCHEMA",
    "SERVICE_SCHEMA",
    "Contract",
    "Fencing",
    "ServiceKind",
    "ServiceSpec",
    "contract_page",
    "read_contract",
    "read_service",
    "service_page",
]
