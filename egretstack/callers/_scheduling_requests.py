"""Builds the scheduling requests that sessions submit to the policy, within the contract."""

import secrets

from egretstack import clock
from egretstack.callers._requests import GenerationBody
from egretstack.contracts import Contract
from egretstack.delivery import SessionRef
from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import ModelName, RequestId, ServiceName
from egretstack.policy import SchedulingRequest

PREFIX_CHARACTERS = 256
_UNKNOWN_MODEL = ModelName("")


def new_request(
    contract: Contract, body: GenerationBody, service: ServiceName | None
) -> SchedulingRequest:
    """Check a request against its contract and build its scheduling request; raise EgretError.

    `service` is the service that offers the model, or None.
    """
    if service is None:
        raise EgretError(ErrorKind.UNKNOWN_MODEL, f"model {body.model}")
    if not contract.allows(service):
        raise EgretError(ErrorKind.FORBIDDEN, f"service {service} is not in the contract")
    if body.prompt_tokens > contract.max_prompt_tokens:
        raise EgretError(
            ErrorKind.BAD_REQUEST,
            f"a prompt of some {body.prompt_tokens} tokens; the contract allows "
            f"{contract.max_prompt_tokens}",
        )
    limit = contract.max_output_tokens
    return SchedulingRequest(
        id=_new_id(),
        account=contract.account,
        service=service,
        model=body.model,
        prompt_tokens=body.prompt_tokens,
        max_output_tokens=min(limit, body.max_output_tokens or limit),
        prefix=body.prompt[:PREFIX_CHARACTERS],
        value=contract.value,
        deadline_s=clock.now() + contract.start_deadline_s,
        streamed=body.stream,
        stall_weight=contract.stall_weight,
        preemption_weight=contract.preemption_weight,
        tail_weight=contract.tail_weight,
    )


def picked_up_request(contract: Contract, ref: SessionRef) -> SchedulingRequest:
    """Build the request of a session that another entry placed; it is never placed again."""
    return SchedulingRequest(
        id=_new_id(),
        account=ref.account,
        service=ref.service,
        model=_UNKNOWN_MODEL,
        prompt_tokens=0,
        max_output_tokens=contract.max_output_tokens,
        prefix="",
        value=contract.value,
        deadline_s=clock.now(),
        streamed=True,
    )


def _new_id() -> RequestId:
    return RequestId(secrets.token_hex(8))
