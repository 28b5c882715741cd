"""Runs the tests of modules; imported by each process that runs tests."""

import unittest
from dataclasses import dataclass

from loguru import logger


@dataclass(frozen=True)
class Failed:
    """A test that failed, with its traceback."""

    id: str
    traceback: str


@dataclass(frozen=True)
class ModuleReport:
    """What one module's tests did; passed between processes."""

    module: str
    ran: int
    failed: tuple[Failed, ...]


def run_modules(modules: tuple[str, ...]) -> list[ModuleReport]:
    """Run the tests of modules in this process, one module after another."""
    logger.remove()
    return [_run_module(module) for module in modules]


def _run_module(module: str) -> ModuleReport:
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(module).run(result)
    failed = [Failed(case.id(), text) for case, text in result.failures + result.errors]
    return ModuleReport(module, result.testsRun, tuple(failed))
