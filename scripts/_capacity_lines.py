"""Computes the lines of the capacity page, role by role, from the stored slopes."""

from collections.abc import Callable

from egretstack.membership import MAX_REPORTS, ReadingPlan
from egretstack.services.peer_port import MAX_LINKS
from scripts._capacity_platform import placing_home_lines, platform_prose_figures
from scripts._sheet import Line, Resource, Slopes, format_amount
from scripts._target import BOUNDS, DAY_S, TARGET

PROCESSES = 2
"""Processes per instance: an entry and a steward."""
LIST_PERIOD_S = ReadingPlan.make(1.0, TARGET.members, 0, TARGET.nodes).period_s
"""Time between two reads of the instance list by one process, as planned by the product."""
REPORTS_PER_RUNNER = 2
"""Load reports read per runner and second when the stored slope of idle entries was measured."""
REPORTS_PER_S = 2.0
"""Load reports that an entry reads per second, independent of the number of runners: the default
of the setting `engines.report_readings_per_s`."""
CORE_US_PER_S = 1_000_000
ACTIVE_ACCOUNTS = 10
"""Accounts active on an entry if the callers of each account are spread over six entries."""
LEDGER_CALLS_PER_S = 800
"""At-most-once calls per second: the highest rate that was run; the users give no figure."""

_LIST_CARRIER = "processes take turns; what one finds spreads with heartbeats"
_REPORTS_CARRIER = f"each entry reads at most {MAX_REPORTS} runners, at a bounded rate"
_CHANGES_CARRIER = "watchers at the head, then the changed parts from peer to peer"


def entry_lines(slopes: Slopes) -> list[Line]:
    """Return the costs of serving sessions for one entry process."""
    return [
        Line(
            "tokens",
            Resource.CORE,
            ("path.entry_token_cpu",),
            f"{TARGET.node_tokens:,.0f} tokens/s",
            TARGET.node_tokens * slopes.unit_cost("path.entry_token_cpu"),
            "one write for each token",
        ),
        Line(
            "requests",
            Resource.CORE,
            ("path.entry_request_cpu",),
            f"{TARGET.node_requests:.1f} requests/s",
            TARGET.node_requests * slopes.unit_cost("path.entry_request_cpu"),
            "a new connection each way for each request",
        ),
        Line(
            "choice of a runner",
            Resource.CORE,
            ("runners.policy_request_cpu",),
            f"{TARGET.node_requests:.1f} requests/s x {TARGET.runners:,} runners",
            TARGET.node_requests * slopes.value_at("runners.policy_request_cpu", TARGET.runners),
            "policy",
        ),
        Line(
            "open sessions",
            Resource.DATA_MEMORY,
            ("path.entry_session_memory",),
            f"{TARGET.open_sessions:.0f} sessions",
            TARGET.open_sessions * slopes.unit_cost("path.entry_session_memory"),
            "connections, and the last events kept for a caller who comes back",
        ),
    ]


def instance_lines(slopes: Slopes) -> list[Line]:
    """Return the control costs of each instance: those of its entry and its steward."""
    return [
        *_list_lines(slopes),
        *_report_lines(slopes),
        *_configuration_lines(slopes),
        *_idle_lines(slopes),
    ]


def _list_lines(slopes: Slopes) -> list[Line]:
    basis = f"{PROCESSES} x {TARGET.members:,} members every {LIST_PERIOD_S:.0f} s"
    answer = slopes.value_at("runners.instance_list_answer", TARGET.members)
    read = slopes.value_at("runners.instance_list_read_cpu", TARGET.members)
    return [
        Line(
            "instance list",
            Resource.TRAFFIC,
            ("runners.instance_list_answer",),
            basis,
            PROCESSES * answer / LIST_PERIOD_S,
            _LIST_CARRIER,
        ),
        Line(
            "instance list",
            Resource.CPU,
            ("runners.instance_list_read_cpu",),
            basis,
            PROCESSES * read / LIST_PERIOD_S,
            _LIST_CARRIER,
        ),
    ]


def _report_lines(slopes: Slopes) -> list[Line]:
    basis = f"{REPORTS_PER_S:g} reports/s"
    report_us = slopes.unit_cost("path.entry_idle_cpu") / REPORTS_PER_RUNNER
    return [
        Line(
            "load reports",
            Resource.TRAFFIC,
            ("runners.load_report_wire",),
            basis,
            slopes.unit_cost("runners.load_report_wire") * REPORTS_PER_S,
            _REPORTS_CARRIER,
        ),
        Line(
            "load reports",
            Resource.CPU,
            ("path.entry_idle_cpu",),
            basis + ", two of them the slope of a runner",
            report_us * REPORTS_PER_S,
            _REPORTS_CARRIER,
        ),
        Line(
            "runners as the policy holds them",
            Resource.MEMORY,
            ("runners.policy_memory",),
            f"{TARGET.runners:,} runners",
            slopes.value_at("runners.policy_memory", TARGET.runners),
            "one record for each runner",
        ),
    ]


def _configuration_lines(slopes: Slopes) -> list[Line]:
    rate = PROCESSES * TARGET.changes
    basis = f"{TARGET.changes_a_day:,} changes a day x {PROCESSES} processes"
    starts = (TARGET.failed_a_day + TARGET.replaced_a_day) / DAY_S
    snapshot = slopes.value_at("accounts.configuration_snapshot_wire", TARGET.parts)
    return [
        Line(
            "changes",
            Resource.TRAFFIC,
            ("accounts.configuration_change_wire",),
            basis,
            rate * slopes.value_at("accounts.configuration_change_wire", TARGET.parts),
            _CHANGES_CARRIER,
        ),
        Line(
            "changes",
            Resource.CPU,
            ("accounts.configuration_change_cpu",),
            f"{basis} x {TARGET.parts} parts",
            rate * slopes.value_at("accounts.configuration_change_cpu", TARGET.parts),
            _CHANGES_CARRIER,
        ),
        Line(
            "whole configuration for starting instances",
            Resource.TRAFFIC,
            ("accounts.configuration_snapshot_wire",),
            f"{TARGET.failed_a_day + TARGET.replaced_a_day} starts a day x {TARGET.parts} parts, "
            "were one peer to give all of it",
            PROCESSES * starts * snapshot,
            "pieces from a peer",
        ),
        Line(
            "configuration in force",
            Resource.MEMORY,
            ("accounts.configuration_memory",),
            f"{PROCESSES} processes x {TARGET.parts} parts",
            PROCESSES * slopes.value_at("accounts.configuration_memory", TARGET.parts),
            "each process holds all of it",
        ),
        Line(
            "metrics by account",
            Resource.MEMORY,
            ("accounts.metrics_memory",),
            f"{TARGET.accounts} accounts",
            slopes.value_at("accounts.metrics_memory", TARGET.accounts),
            "a set of series for each account that an entry serves",
        ),
    ]


def _idle_lines(slopes: Slopes) -> list[Line]:
    basis = f"{TARGET.nodes} instances"
    return [
        Line(
            "heartbeats",
            Resource.TRAFFIC,
            ("membership.traffic",),
            basis,
            slopes.value_at("membership.traffic", TARGET.nodes),
            "to a few neighbours chosen by hash",
        ),
        Line(
            "links between instances",
            Resource.TRAFFIC,
            ("nodes.idle_bytes",),
            basis,
            slopes.value_at("nodes.idle_bytes", TARGET.nodes),
            "heartbeats and asking peers for a newer revision, as objects",
        ),
        Line(
            "all that runs by itself, without sockets",
            Resource.CPU,
            ("nodes.idle_cpu",),
            basis,
            slopes.value_at("nodes.idle_cpu", TARGET.nodes),
            "timers of entry and steward",
        ),
        Line(
            "the two processes",
            Resource.MEMORY,
            ("path.entry_idle_memory",),
            f"{PROCESSES} processes, the steward taken to be as large as the entry",
            PROCESSES * slopes.unit_cost("path.entry_idle_memory"),
            "interpreter and libraries",
        ),
        Line(
            "links and what else grows with the fleet",
            Resource.MEMORY,
            ("memory.idle_memory",),
            basis,
            slopes.unit_cost("memory.idle_memory") * TARGET.nodes,
            "a buffer at each end of each link",
        ),
    ]


def limits_lines(slopes: Slopes) -> list[Line]:
    """Return the costs of granting limits for an instance, as entry and as limits home."""
    carrier = "limits lent by an account's home instance, renewed by the entries that use them"
    basis = f"{ACTIVE_ACCOUNTS} active accounts on each entry"
    return [
        Line(what, resource, (name,), basis, slopes.value_at(name, ACTIVE_ACCOUNTS), carrier)
        for what, resource, name in (
            ("asking and granting", Resource.TRAFFIC, "limits.traffic"),
            ("asking and granting", Resource.CPU, "limits.cpu"),
            ("what is lent and held", Resource.MEMORY, "limits.memory"),
        )
    ]


def relay_lines(slopes: Slopes) -> list[Line]:
    """Return the traffic of the busiest steward while changes are distributed."""
    return [
        Line(
            "news and changed parts",
            Resource.TRAFFIC,
            ("configuration.busiest",),
            f"{TARGET.nodes} instances, {TARGET.changes_a_day:,} changes a day",
            slopes.value_at("configuration.busiest", TARGET.nodes),
            "a tree of stewards, four below each; the busiest of them",
        )
    ]


def ledger_lines(slopes: Slopes) -> list[Line]:
    """Return the object API calls that at-most-once calls cause."""
    basis = f"{LEDGER_CALLS_PER_S} such calls a second, over 40 entries"
    carrier = "shards with group commit, each written by its home instance alone"
    return [
        Line(
            "intents and outcomes",
            Resource.WRITES,
            ("ledger.writes",),
            basis,
            slopes.value_at("ledger.writes", LEDGER_CALLS_PER_S),
            carrier,
        ),
        Line(
            "reading shards",
            Resource.READS,
            ("ledger.reads",),
            basis,
            slopes.value_at("ledger.reads", LEDGER_CALLS_PER_S),
            carrier,
        ),
    ]


def fit_runs(slopes: Slopes) -> None:
    """Fit slopes to the rows of the scripts that print runs rather than slopes."""
    for value, name, unit in (
        ("bytes_per_s", "limits.traffic", "bytes/s"),
        ("cpu_us_per_s", "limits.cpu", "us/s"),
        ("memory_bytes", "limits.memory", "bytes"),
    ):
        size = ("active account", "active_accounts_per_node")
        slopes.fit_rows(name, unit, size, value, kind="cost", nodes=80)
    slopes.fit_rows("membership.traffic", "bytes/s", ("instance", "instances"), "bytes_per_s")
    tree = {"what": "in_force", "width": 4}
    busiest = "bytes_a_second_of_the_busiest"
    instance = ("instance", "stewards")
    slopes.fit_rows("configuration.busiest", "bytes/s", instance, busiest, **tree)
    slopes.fit_rows("configuration.seconds", "s", instance, "seconds", **tree)
    shards = {"way": "homed", "entries": 40, "shards": 8, "pace_ms": 50}
    offered = ("call a second", "offered_per_s")
    slopes.fit_rows("ledger.writes", "calls/s", offered, "writes_per_s", **shards)
    slopes.fit_rows("ledger.reads", "calls/s", offered, "reads_per_s", **shards)


def object_api_lines(slopes: Slopes) -> list[Line]:
    """Return the object API calls of the whole fleet."""
    return [
        Line(
            "configuration, at rest",
            Resource.READS,
            ("nodes.idle_object_api_calls",),
            f"{TARGET.nodes} instances",
            slopes.value_at("nodes.idle_object_api_calls", TARGET.nodes),
            "a few watchers; the others read the head now and then at a rate the fleet shares",
        ),
        Line(
            "waiting watches",
            Resource.READS,
            ("nodes.idle_waiting_watches",),
            f"{TARGET.nodes} instances, each watch as one call a second",
            slopes.value_at("nodes.idle_waiting_watches", TARGET.nodes),
            "a few watchers",
        ),
        Line(
            "configuration, changes",
            Resource.READS,
            ("nodes.change_object_api_calls",),
            f"{TARGET.changes_a_day:,} changes a day",
            TARGET.changes * slopes.value_at("nodes.change_object_api_calls", TARGET.nodes),
            "the changed part comes with the head",
        ),
    ]


def prose_figures(slopes: Slopes) -> dict[str, str]:
    """Return the figures that the prose of the page refers to."""
    writes = slopes.slope_by_name["ledger.writes"]
    token_us = slopes.unit_cost("path.entry_token_cpu")
    report_us = slopes.unit_cost("path.entry_idle_cpu") / REPORTS_PER_RUNNER
    sessions = TARGET.open_sessions * TARGET.nodes
    return {
        "in_force": f"{max(slopes.slope_by_name['configuration.seconds'].values):.2f}",
        "ledger_calls": f"{max(writes.sizes):.0f}",
        "ledger_share": f"{TARGET.requests / max(writes.sizes):.1f}",
        "links": f"{slopes.value_at('nodes.links_busiest', TARGET.nodes):.0f}",
        "link_memory": format_amount(slopes.unit_cost("memory.idle_memory"), "bytes"),
        "max_links": f"{MAX_LINKS}",
        "reports": f"{REPORTS_PER_S:g}",
        "max_reports": f"{MAX_REPORTS}",
        "link_end": format_amount(slopes.unit_cost("runners.link_memory"), "bytes"),
        "reports_a_core_share": f"{BOUNDS.cpu_us / report_us:.1f}",
        "node_tokens": f"{TARGET.node_tokens:,.0f}",
        "token_us": f"{token_us:.0f}",
        "tokens_a_core": f"{CORE_US_PER_S / token_us:,.0f}",
        "entry_processes": f"{TARGET.node_tokens * token_us / CORE_US_PER_S:.1f}",
        "sessions": f"{sessions:,.0f}",
        "node_sessions": f"{TARGET.open_sessions:.0f}",
        "zone_sessions": f"{sessions / TARGET.zones:,.0f}",
        "zone_sessions_a_node": f"{sessions / TARGET.zones / (TARGET.nodes * 0.9):.0f}",
        "zone_nodes": f"{TARGET.nodes // TARGET.zones}",
        "snapshot": format_amount(
            slopes.value_at("accounts.configuration_snapshot_wire", TARGET.parts), "bytes"
        ),
        "report_us": f"{report_us:,.0f}",
    } | platform_prose_figures(slopes)


LINES_BY_TABLE: dict[str, Callable[[Slopes], list[Line]]] = {
    "entry": entry_lines,
    "every_node": instance_lines,
    "homes": limits_lines,
    "placing_home": placing_home_lines,
    "relays": relay_lines,
    "ledger": ledger_lines,
    "object_api": object_api_lines,
}
