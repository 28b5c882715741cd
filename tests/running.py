"""Runs the tests of modules; each worker process imports it."""

import unittest
from dataclasses import dataclass

from loguru import logger


@dataclass(frozen=True)
class FailedTest:
    """A test that failed, with its traceback."""

    id: str
    traceback: str


@dataclass(frozen=True)
class ModuleReport:
    """Results of one module's tests; passed between processes."""

    module: str
    ran: int
    failed: tuple[FailedTest, ...]


def run_modules(modules: tuple[str, ...]) -> list[ModuleReport]:
    """Run the tests of the modules in this process, one module after another."""
    logger.remove()
    return [_run_module(module) for module in modules]


def _run_module(module: str) -> ModuleReport:
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(module).run(result)
    failed = [FailedTest(case.id(), text) for case, text in result.failures + result.errors]
    return ModuleReport(module, result.testsRun, tuple(failed))
