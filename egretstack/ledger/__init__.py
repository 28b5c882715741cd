"""The ledger: a durable record of calls that must run at most once."""

from egretstack.ledger._attempts import (
    AttemptRegistry,
    NextAction,
    SendHistory,
    Stage,
    next_action,
)
from egretstack.ledger._entry import CallState, LedgerEntry, fingerprint
from egretstack.ledger._intents import CallLedger, Intent, IntentRequest
from egretstack.ledger._ledger_home import (
    InvalidShardRequest,
    apply_shard_answer,
    find_ledger_home,
    make_shard_answer,
    make_shard_request,
    parse_shard_request,
)
from egretstack.ledger._lookup import (
    ACCOUNT_HEADER,
    FENCING_HEADER,
    KEY_HEADER,
    LookupResult,
    make_lookup_request,
    parse_lookup,
)
from egretstack.ledger._messages import AttemptAsk, AttemptTell, ShardAsk, ShardTell
from egretstack.ledger._once import AtMostOnceCall
from egretstack.ledger._per_call import PerCallLedger
from egretstack.ledger._pruning import LedgerPruner, PruneResult
from egretstack.ledger._row import KeptAnswer, KeyId, Row, check_same_request, key_id
from egretstack.ledger._shard import (
    SHARD_COUNT,
    CorruptShard,
    Shard,
    head_name,
    read_rows,
    rows_spec,
    shard_number,
)
from egretstack.ledger._steps import (
    CreateSegment,
    DeleteSegment,
    Operation,
    OperationKind,
    Outcome,
    ReadHead,
    ReadSegment,
    Step,
    WriteHead,
)
from egretstack.ledger._store import ShardStore
from egretstack.ledger._writer import ShardWriter

__all__ = [
    "ACCOUNT_HEADER",
    "FENCING_HEADER",
    "KEY_HEADER",
    "SHARD_COUNT",
    "AttemptAsk",
    "AttemptRegistry",
    "AttemptTell",
    "InvalidShardRequest",
    "CorruptShard",
    "CallLedger",
    "CallState",
    "DeleteSegment",
    "Intent",
    "IntentRequest",
    "KeptAnswer",
    "KeyId",
    "LedgerEntry",
    "LedgerPruner",
    "LookupResult",
    "CreateSegment",
    "NextAction",
    "AtMostOnceCall",
    "Operation",
    "Outcome",
    "PerCallLedger",
    "PruneResult",
    "ReadHead",
    "ReadSegment",
    "Row",
    "SendHistory",
    "Shard",
    "ShardAsk",
    "ShardStore",
    "ShardTell",
    "ShardWriter",
    "Stage",
    "Step",
    "OperationKind",
    "WriteHead",
    "make_shard_request",
    "check_same_request",
    "fingerprint",
    "head_name",
    "find_ledger_home",
    "key_id",
    "make_lookup_request",
    "next_action",
    "parse_shard_request",
    "parse_lookup",
    "read_rows",
    "rows_spec",
    "shard_number",
    "apply_shard_answer",
    "make_shard_answer",
]
