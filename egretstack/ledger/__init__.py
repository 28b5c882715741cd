"""The record of calls that run at most once."""

from egretstack.ledger._attempts import (
    AttemptBook,
    NextMove,
    SendHistory,
    Stage,
    next_move,
)
from egretstack.ledger._entry import CallState, LedgerEntry, fingerprint
from egretstack.ledger._homes import (
    BadAsk,
    ask_of,
    home_of,
    operation_of,
    take_tell,
    tell_of,
)
from egretstack.ledger._intents import CallLedger, Intent, IntentRequest
from egretstack.ledger._lookup import (
    ACCOUNT_HEADER,
    FENCING_HEADER,
    KEY_HEADER,
    LookUp,
    lookup_request,
    read_lookup,
)
from egretstack.ledger._messages import AttemptAsk, AttemptTell, ShardAsk, ShardTell
from egretstack.ledger._once import OnceCall
from egretstack.ledger._per_call import PerCallLedger
from egretstack.ledger._pruning import LedgerPruner, Pruned
from egretstack.ledger._row import KeptAnswer, KeyId, Row, check_same_request, key_id
from egretstack.ledger._shard import (
    SHARDS,
    BadShard,
    Shard,
    head_name,
    read_rows,
    rows_spec,
    shard_number,
)
from egretstack.ledger._steps import (
    DropSegment,
    MakeSegment,
    Operation,
    Outcome,
    ReadHead,
    ReadSegment,
    Step,
    Wanted,
    WriteHead,
)
from egretstack.ledger._store import ShardStore
from egretstack.ledger._writer import ShardWriter

__all__ = [
    "ACCOUNT_HEADER",
    "FENCING_HEADER",
    "KEY_HEADER",
    "SHARDS",
    "AttemptAsk",
    "AttemptBook",
    "AttemptTell",
    "BadAsk",
    "BadShard",
    "CallLedger",
    "CallState",
    "DropSegment",
    "Intent",
    "IntentRequest",
    "KeptAnswer",
    "KeyId",
    "LedgerEntry",
    "LedgerPruner",
    "LookUp",
    "MakeSegment",
    "NextMove",
    "OnceCall",
    "Operation",
    "Outcome",
    "PerCallLedger",
    "Pruned",
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
    "Wanted",
    "WriteHead",
    "ask_of",
    "check_same_request",
    "fingerprint",
    "head_name",
    "home_of",
    "key_id",
    "lookup_request",
    "next_move",
    "operation_of",
    "read_lookup",
    "read_rows",
    "rows_spec",
    "shard_number",
    "take_tell",
    "tell_of",
]
