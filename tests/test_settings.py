"""Settings, contracts and service descriptions: which values are rejected, with which errors."""

import os
import tempfile
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from unittest import mock

from egretstack.contracts import read_contract
from egretstack.errors import UserError
from egretstack.platform import SETTINGS_VARIABLE, read_node_settings
from egretstack.programs._platform_entry import _apply_operator_settings
from egretstack.services.settings_file import SettingsFile
from egretstack.settings import (
    OPERATOR_FILE_VARIABLE,
    Program,
    read_operator_settings,
    read_settings,
)
from tests.platform_site import node_settings
from tests.support import check, tests_of
from tests.test_platform_decoding import NODE

load_tests = tests_of(globals())

SAMPLES = Path(__file__).parent.parent / "samples"


@contextmanager
def ini_file(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.ini"
        path.write_text(text)
        yield path


def test_samples_are_valid():
    for path in sorted((SAMPLES / "settings").glob("*.ini")):
        program = Program.ENTRY if path.name.startswith("entry") else Program.STEWARD
        check.assertTrue(read_settings(path, program).text("instance", "id"))


def test_errors_name_file_section_key_and_allowed_values():
    valid = (SAMPLES / "settings" / "entry-a.ini").read_text()
    invalid = valid.replace("answer_life_s = 2", "answer_life_s = -2\nanswer_live_s = 3")
    with ini_file(invalid) as path, check.assertRaises(UserError) as caught:
        read_settings(path, Program.ENTRY)
    text = str(caught.exception)
    check.assertIn(f"{path}: [caller] answer_life_s: '-2' is not allowed", text)
    check.assertIn("a number from 1 to 3600, seconds", text)
    check.assertIn("[caller] answer_live_s: unknown key", text)


def test_a_file_that_is_not_ini_is_a_user_error():
    with ini_file("[caller\nx") as path, check.assertRaises(UserError):
        read_settings(path, Program.ENTRY)


def test_a_negative_limit_in_a_contract_is_rejected():
    sections = {
        "contract": {"account": "acme", "key_sha256": "0" * 64},
        "limits": {"concurrency": "-1"},
    }
    with check.assertRaises(UserError) as caught:
        read_contract("acme.ini", sections)
    check.assertIn("acme.ini: [limits] concurrency", str(caught.exception))


def test_an_invalid_value_is_a_user_error():
    sections = {"contract": {"account": "acme", "key_sha256": "0" * 64, "value": "nan"}}
    with check.assertRaises(UserError):
        read_contract("acme.ini", sections)


def operator_error(text):
    with ini_file(text) as path, check.assertRaises(UserError) as caught:
        read_operator_settings(path)
    return str(caught.exception).replace(str(path), "FILE")


def test_an_operators_file_overrides_the_platform_unless_auto():
    """Fails if `auto` or a missing key hides what the platform says, or `off` does not."""
    wanted = {"": None, "auto": None, "on": True, "off": False}
    for value, override in wanted.items():
        with ini_file(f"[placing]\nshare_capacity = {value}\n" if value else "") as path:
            settings = read_operator_settings(path)
        for platform_says in (True, False):
            shares = settings.shares_capacity(platform_says=platform_says)
            check.assertIs(shares, platform_says if override is None else override, value)


def test_errors_in_an_operators_file_name_file_section_key_and_allowed_values():
    """Fails if a typing error in the file passes silently, or its report does not say where."""
    text = operator_error("[placing]\nshare_capacity = yes\n")
    allowed = "allowed: one of auto, on, off"
    check.assertEqual(text, f"FILE: [placing] share_capacity: 'yes' is not allowed; {allowed}")
    check.assertIn(
        "share_capacities: unknown key", operator_error("[placing]\nshare_capacities=on")
    )
    check.assertIn("[places]: unknown section", operator_error("[places]\nshare_capacity=on"))
    check.assertIn("FILE: is not an INI file", operator_error("share_capacity = on"))
    check.assertIn("larger than", operator_error("#" * 20_000))
    with check.assertRaises(UserError) as caught:
        read_operator_settings(Path("/dev/zero"))
    check.assertIn("larger than", str(caught.exception))
    with check.assertRaises(UserError):
        read_operator_settings(Path("/nowhere/operator.ini"))


def test_an_entry_starts_with_the_operators_file():
    """Fails if the process ignores the file, or a fault in it."""
    node = replace(node_settings(0, "127.0.0.1:1", []), shares_capacity=True)
    with ini_file("[placing]\nshare_capacity = off\n") as path:
        with mock.patch.dict(os.environ, {OPERATOR_FILE_VARIABLE: str(path)}):
            check.assertFalse(_apply_operator_settings(node).shares_capacity)
            path.write_text("[placing]\nshare_capacity = of\n")
            with check.assertRaises(UserError):
                _apply_operator_settings(node)
        with mock.patch.dict(os.environ, {OPERATOR_FILE_VARIABLE: ""}):
            check.assertTrue(_apply_operator_settings(node).shares_capacity)


def test_a_changed_node_file_keeps_what_the_operator_decided():
    """Fails if a reload puts the platform's share_capacity in place of the operator's."""
    with ini_file(NODE) as path, mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
        node = replace(read_node_settings(path), shares_capacity=True)
        kernel = mock.Mock(settings=node)
        service = SettingsFile(kernel)
        path.write_text(NODE.replace("bounds.drain-ms=2500", "bounds.drain-ms=1500"))
        service._reload()
    check.assertEqual(kernel.settings.bounds.runner_drain_s, 1.5)
    check.assertTrue(kernel.settings.shares_capacity)
