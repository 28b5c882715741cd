"""A client's request as typed values, independent of their names on the wire."""

from dataclasses import dataclass
from hashlib import blake2s

from egretstack.http1 import RequestHead
from egretstack.ids import ContentId, ModelName, PartId

PROMPT_ID_BYTES = 8
"""Enough to distinguish the thousands of prompts of a minute."""
CONTENT_ID_BYTES = 16
"""Enough that no caller can construct a request with the same id as another one."""
PART_ID_BYTES = 8
"""Enough to distinguish the shared parts of a day's prompts."""


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Ids of a request and of what it shares with others; equal for all attempts at it."""

    content: ContentId
    """Id of the whole request."""
    parts: tuple[PartId, ...] = ()
    """Ids of the parts of its prompt that other requests may share, in order."""

    @property
    def own_part(self) -> PartId:
        """Id that stands for what no other request has."""
        return PartId(self.content[: 2 * PART_ID_BYTES])


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share; only the last part is the request's own."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Generation:
    """The parameters of a generation that determine its size."""

    model: ModelName
    prompt_tokens: int
    max_output_tokens: int
    length_hint: int | None
    """The client's own estimate of the output tokens; right at the median, often far off."""
    prompt_parts: tuple[PromptPart, ...]

    def prompt_id(self, account: str) -> str:
        """Return an id of an account's prompt; empty if the client named no prompt parts.

        A client's retry has a different attempt id, but the same prompt id.
        """
        if not self.prompt_parts:
            return ""
        parts = ",".join(f"{part.id}:{part.tokens}" for part in self.prompt_parts)
        text = f"{account}/{self.model}/{self.prompt_tokens}/{parts}"
        return blake2s(text.encode(), digest_size=PROMPT_ID_BYTES).hexdigest()

    def shared_part_ids(self) -> tuple[PartId, ...]:
        """Return the ids of the prompt's parts for its model, without the last, its own one."""
        names = dict.fromkeys(part.id for part in self.prompt_parts[:-1])
        return tuple(
            PartId(blake2s(f"{self.model}/{name}".encode(), digest_size=PART_ID_BYTES).hexdigest())
            for name in names
        )


@dataclass(frozen=True)
class ClientRequest:
    """One attempt of a client, whose body has been read completely."""

    attempt_id: str
    """Unique for each attempt, a client's retry included; empty if the client gave none."""
    host: str
    path: str
    head: RequestHead
    body: bytes
    time_left_s: float | None
    """How long the client was willing to wait when its head was read."""
    api_key: str | None
    """Secret of the client account; never logged, never passed on."""
    generation: Generation | None
    last_event_id: str = ""
    """Id of the last event that the client received of this stream; empty if it names none."""

    def content_id(self, account: str) -> ContentId:
        """Return the request's fingerprint.

        All attempts with the same method, host, target, account and body have the same one.
        """
        digest = blake2s(digest_size=CONTENT_ID_BYTES)
        parts = (self.head.method, self.host.lower().encode(), self.head.target, account.encode())
        for part in parts:
            digest.update(b"%d:" % len(part) + part)
        digest.update(self.body)
        return ContentId(digest.hexdigest())

    def fingerprint(self, account: str) -> Fingerprint:
        """Return the ids of the request and of its shared parts."""
        parts = () if self.generation is None else self.generation.shared_part_ids()
        return Fingerprint(self.content_id(account), parts)
