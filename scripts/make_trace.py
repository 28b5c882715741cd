#!/usr/bin/env python3
"""Generates a trace of one day at a site, and the engines file for it.

A day is compressed to a quarter of an hour: 900 s of the trace. The load rises to a peak and
falls again; the mean over the day is `--load` times what the engines can generate. At noon the
length distributions change; one engine is reclaimed at the peak; a large account sends a burst.
The file is named after the parameters: SITE-LOAD-SEED[-SECONDSs][-ENGINESe].jsonl.
"""

import json
import math
import random
import sys
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

DAY_S = 900.0
MAX_OUTPUT = 24_000
RECLAIMED_AT_SHARE = 0.5
"""Time at which an engine is reclaimed, as a fraction of the day."""
BACK_AT_SHARE = 0.65
NOON = 0.5
BURST_SHARES = (0.6, 0.64)
BURST_FACTOR = 6
ACCOUNTS = 10


@dataclass(frozen=True)
class RequestKind:
    """One kind of request: share, value and length distribution (log-normal, Pareto tail)."""

    name: str
    request_share: float
    value: int
    stream: bool
    prompt_tokens: int
    median_tokens: float
    sigma: float
    tail_share: float
    """Fraction of the answers whose length is drawn from the tail."""
    afternoon_factor: float
    """Factor on the median length after noon."""


@dataclass(frozen=True)
class SiteSpec:
    """The service, zones, engines and kinds of requests of one site."""

    service: str
    model: str
    zones: tuple[str, ...]
    engines: int
    kinds: tuple[RequestKind, ...]
    weights: tuple[float, float, float]


SITES = {
    "nineras": SiteSpec(
        "match-llm",
        "match-dossier",
        ("leon-a", "leon-b", "irapuato"),
        6,
        (
            RequestKind("dossier", 0.35, 200, True, 1600, 900, 0.7, 0.03, 1.5),
            RequestKind("notice", 0.30, 80, False, 700, 180, 0.6, 0.0, 1.0),
            RequestKind("check", 0.35, 20, False, 500, 40, 1.0, 0.01, 1.0),
        ),
        (0.5, 0.4, 0.1),
    ),
    "hjolaferdir": SiteSpec(
        "egret-llm",
        "itinerary",
        ("hafnar", "hofda", "vellir"),
        7,
        (
            RequestKind("itinerary", 0.40, 150, True, 900, 1200, 0.8, 0.04, 0.7),
            RequestKind("question", 0.45, 60, True, 400, 90, 0.9, 0.01, 1.4),
            RequestKind("summary", 0.15, 40, False, 1500, 250, 0.5, 0.0, 1.0),
        ),
        (0.2, 0.1, 0.7),
    ),
}

KV_CAPACITY = 40_000
MAX_BATCH = 64
STEP_BASE_S = 0.02
STEP_PER_SEQUENCE_S = 0.0004
PREFILL_TOKENS_PER_S = 20_000

app = App(help="Make a trace and its engines file.")


@app.default
def make(
    site: str,
    load: float,
    seed: int,
    *,
    seconds: float = DAY_S,
    folder: Path = Path("traces"),
    few_engines: Annotated[int, Parameter(name="--engines")] = 0,
) -> None:
    """Write SITE-LOAD-SEED.jsonl and SITE.ini into a folder.

    Parameters
    ----------
    site
        nineras or hjolaferdir.
    load
        Offered tokens as a part of what the engines can generate.
    seed
        Seed of every draw.
    seconds
        Length of the compressed day; another one than 900 shows in the file's name.
    folder
        Where the files go.
    few_engines
        Engines, where it is not the site's own number; then the file's name tells.
    """
    spec = SITES[site]
    spec = replace(spec, engines=few_engines or spec.engines)
    suffix = "" if seconds == DAY_S else f"-{seconds:g}s"
    suffix += f"-{few_engines}e" if few_engines else ""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{site}-{load:g}-{seed}{suffix}.jsonl"
    lines = draw_requests(spec, load, seconds, random.Random(f"{site}-{load:g}-{seed}-{seconds:g}"))
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    (folder / f"{site}{suffix}.ini").write_text(format_engines_file(spec, seconds))
    print(f"{path}: {len(lines)} requests", file=sys.stderr)


def draw_requests(spec: SiteSpec, load: float, day_s: float, rng: random.Random) -> list[dict]:
    """Draw the requests of a day, ordered by time."""
    rate = load * capacity_tokens_per_s(spec) / mean_output(spec) / _mean_load_factor()
    lines = []
    at_s = 0.0
    max_rate = 1.5 * rate * BURST_FACTOR
    while True:
        at_s += rng.expovariate(max_rate)
        if at_s >= day_s:
            return lines
        day_share = at_s / day_s
        account = _draw_account(day_share, rng)
        if rng.random() * max_rate < rate * _load_factor(day_share) * _burst_factor(
            day_share, account
        ):
            lines.append(_draw_line(spec, at_s, day_share, account, rng))


def capacity_tokens_per_s(spec: SiteSpec) -> float:
    """Return the tokens per second when memory is full of half-generated mean-size sequences.

    The mean size is weighted by the time that sequences run, not by their number.
    """
    rng = random.Random("capacity")
    token_time = output = 0.0
    for _ in range(20_000):
        kind = rng.choices(spec.kinds, [one.request_share for one in spec.kinds])[0]
        length = _draw_length(kind, 0.25 + 0.5 * rng.random(), rng)
        token_time += length * (kind.prompt_tokens + length / 2)
        output += length
    batch = min(MAX_BATCH, KV_CAPACITY / (token_time / output))
    return spec.engines * batch / (STEP_BASE_S + STEP_PER_SEQUENCE_S * batch)


def mean_output(spec: SiteSpec) -> float:
    """Return the mean length of an answer over the day, in tokens."""
    rng = random.Random("mean")
    total = 0.0
    for _ in range(20_000):
        kind = rng.choices(spec.kinds, [one.request_share for one in spec.kinds])[0]
        total += _draw_length(kind, rng.random(), rng)
    return total / 20_000


def _load_factor(day_share: float) -> float:
    return 1 + 0.5 * math.sin(2 * math.pi * (day_share - 0.25))


def _mean_load_factor() -> float:
    day_shares = [number / 1000 for number in range(1000)]
    burst_factors = [0.4 * _burst_factor(part, 0) + 0.6 for part in day_shares]
    return (
        sum(_load_factor(part) * more for part, more in zip(day_shares, burst_factors, strict=True))
        / 1000
    )


def _draw_account(day_share: float, rng: random.Random) -> int:
    if rng.random() < 0.4:
        return 0
    return rng.randrange(1, ACCOUNTS)


def _burst_factor(day_share: float, account: int) -> float:
    return BURST_FACTOR if account == 0 and BURST_SHARES[0] <= day_share < BURST_SHARES[1] else 1.0


def _draw_line(
    spec: SiteSpec, at_s: float, day_share: float, account: int, rng: random.Random
) -> dict:
    kind = rng.choices(spec.kinds, [one.request_share for one in spec.kinds])[0]
    prompt = max(16, int(kind.prompt_tokens * rng.lognormvariate(0, 0.3)))
    return {
        "at_s": round(at_s, 4),
        "account": f"account-{account}",
        "service": spec.service,
        "model": spec.model,
        "prompt_tokens": prompt,
        "output_tokens": _draw_length(kind, day_share, rng),
        "prefix": f"{kind.name}-{account}",
        "value": kind.value,
        "stream": kind.stream,
    }


def _draw_length(kind: RequestKind, day_share: float, rng: random.Random) -> int:
    median = kind.median_tokens * (kind.afternoon_factor if day_share >= NOON else 1.0)
    if rng.random() < kind.tail_share:
        length = 2 * median * rng.paretovariate(1.1)
    else:
        length = rng.lognormvariate(math.log(median), kind.sigma)
    return int(min(MAX_OUTPUT, max(2, length)))


def format_engines_file(spec: SiteSpec, day_s: float) -> str:
    """Return the text of a site's engines file; the first engine is reclaimed at the peak."""
    stall, preemptions, tail = spec.weights
    sections = [
        f"[service.{spec.service}]\nstart_deadline_s = 10\nmax_output_tokens = {MAX_OUTPUT}\n"
        f"stall = {stall}\npreemptions = {preemptions}\ntail = {tail}\n"
    ]
    for number in range(spec.engines):
        rows = [
            f"[engine.{spec.service}-{number + 1}]",
            f"service = {spec.service}",
            f"models = {spec.model}",
            f"zone = {spec.zones[number % len(spec.zones)]}",
            f"kv_capacity_tokens = {KV_CAPACITY}",
            f"max_batch = {MAX_BATCH}",
            f"step_base_s = {STEP_BASE_S}",
            f"step_per_sequence_s = {STEP_PER_SEQUENCE_S}",
            f"prefill_tokens_per_s = {PREFILL_TOKENS_PER_S}",
        ]
        if number == 0 and spec.engines > 1:
            rows.append(f"reclaimed_at_s = {RECLAIMED_AT_SHARE * day_s:g}")
            rows.append("notice_s = 2")
            rows.append(f"back_at_s = {BACK_AT_SHARE * day_s:g}")
        sections.append("\n".join(rows) + "\n")
    return "\n".join(sections)


if __name__ == "__main__":
    app()
