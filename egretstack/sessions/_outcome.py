"""The outcome of a successful session."""

from dataclasses import dataclass


@dataclass(frozen=True)
class FinishedAnswer:
    """A complete answer; `text` is empty if it was streamed."""

    text: str
    output_tokens: int
