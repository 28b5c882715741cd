"""Settings, contracts and service descriptions: which values are rejected, with which errors."""

import tempfile
from contextlib import contextmanager
from pathlib import Path

from egretstack.contracts import read_contract
from egretstack.errors import UserError
from egretstack.settings import Program, read_settings
from tests.support import check, tests_of

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
