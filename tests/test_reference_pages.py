"""Tests that the generated pages in docs/ match the code."""

from pathlib import Path

from egretstack.contracts import contract_page, service_page
from egretstack.events import Event, catalogue_page
from egretstack.settings import settings_page
from tests.support import check, tests_of

load_tests = tests_of(globals())

DOCS = Path(__file__).parent.parent / "docs"


def test_pages_match_the_code():
    pages = {
        "contracts.md": contract_page,
        "events.md": catalogue_page,
        "services.md": service_page,
        "settings.md": settings_page,
    }
    for name, make_page in pages.items():
        check.assertEqual(
            (DOCS / name).read_text(), make_page(), f"run egretctl reference for {name}"
        )


def test_event_numbers_are_unique():
    numbers = [event.number for event in Event]
    check.assertEqual(len(numbers), len(set(numbers)))
