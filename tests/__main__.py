"""Runs every test and prints `N passed, N failed` at the end.

Modules run in parallel in a few processes; their reports are printed in the order of their names.
Tests named in KNOWN-RED.txt may fail; each that does is printed with its cause. With arguments,
runs only the named modules, such as `tests.test_delivery`.
"""

import os
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from pkgutil import walk_packages

from tests.running import ModuleReport, run_modules

TESTS = Path(__file__).parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
MAX_PROCESSES = 4


def main() -> int:
    """Run the tests and return the exit code."""
    ran = 0
    failed_ids: set[str] = set()
    for report in _reports(sys.argv[1:] or _all_modules()):
        _print_report(report)
        ran += report.ran
        failed_ids |= {failed.id for failed in report.failed}
    known_failures = _read_known_red()
    for name in sorted(failed_ids & known_failures.keys()):
        print(f"known red: {known_failures[name]}")
    for name in sorted(known_failures.keys() - failed_ids):
        print(f"listed as known red, but passed: {name}")
    failed = len(failed_ids - known_failures.keys())
    print(f"{ran - len(failed_ids)} passed, {failed} failed")
    return 1 if failed or ran == 0 else 0


def _reports(modules: list[str]) -> Iterator[ModuleReport]:
    """Run the modules; raise BrokenProcessPool if a process dies."""
    jobs = _jobs(modules)
    processes = min(MAX_PROCESSES, os.cpu_count() or 1, len(jobs))
    # Each process starts a new interpreter, so that nothing that one module left behind, such as a
    # socket or a cached key, reaches a module of another process.
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        for reports in pool.map(run_modules, jobs):
            yield from reports


def _jobs(modules: list[str]) -> list[tuple[str, ...]]:
    """Group the modules that have to run one after another: those of one package below this one.

    They start programs on loopback addresses that they found free just before. In parallel, two of
    them could find the same addresses, and there would be twice as many processes.
    """
    names_by_job: dict[str, list[str]] = {}
    for name in modules:
        package = name.rpartition(".")[0]
        names_by_job.setdefault(name if package == TESTS.name else package, []).append(name)
    return [tuple(names) for names in names_by_job.values()]


def _all_modules() -> list[str]:
    found = walk_packages([str(TESTS)], f"{TESTS.name}.")
    names = [module.name for module in found if not module.ispkg]
    return sorted(name for name in names if name.rpartition(".")[2].startswith("test"))


def _print_report(report: ModuleReport) -> None:
    print(f"{report.module}: {report.ran} run, {len(report.failed)} failed", flush=True)
    for failed in report.failed:
        print(f"\nFAIL: {failed.id}\n{failed.traceback}", flush=True)


def _read_known_red() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.partition(":")[0].strip(): line for line in lines}


if __name__ == "__main__":
    sys.exit(main())
