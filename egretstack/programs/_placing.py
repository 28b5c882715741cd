"""`egretctl placing`: shows an instance's view of engines, accounts, queue and return times."""

import json
import sys
from collections.abc import Sequence
from typing import Annotated

import httpx
import trio
from cyclopts import App, Parameter

from egretstack.errors import UserError
from egretstack.programs._ctl_common import TIMEOUT_S
from egretstack.programs._running import ExitCode, run_or_exit

MAX_BYTES = 1_048_576
"""Limit on the page; that of 256 engines and 32 accounts has about 60 kB."""
JSON_TYPE = "application/json"

_TABLES = (
    (
        "engines",
        "engines, the fullest first",
        (
            "runner",
            "service",
            "ready",
            "runs",
            "slots",
            "memory_tokens",
            "copy_tokens",
            "capacity_tokens",
            "prefill_wait_ms",
        ),
    ),
    (
        "speeds",
        "engines whose speed differs; 100 is the typical engine, 200 takes twice as long",
        ("runner", "prefill_percent", "step_percent", "observed_s"),
    ),
    (
        "accounts",
        "client accounts, the largest first",
        (
            "account",
            "class",
            "runs",
            "memory_tokens",
            "memory_percent",
            "waiting",
            "ahead_token_s",
        ),
    ),
    (
        "queue",
        "requests that wait, by rank (0 is the most urgent) and class of account",
        ("rank", "class", "waiting", "late", "oldest_s"),
    ),
    (
        "headroom",
        "left free for more urgent requests",
        ("service", "rank", "places", "place_tokens", "prefill_ms"),
    ),
)
"""Field, title and columns of each table."""
_RETURN_COLUMNS = ("in_s", "rank", "service")


def add_placing_command(app: App) -> None:
    """Add the command to `egretctl`."""

    @app.command(name="placing")
    def show_placing(
        address: str, /, *, json_output: Annotated[bool, Parameter(name="--json")] = False
    ) -> None:
        """Show what an instance of the users' platform knows of placing.

        The home knows the whole fleet; any other instance its own runs and what the home sent.

        Example: `egretctl placing 10.1.0.19:7201`

        Parameters
        ----------
        address
            HOST:PORT of the instance's metrics.
        json_output
            Print the page as it is served.
        """
        page = run_or_exit(lambda: trio.run(_fetch_or_exit, address))
        print(json.dumps(page) if json_output else format_placing(page))


async def _fetch_or_exit(address: str) -> dict:
    try:
        return await fetch_placing(address)
    except (httpx.HTTPError, trio.TooSlowError) as error:
        print(f"{address}: no answer: {error or repr(error)}", file=sys.stderr)
        sys.exit(ExitCode.UNAVAILABLE)


async def fetch_placing(address: str) -> dict:
    """Read an instance's page. Raises UserError, httpx.HTTPError, trio.TooSlowError."""
    try:
        url = httpx.URL(f"http://{address}/placing")
    except httpx.InvalidURL as error:
        raise UserError(f"{address}: is not HOST:PORT: {error}") from error
    with trio.fail_after(TIMEOUT_S):
        async with (
            httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client,
            client.stream("GET", url) as answer,
        ):
            data = b""
            async for part in answer.aiter_bytes():
                data += part
                if len(data) > MAX_BYTES:
                    raise UserError(f"{address}: its page is larger than {MAX_BYTES} bytes")
    return _parse(address, answer, data)


def _parse(address: str, answer: httpx.Response, data: bytes) -> dict:
    """Return the page. Raises UserError."""
    content_type = answer.headers.get("content-type", "")
    is_metrics = answer.status_code == 200 and content_type.startswith("text/plain")
    if answer.status_code == 404 or is_metrics:
        # An earlier version answers every path of the port with its metrics.
        raise UserError(f"{address}: has no /placing; the instance runs an earlier version")
    if answer.status_code != 200:
        raise UserError(f"{address}: /placing was answered with status {answer.status_code}")
    try:
        page = json.loads(data)
    except ValueError as error:
        raise UserError(f"{address}: /placing is not JSON: {error}") from error
    if not isinstance(page, dict) or "format" not in page:
        raise UserError(f"{address}: /placing is JSON of another kind; is it a metrics port?")
    return page


def format_placing(page: dict) -> str:
    """Return the page as tables; fields that are missing or of another kind are left out."""
    text = [_format_head(page)]
    for field, title, columns in _TABLES:
        rows = page.get(field)
        if isinstance(rows, list):
            omitted = page.get(f"{field}_omitted")
            more = f" ({omitted} more are left out)" if omitted else ""
            text.append(f"{title}{more}\n{_format_table(columns, rows)}")
    returns = page.get("returns")
    if isinstance(returns, dict):
        rows = returns.get("next")
        table = _format_table(_RETURN_COLUMNS, rows if isinstance(rows, list) else [])
        text.append(f"return times given: {_cell(returns.get('slots'))}; the next\n{table}")
    return "\n\n".join(text)


def _format_head(page: dict) -> str:
    role = "the home" if page.get("is_home") else f"its home is {_cell(page.get('home'))}"
    sharing = "shared by accounts" if page.get("shares_capacity") else "not shared by accounts"
    return (
        f"{_cell(page.get('instance'))}, version {_cell(page.get('version'))}: {role}\n"
        f"scarce capacity is {sharing}; the typical engine processes "
        f"{_cell(page.get('prefill_tokens_per_s'))} prompt tokens a second; "
        f"the list of runners is {_cell(page.get('runners_age_s'))} s old"
    )


def _format_table(columns: Sequence[str], rows: list) -> str:
    known = [row for row in rows if isinstance(row, dict)]
    if not known:
        return "  none"
    lines = [columns, *([_cell(row.get(name)) for name in columns] for row in known)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  "
        + "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _cell(value: object) -> str:
    """Return a value for a terminal, without control characters."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "".join(one if one.isprintable() else "?" for one in str(value))
