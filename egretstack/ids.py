"""Identifier types used throughout egretstack.

Each id but `Revision` and `StoreRevision`, which are numbers, is a string on the wire; the types
keep different kinds apart.
"""

import re
from typing import NewType

AccountId = NewType("AccountId", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
ContentId = NewType("ContentId", str)
DutyName = NewType("DutyName", str)
GenerationId = NewType("GenerationId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
InstanceId = NewType("InstanceId", str)
ModelName = NewType("ModelName", str)
PartId = NewType("PartId", str)
Revision = NewType("Revision", int)
RegionName = NewType("RegionName", str)
RunnerId = NewType("RunnerId", str)
RunnerName = NewType("RunnerName", str)
ServiceName = NewType("ServiceName", str)
SessionId = NewType("SessionId", str)
StoreRevision = NewType("StoreRevision", int)
RequestId = NewType("RequestId", str)
ZoneName = NewType("ZoneName", str)

MAX_NAME_LENGTH = 63
"""Maximum length of the name of an account, service, model, instance or zone, in characters."""

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]*[a-z0-9])?")


def is_name(text: object) -> bool:
    """Return whether `text` is a valid name of an account, service, model, instance or zone."""
    return (
        isinstance(text, str) and len(text) <= MAX_NAME_LENGTH and _NAME.fullmatch(text) is not None
    )
