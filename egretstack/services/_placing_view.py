"""What an instance knows of placing, as plain values for an operator. Does no I/O.

Lists are bounded, whatever the fleet holds, and contain no prompts, ids of requests or keys. To add
a list: a function that returns bounded rows, a line in `placing_view`, and a table in
`programs/_placing.py`.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import nlargest, nsmallest

from egretstack.fleet import RunnerTable
from egretstack.ids import RunnerId, ServiceName
from egretstack.placing import Placer, speed_row
from egretstack.routing import EngineConfig

MAX_ENGINES = 256
MAX_ACCOUNTS = 32
MAX_RETURNS = 8
MAX_SERVICES = 16
MAX_QUEUE_ROWS = 32
MAX_HEADROOM_RANKS = 16
MAX_SHARE_RANK = 15
"""Highest rank that the shares tell apart; they may count higher ones as this one."""
MAX_NAME_CHARACTERS = 64

NO_ACCOUNT, WITHIN_SHARE, ABOVE_SHARE = "none", "within-share", "above-share"
"""Classes of client accounts: none, or whether the account takes far more than an even share."""

Rows = list[dict[str, object]]


@dataclass(frozen=True)
class ViewSource:
    """What the view is made from."""

    placer: Placer
    runners: RunnerTable
    engine_of: Callable[[ServiceName], EngineConfig | None]
    """Returns the engine configuration of a service; None for a plain or unknown one."""
    observed_s: Callable[[RunnerId], int]
    """Returns for how many seconds this instance holds timings of an engine."""


def placing_view(now_s: float, source: ViewSource, *, fleet_wide: bool) -> dict[str, object]:
    """Return all lists; `fleet_wide` is for the home, which knows every run."""
    placer = source.placer
    engines = _engine_rows(now_s, source, fleet_wide)
    ranks_by_account = _ranks_by_account(placer)
    above = _accounts_above_share(now_s, placer, ranks_by_account)
    accounts = _account_rows(placer, ranks_by_account, above)
    queue = _queue_rows(now_s, placer, above)
    return {
        "prefill_tokens_per_s": round(placer.registry.prefill_per_s),
        "engines": nlargest(MAX_ENGINES, engines, key=lambda row: row["memory_tokens"]),
        "engines_omitted": max(0, len(engines) - MAX_ENGINES),
        "speeds": _speed_rows(source)[:MAX_ENGINES],
        "accounts": nlargest(
            MAX_ACCOUNTS, accounts, key=lambda row: (row["memory_tokens"], row["waiting"])
        ),
        "accounts_omitted": max(0, len(accounts) - MAX_ACCOUNTS),
        "queue": queue[:MAX_QUEUE_ROWS],
        "queue_omitted": max(0, len(queue) - MAX_QUEUE_ROWS),
        "returns": _returns(now_s, getattr(placer, "refusals", None)),
        "headroom": _headroom_rows(now_s, getattr(placer, "sharing", None)),
    }


def _engine_rows(now_s: float, source: ViewSource, fleet_wide: bool) -> Rows:
    rows = []
    for runner_id, load in source.placer.registry.loads(now_s, fleet_wide=fleet_wide).items():
        runner = source.runners.by_id[runner_id]
        engine = source.engine_of(runner.service)
        if engine is None:
            continue
        rows.append(
            {
                "runner": _name(runner_id),
                "service": _name(runner.service),
                "ready": source.runners.is_ready(runner_id),
                "runs": load.runs,
                "slots": min(engine.batch_slots, runner.slots),
                "memory_tokens": round(load.used_tokens),
                "copy_tokens": round(load.copy_tokens),
                "capacity_tokens": engine.kv_capacity_tokens,
                "prefill_wait_ms": round(load.prefill_wait_s(now_s) * 1000),
            }
        )
    return rows


def _speed_rows(source: ViewSource) -> Rows:
    rows = []
    for runner_id, speed in sorted(source.placer.registry.speeds.by_id().items()):
        prefill_percent, step_percent = speed_row(speed)
        rows.append(
            {
                "runner": _name(runner_id),
                "prefill_percent": prefill_percent,
                "step_percent": step_percent,
                "observed_s": source.observed_s(runner_id),
            }
        )
    return rows


def _ranks_by_account(placer: Placer) -> dict[str, set[int]]:
    """Return the ranks of the requests that each account has in progress or waiting."""
    ranks_by_account: dict[str, set[int]] = {}
    requests = [run.request for run in placer.registry.runs()]
    requests += [queued.request for queued in placer.waiting_requests()]
    for request in requests:
        ranks_by_account.setdefault(request.account, set()).add(request.rank)
    return ranks_by_account


def _account_rows(placer: Placer, ranks_by_account: dict[str, set[int]], above: set[str]) -> Rows:
    """Return a row for each account that has runs or waits."""
    runs: Counter[str] = Counter()
    tokens: Counter[str] = Counter()
    waiting = Counter(queued.request.account for queued in placer.waiting_requests())
    for run in placer.registry.runs():
        runs[run.request.account] += 1
        tokens[run.request.account] += placer.registry.forecast_tokens(run)
    total = sum(tokens.values())
    ahead = _received_ahead(getattr(placer, "sharing", None), ranks_by_account)
    return [
        {
            "account": _name(account),
            "class": _account_class(account, above),
            "runs": runs[account],
            "memory_tokens": round(tokens[account]),
            "memory_percent": round(100 * tokens[account] / total, 1) if total else 0.0,
            "waiting": waiting[account],
            "ahead_token_s": ahead.get(account),
        }
        for account in ranks_by_account
    ]


def _accounts_above_share(now_s: float, placer: Placer, accounts: Iterable[str]) -> set[str]:
    sharing = getattr(placer, "sharing", None)
    if sharing is None:
        return set(placer.registry.crowding_accounts())
    return {one for one in accounts if sharing.shares.is_crowding(now_s, one)}


def _received_ahead(sharing, ranks_by_account: dict[str, set[int]]) -> dict[str, int]:
    """Return how much more memory x time each account has received than the one that is next.

    The next one is that with the earliest virtual start in the rank; empty without shares.
    """
    if sharing is None:
        return {}
    # A rank that the shares don't know has the same start for all accounts, which adds nothing.
    ranks_by_account = {
        account: {*ranks, *(min(MAX_SHARE_RANK, rank) for rank in ranks)}
        for account, ranks in ranks_by_account.items()
    }
    first_by_rank: dict[int, float] = {}
    for account, ranks in ranks_by_account.items():
        for rank in ranks:
            start = sharing.shares.start(rank, account)
            first_by_rank[rank] = min(start, first_by_rank.get(rank, start))
    return {
        account: round(
            max(sharing.shares.start(rank, account) - first_by_rank[rank] for rank in it)
        )
        for account, it in ranks_by_account.items()
    }


def _queue_rows(now_s: float, placer: Placer, above: set[str]) -> Rows:
    """Return the waiting requests by rank and class of account."""
    waiting = placer.waiting_requests()
    prefill_per_s = placer.registry.prefill_per_s
    row_by_key: dict[tuple[int, str], dict] = {}
    for queued in waiting:
        key = queued.request.rank, _account_class(queued.request.account, above)
        row = row_by_key.setdefault(
            key, {"rank": key[0], "class": key[1], "waiting": 0, "late": 0, "oldest_s": 0.0}
        )
        row["waiting"] += 1
        row["late"] += queued.is_late(now_s, queued.request.context_tokens / prefill_per_s)
        row["oldest_s"] = max(row["oldest_s"], round(now_s - queued.order[1], 2))
    return [row_by_key[key] for key in sorted(row_by_key)]


def _returns(now_s: float, refusals) -> dict[str, object] | None:
    """Return the times at which refused callers may return; None where none are told one."""
    if refusals is None:
        return None
    return {
        "slots": len(refusals.slots),
        "next": [
            {
                "in_s": round(slot.due_s - now_s, 2),
                "rank": slot.rank,
                "service": _name(slot.service),
            }
            for slot in nsmallest(
                MAX_RETURNS, refusals.slots.upcoming(), key=lambda slot: slot.due_s
            )
        ],
    }


def _headroom_rows(now_s: float, sharing) -> Rows | None:
    """Return what requests of each rank leave free; None where accounts share nothing."""
    if sharing is None:
        return None
    rows = []
    headroom = sharing.headroom
    for service in sorted(headroom.services(now_s))[:MAX_SERVICES]:
        for rank in headroom.ranks(now_s, service)[1:MAX_HEADROOM_RANKS]:
            reserve = headroom.reserve(now_s, (service, rank))
            if reserve is not None:
                rows.append(
                    {
                        "service": _name(service),
                        "rank": rank,
                        "places": reserve.places,
                        "place_tokens": round(reserve.place_tokens),
                        "prefill_ms": round(reserve.prefill_s * 1000),
                    }
                )
    return rows


def _account_class(account: str, above: set[str]) -> str:
    if not account:
        return NO_ACCOUNT
    return ABOVE_SHARE if account in above else WITHIN_SHARE


def _name(text: str) -> str:
    return str(text)[:MAX_NAME_CHARACTERS]
