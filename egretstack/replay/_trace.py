"""Reads traces: one JSON object a line, each a request and the length its answer had."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from pathlib import Path

from egretstack.errors import UserError
from egretstack.ids import AccountId, ModelName, ServiceName, is_name
from egretstack.replay._site import Deployment

MAX_LINES = 1_000_000
MAX_LINE_BYTES = 16_384
MAX_PREFIX_CHARACTERS = 256
MAX_TOKENS = 1_000_000
MAX_VALUE = 1000
MAX_AT_S = 10_000_000.0


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One recorded request. `output_tokens` is hidden from every policy but the oracle."""

    at_s: float
    account: AccountId
    service: ServiceName
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    prefix: str
    value: int
    stream: bool


class _Bad(Exception):
    """A field is wrong."""

    def __init__(self, field: str, allowed: str) -> None:
        super().__init__(f"{field}: allowed: {allowed}")


def read_trace(path: Path, site: Deployment) -> list[TraceLine]:
    """Read a trace; raise UserError that names file, line and field of the first fault."""
    lines: list[TraceLine] = []
    try:
        for number, text in _numbered(path):
            try:
                line = _line(text, site)
                if lines and line.at_s < lines[-1].at_s:
                    raise _Bad("at_s", f"not before the line above, {lines[-1].at_s}")
            except _Bad as error:
                raise UserError(f"{path}:{number}: {error}") from error
            lines.append(line)
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    if not lines:
        raise UserError(f"{path}: holds no requests")
    return lines


def _numbered(path: Path) -> Iterator[tuple[int, bytes]]:
    with path.open("rb") as file:
        number = 0
        while text := file.readline(MAX_LINE_BYTES + 1):
            number += 1
            if len(text) > MAX_LINE_BYTES:
                raise UserError(f"{path}:{number}: line: longer than {MAX_LINE_BYTES} bytes")
            if number > MAX_LINES:
                raise UserError(f"{path}:{number}: line: more than {MAX_LINES} lines")
            yield number, text


def _line(text: bytes, site: Deployment) -> TraceLine:
    fields = _fields(text)
    line = TraceLine(
        at_s=_time(fields),
        account=AccountId(_name(fields, "account")),
        service=ServiceName(_name(fields, "service")),
        model=ModelName(_name(fields, "model")),
        prompt_tokens=_whole(fields, "prompt_tokens", MAX_TOKENS),
        output_tokens=_whole(fields, "output_tokens", MAX_TOKENS),
        prefix=_prefix(fields),
        value=_whole(fields, "value", MAX_VALUE),
        stream=_flag(fields),
    )
    if not site.serves(line.service, line.model):
        raise _Bad("model", "a model that an engine of the service serves")
    if line.output_tokens > site.terms(line.service).max_output_tokens:
        raise _Bad("output_tokens", "at most the service's max_output_tokens")
    return line


def _fields(text: bytes) -> dict[str, object]:
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _Bad("line", "one JSON object") from error
    if not isinstance(fields, dict):
        raise _Bad("line", "one JSON object")
    names = TraceLine.__slots__
    for name in fields:
        if name not in names:
            raise _Bad(name[:MAX_PREFIX_CHARACTERS], f"only the fields {', '.join(names)}")
    return fields


def _time(fields: dict[str, object]) -> float:
    value = fields.get("at_s")
    good = isinstance(value, int | float) and not isinstance(value, bool)
    if not good or not 0 <= value <= MAX_AT_S or not isfinite(value):
        raise _Bad("at_s", f"a number from 0 to {MAX_AT_S:g}, seconds")
    return float(value)


def _name(fields: dict[str, object], name: str) -> str:
    value = fields.get(name)
    if not is_name(value):
        raise _Bad(name, "a name of lower-case letters, digits, '.' and '-'")
    return value


def _whole(fields: dict[str, object], name: str, high: int) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or not 1 <= value <= high:
        raise _Bad(name, f"a whole number from 1 to {high}")
    return value


def _prefix(fields: dict[str, object]) -> str:
    value = fields.get("prefix")
    if not isinstance(value, str) or len(value) > MAX_PREFIX_CHARACTERS:
        raise _Bad("prefix", f"text of at most {MAX_PREFIX_CHARACTERS} characters")
    return value


def _flag(fields: dict[str, object]) -> bool:
    value = fields.get("stream")
    if not isinstance(value, bool):
        raise _Bad("stream", "true or false")
    return value
