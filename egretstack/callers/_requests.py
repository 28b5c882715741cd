"""Validates the body of a generation request: a subset of the OpenAI Responses API."""

import json
from dataclasses import dataclass

from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import ModelName, is_name

CHARACTERS_PER_TOKEN = 4
MAX_INPUT_ITEMS = 1000
_IGNORED = frozenset({"metadata", "temperature", "top_p", "user", "store", "stream_options"})
_KNOWN = frozenset({"model", "input", "stream", "max_output_tokens"}) | _IGNORED


@dataclass(frozen=True)
class GenerationBody:
    """A validated request. `max_output_tokens` is None if the caller did not set it."""

    model: ModelName
    prompt: str
    stream: bool
    max_output_tokens: int | None

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt, estimated from its length."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)


def parse_generation(raw: bytes) -> GenerationBody:
    """Parse and validate the body of a request; raise EgretError BAD_REQUEST."""
    body = _json_object(raw)
    unknown = sorted(body.keys() - _KNOWN)
    if unknown:
        raise _bad_request(f"members not supported: {', '.join(unknown)}")
    model = body.get("model")
    if not is_name(model):
        raise _bad_request("model has to be a name")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_request("stream has to be true or false")
    limit = body.get("max_output_tokens")
    if limit is not None and (type(limit) is not int or limit < 1):
        raise _bad_request("max_output_tokens has to be a whole number above 0")
    return GenerationBody(ModelName(model), _prompt(body.get("input")), stream, limit)


def parse_number(text: str | None, name: str, default: int) -> int:
    """Parse an integer query parameter; raise EgretError BAD_REQUEST."""
    if text is None:
        return default
    if not text.isdecimal() or len(text) > 9:
        raise _bad_request(f"{name} has to be a whole number")
    return int(text)


def _json_object(raw: bytes) -> dict[str, object]:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise _bad_request("the body is not JSON") from error
    if not isinstance(body, dict):
        raise _bad_request("the body is not a JSON object")
    return body


def _prompt(value: object) -> str:
    if isinstance(value, str) and value:
        return value
    if isinstance(value, list) and 0 < len(value) <= MAX_INPUT_ITEMS:
        return "\n".join(_message_text(item) for item in value)
    raise _bad_request("input has to be text or a list of messages")


def _message_text(item: object) -> str:
    content = item.get("content") if isinstance(item, dict) else None
    if not isinstance(content, str):
        raise _bad_request("each message of input needs content that is text")
    return content


def _bad_request(detail: str) -> EgretError:
    return EgretError(ErrorKind.BAD_REQUEST, detail)
