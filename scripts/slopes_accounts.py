"""Measures the cost of an account: configuration in memory, on the wire and changed; metrics."""

from collections.abc import Iterator
from functools import partial

from egretstack.configuration import (
    ConfigurationState,
    Delta,
    Head,
    OfferResult,
    Snapshot,
    delta_message,
    head_digest,
    part_digest,
    snapshot_piece,
)
from egretstack.ids import ChangeId, Revision
from egretstack.metrics import Metrics
from egretstack.peers import encode
from scripts._slope import (
    OBJECT_SIZES,
    REPEATS,
    fit,
    measure_cpu_us,
    measure_held_bytes,
    print_slope,
)

ROUNDS = 10
DELTAS = ROUNDS * REPEATS


def make_snapshot(accounts: int, revision: int = 1) -> Snapshot:
    """Make a configuration with this many contracts of typical length."""
    sections_by_part = {
        f"contract.account-{number}": {
            "contract": {
                "account": f"account-{number}",
                "key_sha256": f"{number:064x}",
                "value": "150",
                "services": "egret-llm,bokun-app",
            },
            "limits": {"requests_per_s": "50", "burst": "100", "concurrency": "300"},
            "weights": {"stall": "0.2", "preemptions": "0.1", "tail": "0.7"},
        }
        for number in range(accounts)
    }
    digests = {part: part_digest(sections) for part, sections in sections_by_part.items()}
    head = Head(Revision(revision), ChangeId("0123456789abcdef"), digests)
    return Snapshot(head, sections_by_part)


def make_state(accounts: int) -> ConfigurationState:
    """Make a state with such a configuration in force."""
    state = ConfigurationState()
    state.offer(make_snapshot(accounts))
    return state


def apply_snapshot(snapshot: Snapshot) -> None:
    """Apply a configuration to a process that has none."""
    ConfigurationState().offer(snapshot)


def snapshot_bytes(accounts: int) -> int:
    """Return the total size of the pieces that send the configuration to a starting instance."""
    snapshot = make_snapshot(accounts)
    total = 0
    after = ""
    while True:
        message = snapshot_piece(snapshot, after)
        total += len(encode(message))
        if not message.more:
            return total
        after = max(message.sections_by_part)


def make_delta(accounts: int) -> Delta:
    """Make the delta that changes one contract in a configuration with this many."""
    snapshot = make_snapshot(accounts)
    part = "contract.account-0"
    sections = snapshot.sections_by_part[part] | {"limits": {"burst": "200"}}
    digests = snapshot.head.digest_by_part | {part: part_digest(sections)}
    return Delta(
        snapshot.head.revision,
        snapshot.head.change_id,
        (ChangeId("fedcba9876543210"),),
        head_digest(digests),
        {part: sections},
    )


def apply_delta(state: ConfigurationState, deltas: Iterator[Delta]) -> None:
    """Apply the next of several deltas."""
    if state.offer_delta(next(deltas)) is not OfferResult.APPLIED:
        raise RuntimeError("the delta was not applied")


def make_deltas(accounts: int, count: int) -> Iterator[Delta]:
    """Yield consecutive deltas, each based on the one before."""
    base = make_snapshot(accounts).head
    digests = dict(base.digest_by_part)
    part = "contract.account-0"
    revision, change = base.revision, base.change_id
    for number in range(count):
        sections = make_snapshot(1).sections_by_part[part] | {
            "limits": {"burst": str(200 + number)}
        }
        digests[part] = part_digest(sections)
        next_change = ChangeId(f"{number:016x}")
        yield Delta(revision, change, (next_change,), head_digest(digests), {part: sections})
        revision, change = Revision(revision + 1), next_change


def make_metrics(accounts: int) -> Metrics:
    """Make the metrics of an entry that has served this many accounts."""
    metrics = Metrics()
    for number in range(accounts):
        account = f"account-{number}"
        metrics.sessions.labels(account, "finished").inc()
        metrics.tokens.labels(account).inc()
        metrics.first_token.labels(account).observe(0.1)
        metrics.gap.labels(account).observe(0.01)
    return metrics


def print_account_slopes() -> None:
    """Measure and print the slopes per account."""
    sizes = OBJECT_SIZES
    held = {size: measure_held_bytes(lambda size=size: make_state(size)) for size in sizes}
    print_slope(fit("configuration_memory", "bytes", "account", held))
    wire = {size: snapshot_bytes(size) for size in sizes}
    print_slope(fit("configuration_snapshot_wire", "bytes", "account", wire))
    changed = {size: len(encode(delta_message(make_delta(size)))) for size in sizes}
    print_slope(fit("configuration_change_wire", "bytes", "account", changed))
    started = {size: measure_cpu_us(partial(apply_snapshot, make_snapshot(size))) for size in sizes}
    print_slope(fit("configuration_start_cpu", "us", "account", started))
    applied = {
        size: measure_cpu_us(
            partial(apply_delta, make_state(size), make_deltas(size, DELTAS)), ROUNDS
        )
        for size in sizes
    }
    print_slope(fit("configuration_change_cpu", "us", "account", applied))
    metrics = {size: measure_held_bytes(lambda size=size: make_metrics(size)) for size in sizes}
    print_slope(fit("metrics_memory", "bytes", "account", metrics))


if __name__ == "__main__":
    print_account_slopes()
