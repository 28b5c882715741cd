"""The record of calls that run at most once."""

from egretstack.ledger._entry import CallState, LedgerEntry, fingerprint
from egretstack.ledger._per_call import PerCallLedger

__all__ = ["CallState", "LedgerEntry", "PerCallLedger", "fingerprint"]
