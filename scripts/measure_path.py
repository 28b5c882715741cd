"""Measures the overhead of requests through an entry, compared with direct requests to engines.

Prints one JSON line per number of concurrent streams: p50 and p95 of the time to first token,
tokens per second, and the entry's processor time per token.
"""

import json
import subprocess
import sys
from functools import partial
from pathlib import Path

import cyclopts
import trio
from path_site import open_path_deployment, print_figure

STREAMS = (1, 50, 300)
TOKENS = 300
ENGINES = 2
STEP_S = 0.05
CLIENTS = 4
NET = "127.30"
LOAD_CLIENT = Path(__file__).parent / "load_client.py"


def main(*streams: int, net: str = NET) -> None:
    """Measure at each number of streams. `net` is the first two numbers of every address."""
    trio.run(partial(_measure_streams, streams or STREAMS, net))


async def _measure_streams(stream_counts: tuple[int, ...], net: str) -> None:
    async with open_path_deployment(net, ENGINES, STEP_S) as deployment:
        for streams in stream_counts:
            direct = await _run_load(deployment.engine_urls, streams, deployment.key)
            cpu_s = deployment.entry_cpu_s()
            through = await _run_load([deployment.entry_url], streams, deployment.key)
            cpu_s = deployment.entry_cpu_s() - cpu_s
            _print_row(streams, direct, through, cpu_s)


async def _run_load(urls: list[str], streams: int, key: str) -> dict[str, object]:
    """Distribute the streams over client processes and merge their results."""
    clients = min(CLIENTS, streams)
    processes = []
    for number in range(clients):
        share = streams // clients + (1 if number < streams % clients else 0)
        url = urls[number % len(urls)]
        command = [sys.executable, LOAD_CLIENT, url, str(share), str(TOKENS)]
        process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        process.stdin.write(key + "\n")
        process.stdin.flush()
        processes.append(process)
    while any(process.poll() is None for process in processes):
        await trio.sleep(0.05)
    rows = [json.loads(process.stdout.read()) for process in processes]
    return {
        "first_s": sorted(value for row in rows for value in row["first_s"]),
        "tokens": sum(row["tokens"] for row in rows),
        "took_s": max(row["took_s"] for row in rows),
    }


def _print_row(streams: int, direct: dict, through: dict, cpu_s: float) -> None:
    expected = streams * TOKENS
    print_figure(
        "path",
        streams=streams,
        complete=direct["tokens"] == expected and through["tokens"] == expected,
        first_token_p50_ms=_quantile_ms(through, 0.5),
        first_token_p50_ratio=_ratio(_quantile_ms(through, 0.5), _quantile_ms(direct, 0.5)),
        first_token_p95_ms=_quantile_ms(through, 0.95),
        first_token_p95_ratio=_ratio(_quantile_ms(through, 0.95), _quantile_ms(direct, 0.95)),
        tokens_per_s=round(through["tokens"] / through["took_s"]),
        tokens_per_s_ratio=_ratio(
            through["tokens"] / through["took_s"], direct["tokens"] / direct["took_s"]
        ),
        entry_cpu_us_per_token=round(cpu_s * 1e6 / through["tokens"], 1),
    )


def _quantile_ms(row: dict, share: float) -> float:
    values = row["first_s"]
    return round(values[min(len(values) - 1, int(share * len(values)))] * 1000, 2)


def _ratio(one: float, other: float) -> float:
    return round(one / other, 3)


if __name__ == "__main__":
    cyclopts.run(main)
