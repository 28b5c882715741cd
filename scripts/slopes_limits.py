"""Measures what limits cost each node, how much of a limit is usable, and the overshoot.

Prints JSON lines; run it from the root with `python -m scripts.slopes_limits`. Entries are objects
in simulated time; messages pass through the real codec. With the arguments `cost`, `use` or
`faults` it prints only those.
"""

import gc
import json
import random
import sys
import time
import tracemalloc

from tests.limits_fleet import Fleet, contract, required_burst

SEED = 7
COST_S = 30
USE_S = 40
NODES = (5, 20, 80, 320)
ENTRIES_PER_ACCOUNT = 3
"""Number of entries that serve each account in the cost measurement."""


def measure_cost(nodes: int, accounts_each: int) -> dict:
    """Measure steady demand: `accounts_each` accounts per node, on ENTRIES_PER_ACCOUNT entries."""
    account_count = max(1, nodes * accounts_each // ENTRIES_PER_ACCOUNT)
    contracts = [contract(f"account-{n}", 20, 40, 100) for n in range(account_count)]
    rng = random.Random(SEED)
    fleet = Fleet(nodes, contracts)
    names = fleet.nodes()
    entries_by_account = {
        one.account: rng.sample(names, min(ENTRIES_PER_ACCOUNT, nodes)) for one in contracts
    }

    def demand() -> None:
        for account, entries in entries_by_account.items():
            if rng.random() < 0.3:
                fleet.request(rng.choice(entries), account, hold_s=5.0)

    fleet.run(5, demand)
    messages = sum(node.sent_messages for node in names)
    size = sum(node.sent_bytes for node in names)
    began = time.process_time()
    fleet.run(COST_S, demand)
    used = time.process_time() - began
    share = 1 / (COST_S * nodes)
    return {
        "kind": "cost",
        "nodes": nodes,
        "accounts": account_count,
        "active_accounts_per_node": round(
            account_count * min(ENTRIES_PER_ACCOUNT, nodes) / nodes, 1
        ),
        "messages_per_s": round((sum(n.sent_messages for n in names) - messages) * share, 3),
        "bytes_per_s": round((sum(n.sent_bytes for n in names) - size) * share, 1),
        "cpu_us_per_s": round(used * 1e6 * share, 1),
        "memory_bytes": _measure_memory(nodes, contracts, entries_by_account),
    }


def _measure_memory(nodes: int, contracts: list, entries_by_account: dict) -> int:
    """Return the growth of a node's memory after each of its accounts was active, in bytes."""
    fleet = Fleet(nodes, contracts)
    gc.collect()
    tracemalloc.start()
    for account, entries in entries_by_account.items():
        for node in entries:
            fleet.request(fleet.node_by_name[node.name], account, hold_s=5.0)
    fleet.run(3)
    fleet.admitted.clear()
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return grown // nodes


def measure_use(nodes: int, spread: int, over: float, burst: int, slots: int) -> dict:
    """Return the used shares of the rate and of the slots with demand on `spread` entries."""
    return {
        "kind": "use",
        "nodes": nodes,
        "spread": spread,
        "demand": over,
        "burst": burst,
        "rate_share": _measure_rate_share(nodes, spread, over, burst),
        "slots": slots,
        "slots_share": _measure_slots_share(nodes, spread, over, slots),
    }


def _measure_rate_share(nodes: int, spread: int, over: float, burst: int) -> float:
    rate = 20
    fleet = Fleet(nodes, [contract("acme", rate, burst, 10_000)])
    entries, rng = fleet.nodes()[:spread], random.Random(SEED)

    def demand() -> None:
        for _ in range(10):
            if rng.random() < over * rate * 0.05 / 10:
                fleet.request(rng.choice(entries))

    fleet.run(10, demand)
    fleet.admitted.clear()
    fleet.run(USE_S, demand)
    return round(len(fleet.admitted) / (USE_S * rate), 3)


def _measure_slots_share(nodes: int, spread: int, over: float, slots: int) -> float:
    fleet = Fleet(nodes, [contract("acme", 10_000, 10_000, slots)])
    entries, rng = fleet.nodes()[:spread], random.Random(SEED)
    open_counts = []

    def demand() -> None:
        for _ in range(slots):
            if rng.random() < over * 0.05 / 2.0:
                fleet.request(rng.choice(entries), hold_s=2.0)
        open_counts.append(fleet.open_total())

    fleet.run(10, demand)
    open_counts.clear()
    fleet.run(USE_S, demand)
    return round(sum(open_counts) / len(open_counts) / slots, 3)


def measure_overshoot(fault: str, nodes: int = 20, slots: int = 100) -> dict:
    """Return the peak of open requests during and after a fault, relative to the contract."""
    fleet = Fleet(nodes, [contract("acme", 100, 100, slots)])
    rng = random.Random(SEED)
    home = fleet.home_of("acme")
    one_half = fleet.nodes()[: nodes // 2]
    other_half = fleet.nodes()[nodes // 2 :]
    most = [0]

    def demand() -> None:
        for _ in range(10):
            fleet.request(rng.choice(fleet.nodes()), hold_s=3.0)
        most[0] = max(most[0], fleet.open_total())

    def peak(seconds: float) -> float:
        most[0] = 0
        fleet.run(seconds, demand)
        return round(most[0] / slots, 3)

    whole = peak(15)
    began = fleet.now
    _begin_fault(fleet, fault, home, one_half, other_half)
    blind = peak(3)
    _update_views(fleet, fault, home, one_half, other_half)
    during = peak(30)
    _end_fault(fleet, fault, home)
    after = peak(20)
    settled = peak(20)
    times = [at for at, _, _ in fleet.admitted if at >= began]
    return {
        "kind": "overshoot",
        "fault": fault,
        "whole": whole,
        "before_the_views_change": blind,
        "during": during,
        "after_the_mend": after,
        "settled": settled,
        "burst_of_contract": round(required_burst(times, 100) / 100, 3),
    }


def _begin_fault(fleet: Fleet, fault: str, home, one_half: list, other_half: list) -> None:
    if fault == "partition":
        fleet.cut(one_half, other_half)
    elif fault == "home killed":
        fleet.kill(home)
    elif fault == "home frozen and thawed":
        home.paused = True
    elif fault == "home cut off":
        fleet.cut([home], fleet.others(home))


def _update_views(fleet: Fleet, fault: str, home, one_half: list, other_half: list) -> None:
    if fault == "partition":
        for side in (one_half, other_half):
            for node in side:
                fleet.set_view(node, [one.name for one in side])
    elif fault == "home killed":
        fleet.refresh_views()
    else:
        for node in fleet.others(home):
            fleet.set_view(node, [one.name for one in fleet.others(home)])


def _end_fault(fleet: Fleet, fault: str, home) -> None:
    home.paused = False
    fleet.cuts.clear()
    if fault == "home frozen and thawed":
        fleet.run(2)
    fleet.refresh_views()


def main() -> None:
    """Print the requested measurements."""
    wanted = sys.argv[1:] or ["cost", "use", "faults"]
    if "cost" in wanted:
        for nodes in NODES:
            for accounts_each in (2, 5, 10) if nodes < 320 else (2, 5):
                print(json.dumps(measure_cost(nodes, accounts_each)), flush=True)
    if "use" in wanted:
        for nodes in NODES:
            for spread in sorted({1, 2, nodes}):
                for over in (0.8, 2.0):
                    print(json.dumps(measure_use(nodes, spread, over, 20, 50)), flush=True)
    if "faults" in wanted:
        for fault in ("partition", "home killed", "home frozen and thawed", "home cut off"):
            print(json.dumps(measure_overshoot(fault)), flush=True)


if __name__ == "__main__":
    main()
