"""Measures the processor time of an idle entry by the number of engines listed.

Prints one JSON line for each number of engines: percent of one core, and reads of the instance
list and of load reports per second. The processes are real and use loopback. Run it as
`python scripts/measure_idle.py [ENGINES ...]`.
"""

import os
import sys

import httpx
import trio
from path_site import PathDeployment, open_path_deployment, print_figure

ENGINES = (2, 7, 20)
WARM_UP_S = 8.0
MEASURE_S = 20.0
STEP_S = 0.05
NET = os.environ.get("DEMO_NET", "127.36")


async def main() -> None:
    """Run the measurement."""
    for engines in [int(text) for text in sys.argv[1:]] or ENGINES:
        async with open_path_deployment(NET, engines, STEP_S) as deployment:
            await trio.sleep(WARM_UP_S)
            await _measure(deployment, engines)


async def _measure(deployment: PathDeployment, engines: int) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        lists, reports = await _count_readings(client, deployment)
        started_s, cpu_s = trio.current_time(), deployment.entry_cpu_s()
        await trio.sleep(MEASURE_S)
        cpu_s, took_s = deployment.entry_cpu_s() - cpu_s, trio.current_time() - started_s
        lists_after, reports_after = await _count_readings(client, deployment)
    print_figure(
        "idle",
        engines=engines,
        core_percent=round(100 * cpu_s / took_s, 2),
        list_reads_per_s=round((lists_after - lists) / took_s, 2),
        report_readings_per_s=round((reports_after - reports) / took_s, 2),
    )


async def _count_readings(client: httpx.AsyncClient, deployment: PathDeployment) -> tuple[int, int]:
    """Return the reads of the instance list and of all load reports so far."""
    calls = (await client.get(f"http://{NET}.0.10:9000/calls")).json()
    reports = 0
    for url in deployment.engine_urls:
        reports += (await client.get(f"{url}/readings")).json().get("load", 0)
    return calls["list_reads"], reports


trio.run(main)
