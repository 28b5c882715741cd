"""Decodes what runners write about themselves into the store.

Anyone may write there. An entry that a runner cannot have written names none, and is told as an
error of its own; the others hold.
"""

import re

from egretstack.fleet import Incarnation, Runner, RunnerState
from egretstack.ids import RunnerName, ServiceName, ZoneName
from egretstack.platform._bodies import BadBody, Body, count, is_address, number, text
from egretstack.platform._store import StoredObject

_STATE_BY_WORD = {"ready": RunnerState.READY, "draining": RunnerState.LEAVING}
_NAME = re.compile(r"[!-~]{1,128}")
"""A runner's name goes into a header: visible characters, and no blank."""
MAX_SLOTS = 65_536
MAX_COLD_MS = 3_600_000
MAX_STARTED_MS = 1 << 53
"""Largest whole number that JSON carries everywhere; Unix milliseconds are far below."""
MAX_SEQUENCE = 1 << 63
_MOST_NAME = 256


def decode_runner(entry: StoredObject) -> Runner:
    """Decode one runner's entry, which stands under the runner's name. Raises BadBody."""
    spec: Body = entry.spec
    if not _NAME.fullmatch(entry.name):
        raise BadBody("a name that no runner can have")
    count(spec, "seq-no", 0, MAX_SEQUENCE)
    word = text(spec, "state")
    if word not in _STATE_BY_WORD:
        raise BadBody(f"state {word[:32]!r} is not one of {', '.join(_STATE_BY_WORD)}")
    return Runner(
        incarnation=Incarnation(RunnerName(entry.name), parse_started_ms(spec)),
        service=ServiceName(_label(spec, "service")),
        address=_address(spec),
        zone=ZoneName(_label(spec, "zone")),
        slots=count(spec, "slots", 1, MAX_SLOTS),
        state=_STATE_BY_WORD[word],
        cold_s=_cold_ms(spec) / 1000,
    )


def parse_started_ms(body: Body) -> int | None:
    """Give when a runner started, by its own word; None if it tells nothing of it.

    Raises BadBody.
    """
    return count(body, "born", 0, MAX_STARTED_MS) if "born" in body else None


def without_start_time(runners: list[Runner]) -> list[Runner]:
    """Give the runners without a time of birth, if others have one.

    Either all runners of a platform tell it or none does; an entry that lacks it among others
    that have it is not a runner's own.
    """
    unborn = [runner for runner in runners if runner.incarnation.started_ms is None]
    return unborn if len(unborn) < len(runners) else []


def _label(spec: Body, name: str) -> str:
    value = text(spec, name)
    if not 0 < len(value) <= _MOST_NAME:
        raise BadBody(f"{name} is empty or too long")
    return value


def _address(spec: Body) -> str:
    value = text(spec, "address")
    if not is_address(value):
        raise BadBody("address is not IP:PORT of a host")
    return value


def _cold_ms(spec: Body) -> float:
    value = number(spec, "cold-remaining-ms")
    if not 0 <= value <= MAX_COLD_MS:
        raise BadBody("cold-remaining-ms is out of bounds")
    return value
