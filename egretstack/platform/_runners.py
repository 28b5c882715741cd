"""Decodes the entries that runners write about themselves into the store.

Anyone may write there. An entry that a runner cannot have written names no runner and is reported
as an error of its own; the other entries stay valid.
"""

import re

from egretstack.fleet import Incarnation, Runner, RunnerState
from egretstack.http1 import is_address
from egretstack.ids import RunnerName, ServiceName, ZoneName
from egretstack.platform._bodies import BadBody, Body, bounded_integer, number, text
from egretstack.platform._store import StoredObject

_STATE_BY_NAME = {"ready": RunnerState.READY, "draining": RunnerState.LEAVING}
_NAME_PATTERN = re.compile(r"[!-~]{1,128}")
"""Visible ASCII without blanks, since a runner's name is sent in a header."""
MAX_SLOTS = 65_536
MAX_COLD_MS = 3_600_000
MAX_STARTED_MS = 1 << 53
"""Largest integer that every JSON parser represents exactly; Unix milliseconds are far below."""
MAX_SEQUENCE = 1 << 63
_MAX_NAME_LENGTH = 256


def decode_runner(entry: StoredObject) -> Runner:
    """Decode one runner's entry, which is stored under the runner's name. Raises BadBody."""
    spec: Body = entry.spec
    if not _NAME_PATTERN.fullmatch(entry.name):
        raise BadBody("not a valid runner name")
    bounded_integer(spec, "seq-no", 0, MAX_SEQUENCE)
    state = text(spec, "state")
    if state not in _STATE_BY_NAME:
        raise BadBody(f"state {state[:32]!r} is not one of {', '.join(_STATE_BY_NAME)}")
    return Runner(
        incarnation=Incarnation(RunnerName(entry.name), parse_started_ms(spec)),
        service=ServiceName(_name_field(spec, "service")),
        address=_decode_address(spec),
        zone=ZoneName(_name_field(spec, "zone")),
        slots=bounded_integer(spec, "slots", 1, MAX_SLOTS),
        state=_STATE_BY_NAME[state],
        cold_s=_decode_cold_ms(spec) / 1000,
    )


def parse_started_ms(body: Body) -> int | None:
    """Return the start time that a runner reports, in Unix milliseconds; None if it reports none.

    Raises BadBody.
    """
    return bounded_integer(body, "born", 0, MAX_STARTED_MS) if "born" in body else None


def without_start_time(runners: list[Runner]) -> list[Runner]:
    """Return the runners without a start time, if others have one.

    Either all runners of a platform report it or none does, so an entry that lacks it among others
    that have it was not written by a runner.
    """
    without = [runner for runner in runners if runner.incarnation.started_ms is None]
    return without if len(without) < len(runners) else []


def _name_field(spec: Body, name: str) -> str:
    value = text(spec, name)
    if not 0 < len(value) <= _MAX_NAME_LENGTH:
        raise BadBody(f"{name} is empty or too long")
    return value


def _decode_address(spec: Body) -> str:
    value = text(spec, "address")
    if not is_address(value):
        raise BadBody("address is not IP:PORT of a host")
    return value


def _decode_cold_ms(spec: Body) -> float:
    value = number(spec, "cold-remaining-ms")
    if not 0 <= value <= MAX_COLD_MS:
        raise BadBody("cold-remaining-ms is out of bounds")
    return value
