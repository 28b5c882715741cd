"""Look-up of a call's outcome at a service that offers look-ups."""

import json
from enum import Enum
from urllib.parse import quote

from egretstack.contracts import Fencing, ServiceSpec
from egretstack.ids import AccountId, IdempotencyKey
from egretstack.upstreams import CallRequest, CallResponse

KEY_HEADER = "Idempotency-Key"
FENCING_HEADER = "Egret-Fencing"
ACCOUNT_HEADER = "Egret-Account"
LOOKUP_TIMEOUT_S = 2.0
_HTTP_OK = 200


class LookupResult(Enum):
    """The result of a look-up."""

    RAN = "ran"
    NOT_RAN = "not-ran"
    NO_ANSWER = "no-answer"


def make_lookup_request(
    spec: ServiceSpec, account: AccountId, key: IdempotencyKey, fence: int
) -> CallRequest:
    """Build the look-up request.

    At a service that checks fencing numbers it also makes the service refuse older numbers.
    """
    headers = [(KEY_HEADER, key), (ACCOUNT_HEADER, account)]
    if spec.fencing is Fencing.CHECKED:
        headers.append((FENCING_HEADER, str(fence)))
    path = f"{spec.lookup.rstrip('/')}/{quote(key, safe='')}"
    return CallRequest("GET", path, "", tuple(headers), b"", LOOKUP_TIMEOUT_S)


def parse_lookup(answer: CallResponse) -> LookupResult:
    """Parse the answer: status 200 and a JSON object whose member `ran` is true or false."""
    if answer.status != _HTTP_OK:
        return LookupResult.NO_ANSWER
    try:
        ran = json.loads(answer.body)["ran"]
    except (ValueError, KeyError, TypeError):
        return LookupResult.NO_ANSWER
    if not isinstance(ran, bool):
        return LookupResult.NO_ANSWER
    return LookupResult.RAN if ran else LookupResult.NOT_RAN
