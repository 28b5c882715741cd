"""Operations for operators: change the configuration, query status, drain.

This package reads and writes no terminal.
"""

from egretstack.operators._changes import (
    PartFile,
    apply_file,
    check_file,
    diff_text,
    part_in_force,
    read_part_file,
    remove_part,
    sections_diff,
)
from egretstack.operators._keys import new_account_key, new_session_key
from egretstack.operators._recovery import (
    check_not_older,
    find_instance,
    refuse_older_store,
    snapshot_in_force,
)
from egretstack.operators._status import InstanceStatus, drain_instance, fleet_status

__all__ = [
    "InstanceStatus",
    "PartFile",
    "apply_file",
    "check_file",
    "check_not_older",
    "diff_text",
    "drain_instance",
    "fleet_status",
    "find_instance",
    "new_account_key",
    "new_session_key",
    "read_part_file",
    "refuse_older_store",
    "remove_part",
    "sections_diff",
    "part_in_force",
    "snapshot_in_force",
]
