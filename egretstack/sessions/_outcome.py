"""The end of a session that went well."""

from dataclasses import dataclass


@dataclass(frozen=True)
class FinishedAnswer:
    """A whole answer; `text` is empty for a streamed one."""

    text: str
    output_tokens: int
