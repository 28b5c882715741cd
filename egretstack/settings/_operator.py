"""The operator's own settings of an instance on the users' platform: a small INI file."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from egretstack.schema import Choice, Key, Schema, read_ini

OPERATOR_FILE_VARIABLE = "EGRETSTACK_OPERATOR_FILE"
"""Environment variable that holds the path of the file; unset or empty for none."""
MAX_OPERATOR_FILE_BYTES = 16_384


class ShareCapacity(Enum):
    """Whether scarce engine memory is shared by client accounts, with times to return."""

    AUTO = "auto"
    """As the platform's settings say."""
    ON = "on"
    OFF = "off"


OPERATOR_KEYS: tuple[Key, ...] = (
    Key(
        "placing",
        "share_capacity",
        Choice(ShareCapacity),
        "Whether client accounts share scarce engine memory; `auto`: as the platform's settings "
        "say. The same on all instances; read at the start of a process.",
        ShareCapacity.AUTO.value,
    ),
)
_SCHEMA = Schema(OPERATOR_KEYS)


@dataclass(frozen=True)
class OperatorSettings:
    """The validated settings of an operator's file."""

    share_capacity: ShareCapacity = ShareCapacity.AUTO

    def shares_capacity(self, *, platform_says: bool) -> bool:
        """Return whether capacity is shared; `platform_says` counts unless the operator decides."""
        if self.share_capacity is ShareCapacity.AUTO:
            return platform_says
        return self.share_capacity is ShareCapacity.ON


def read_operator_settings(path: Path) -> OperatorSettings:
    """Read and validate the file; raise a UserError that lists every error with what is allowed."""
    document = _SCHEMA.check(str(path), read_ini(path, MAX_OPERATOR_FILE_BYTES))
    return OperatorSettings(document.get("placing", "share_capacity", ShareCapacity))
