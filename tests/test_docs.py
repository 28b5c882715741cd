"""The pages in docs/: their commands exist, their examples run, and their links resolve."""

import inspect
import os
import re
import shlex
import subprocess
import sys
from itertools import product
from pathlib import Path

import trio
import trio.testing

from egretstack.programs import ctl, entry, report, steward
from tests.support import check, tests_of

load_tests = tests_of(globals())

ROOT = Path(__file__).parent.parent
PAGES = sorted((ROOT / "docs").rglob("*.md")) + [ROOT / "README.md"]
CODE_BLOCK = re.compile(r"^```(\w+)( run)?\n(.*?)^```$", re.MULTILINE | re.DOTALL)
INLINE_COMMAND = re.compile(r"`((?:egretctl|egret-\w+) [^`]+)`")
LINK = re.compile(r"\]\(([^)#:]+)[^):]*\)")
APP_BY_NAME = {
    "egretctl": ctl.app,
    "egret-entry": entry.app,
    "egret-report": report.app,
    "egret-steward": steward.app,
}
CHILD_CODE = "import sys; from egretstack.programs.{0} import main; sys.argv = sys.argv[1:]; main()"
MODULE_BY_NAME = {"egretctl": "ctl", "egret-report": "report"}
TIMEOUT_S = 60


def code_blocks(language, run):
    for page in PAGES:
        for found, run_mark, text in CODE_BLOCK.findall(page.read_text()):
            if found == language and bool(run_mark) is run:
                yield page, text


def shell_commands():
    for run in (True, False):
        for page, text in code_blocks("sh", run):
            for line in text.replace("\\\n", " ").splitlines():
                yield page, line
    for page in PAGES:
        for line in INLINE_COMMAND.findall(page.read_text()):
            yield page, line


def product_command(line):
    """Return the words of a line from the product's command on, or None for another command."""
    words = shlex.split(line.replace("<", "").replace(">", ""), comments=True)
    for index, word in enumerate(words):
        if Path(word).name in APP_BY_NAME:
            return [Path(word).name, *words[index + 1 :]]
    return None


def is_complete(words):
    """Return whether a command is more than the start of one, such as `egretctl contract ...`."""
    return not any("..." in word or "…" in word for word in words)


def expand_alternatives(words):
    """Return every command that words with alternatives, such as `check|diff`, represent."""
    return [list(one) for one in product(*(word.split("|") for word in words))]


def find_command(words):
    """Return the command that the words name; raise KeyError."""
    found = APP_BY_NAME[words[0]]
    for word in words[1:]:
        found = found[word]
    return found


def test_commands_exist_with_their_options():
    os.environ.setdefault("EGRET_PLATFORM", "http://127.0.0.1:9")
    command_count = 0
    for page, line in shell_commands():
        words = product_command(line)
        if words is None or not is_complete(words):
            continue
        command_count += 1
        if any("|" in word for word in words):
            for alternative in expand_alternatives(words):
                check.assertTrue(find_command(alternative), f"{page.name}: {line}")
            continue
        try:
            APP_BY_NAME[words[0]].parse_args(words[1:], exit_on_error=False, print_error=False)
        except Exception as error:
            raise AssertionError(f"{page.name}: {line}: {error}") from error
    check.assertGreater(command_count, 8)


def test_make_targets_exist():
    targets = set(re.findall(r"^(\w+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    for page, line in shell_commands():
        if line.startswith("make "):
            check.assertIn(line.split()[1], targets, page.name)


def test_commands_that_need_no_deployment_run():
    for page, text in code_blocks("sh", True):
        for line in text.splitlines():
            words = product_command(line)
            code = CHILD_CODE.format(MODULE_BY_NAME[words[0]])
            command = [sys.executable, "-c", code, *words]
            completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S)
            check.assertEqual(completed.returncode, 0, f"{page.name}: {line}: {completed.stderr}")


def test_python_examples_run():
    example_count = 0
    for page, text in code_blocks("python", True):
        example_count += 1
        names = {"__name__": f"example_{page.stem}"}
        exec(compile(text, str(page), "exec"), names)
        main = names.get("main")
        if inspect.iscoroutinefunction(main):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    check.assertGreater(example_count, 3)


def test_links_resolve():
    for page in PAGES:
        for target in LINK.findall(page.read_text()):
            check.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")
