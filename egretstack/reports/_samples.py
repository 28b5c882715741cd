"""Sums over Prometheus samples."""

from collections import Counter
from collections.abc import Iterable

from prometheus_client.samples import Sample


def sessions_by_account(samples: Iterable[Sample]) -> Counter:
    """Return the number of ended sessions by account and outcome."""
    totals: Counter = Counter()
    for sample in samples:
        if sample.name == "egret_sessions_total":
            totals[sample.labels["account"], sample.labels["outcome"]] += sample.value
    return totals
