"""Reads traces: one JSON object per line, each a request and the length of its answer."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from pathlib import Path

from egretstack.errors import UserError
from egretstack.ids import AccountId, ModelName, ServiceName, is_name
from egretstack.replay._deployment import Deployment

MAX_LINES = 1_000_000
MAX_LINE_BYTES = 16_384
MAX_PREFIX_CHARACTERS = 256
MAX_TOKENS = 1_000_000
MAX_VALUE = 1000
MAX_AT_S = 10_000_000.0


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One recorded request. Only the oracle policy sees `output_tokens`."""

    at_s: float
    account: AccountId
    service: ServiceName
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    prefix: str
    value: int
    stream: bool


class _InvalidField(Exception):
    """Raised for a field with an invalid value."""

    def __init__(self, field: str, allowed: str) -> None:
        super().__init__(f"{field}: allowed: {allowed}")


def read_trace(path: Path, deployment: Deployment) -> list[TraceLine]:
    """Read a trace; raise UserError that names the file, line and field of the first fault."""
    lines: list[TraceLine] = []
    try:
        for number, text in _read_lines(path):
            try:
                line = _parse_line(text, deployment)
                if lines and line.at_s < lines[-1].at_s:
                    raise _InvalidField("at_s", f"not before the line above, {lines[-1].at_s}")
            except _InvalidField as error:
                raise UserError(f"{path}:{number}: {error}") from error
            lines.append(line)
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    if not lines:
        raise UserError(f"{path}: holds no requests")
    return lines


def _read_lines(path: Path) -> Iterator[tuple[int, bytes]]:
    with path.open("rb") as file:
        number = 0
        while text := file.readline(MAX_LINE_BYTES + 1):
            number += 1
            if len(text) > MAX_LINE_BYTES:
                raise UserError(f"{path}:{number}: line: longer than {MAX_LINE_BYTES} bytes")
            if number > MAX_LINES:
                raise UserError(f"{path}:{number}: line: more than {MAX_LINES} lines")
            yield number, text


def _parse_line(text: bytes, deployment: Deployment) -> TraceLine:
    fields = _parse_object(text)
    line = TraceLine(
        at_s=_parse_at_s(fields),
        account=AccountId(_parse_name(fields, "account")),
        service=ServiceName(_parse_name(fields, "service")),
        model=ModelName(_parse_name(fields, "model")),
        prompt_tokens=_parse_integer(fields, "prompt_tokens", MAX_TOKENS),
        output_tokens=_parse_integer(fields, "output_tokens", MAX_TOKENS),
        prefix=_parse_prefix(fields),
        value=_parse_integer(fields, "value", MAX_VALUE),
        stream=_parse_stream(fields),
    )
    if not deployment.serves(line.service, line.model):
        raise _InvalidField("model", "a model that an engine of the service serves")
    if line.output_tokens > deployment.terms(line.service).max_output_tokens:
        raise _InvalidField("output_tokens", "at most the service's max_output_tokens")
    return line


def _parse_object(text: bytes) -> dict[str, object]:
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _InvalidField("line", "one JSON object") from error
    if not isinstance(fields, dict):
        raise _InvalidField("line", "one JSON object")
    names = TraceLine.__slots__
    for name in fields:
        if name not in names:
            raise _InvalidField(name[:MAX_PREFIX_CHARACTERS], f"only the fields {', '.join(names)}")
    return fields


def _parse_at_s(fields: dict[str, object]) -> float:
    value = fields.get("at_s")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_AT_S or not isfinite(value):
        raise _InvalidField("at_s", f"a number from 0 to {MAX_AT_S:g}, seconds")
    return float(value)


def _parse_name(fields: dict[str, object], name: str) -> str:
    value = fields.get(name)
    if not is_name(value):
        raise _InvalidField(name, "a name of lower-case letters, digits, '.' and '-'")
    return value


def _parse_integer(fields: dict[str, object], name: str, high: int) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or not 1 <= value <= high:
        raise _InvalidField(name, f"a whole number from 1 to {high}")
    return value


def _parse_prefix(fields: dict[str, object]) -> str:
    value = fields.get("prefix")
    if not isinstance(value, str) or len(value) > MAX_PREFIX_CHARACTERS:
        raise _InvalidField("prefix", f"text of at most {MAX_PREFIX_CHARACTERS} characters")
    return value


def _parse_stream(fields: dict[str, object]) -> bool:
    value = fields.get("stream")
    if not isinstance(value, bool):
        raise _InvalidField("stream", "true or false")
    return value
