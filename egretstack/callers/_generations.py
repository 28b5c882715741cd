"""Handlers of generation requests: create, resume, status, cancel."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from quart import Response

from egretstack.callers._answers import (
    encode_batch,
    encode_end,
    json_answer,
    status_answer,
    whole_answer,
)
from egretstack.callers._requests import GenerationBody, read_generation, read_number
from egretstack.contracts import Contract
from egretstack.errors import EgretError
from egretstack.ids import SessionId
from egretstack.sessions import FinishedAnswer, Session
from egretstack.upstreams import GenerationState

STREAM_TYPE = "text/event-stream"


class SessionOperations(ABC):
    """What the handlers ask of the sessions of this entry; every method raises EgretError."""

    @abstractmethod
    async def open(self, contract: Contract, body: GenerationBody) -> Session:
        """Start a session."""

    @abstractmethod
    async def pick_up(self, contract: Contract, session_id: str, after: int) -> Session:
        """Find a session here or take it over from its engine."""

    @abstractmethod
    async def state(self, contract: Contract, session_id: str) -> GenerationState:
        """Ask how far a session has come."""

    @abstractmethod
    async def cancel(self, contract: Contract, session_id: str) -> None:
        """End a session."""

    @abstractmethod
    def on_caller_disconnected(self, session: Session, reader: int) -> None:
        """Note that the caller's connection ended."""


class GenerationHandlers:
    """The handlers. `heartbeat_s` is the silence after which a stream carries a comment."""

    def __init__(self, door: SessionOperations, heartbeat_s: float) -> None:
        self._door = door
        self._heartbeat_s = heartbeat_s

    async def create(self, contract: Contract, raw: bytes) -> Response:
        """Answer `POST /v1/responses`."""
        body = read_generation(raw)
        session = await self._door.open(contract, body)
        if body.stream:
            return await self._stream(session, -1)
        return await self._whole(session)

    async def resume(self, contract: Contract, session_id: str, after: str | None) -> Response:
        """Answer `GET /v1/responses/ID?stream=true&starting_after=N`."""
        number = read_number(after, "starting_after", -1)
        session = await self._door.pick_up(contract, session_id, number)
        return await self._stream(session, number)

    async def status(self, contract: Contract, session_id: str) -> Response:
        """Answer `GET /v1/responses/ID`."""
        state = await self._door.state(contract, session_id)
        return json_answer(status_answer(SessionId(session_id), state.value))

    async def cancel(self, contract: Contract, session_id: str) -> Response:
        """Answer `POST /v1/responses/ID/cancel`."""
        await self._door.cancel(contract, session_id)
        return json_answer(status_answer(SessionId(session_id), "cancelled"))

    async def _whole(self, session: Session) -> Response:
        reader = session.supersede()
        try:
            # Nothing is taken before the end: the generation can be run again until then.
            await session.wait_for_end()
        finally:
            self._door.on_caller_disconnected(session, reader)
        if isinstance(session.outcome, EgretError):
            raise session.outcome
        model = session.request.generation.model
        answer = whole_answer(session.id or SessionId(""), model, session.outcome)
        return json_answer(answer)

    async def _stream(self, session: Session, after: int) -> Response:
        reader = session.supersede()
        batches = session.batches(reader, after, self._heartbeat_s)
        try:
            first = await anext(batches, None)
        except BaseException:
            self._door.on_caller_disconnected(session, reader)
            raise
        if first is None and isinstance(session.outcome, EgretError):
            self._door.on_caller_disconnected(session, reader)
            raise session.outcome
        response = Response(
            self._lines(session, reader, after, first, batches), content_type=STREAM_TYPE
        )
        response.timeout = None
        return response

    async def _lines(
        self,
        session: Session,
        reader: int,
        after: int,
        first: list | None,
        batches: AsyncIterator[list],
    ) -> AsyncIterator[bytes]:
        model = session.request.generation.model
        last = after
        try:
            if first is not None:
                last = first[-1].sequence if first else last
                yield encode_batch(first, session.id or SessionId(""), model)
            async for batch in batches:
                last = batch[-1].sequence if batch else last
                yield encode_batch(batch, session.id or SessionId(""), model)
            if session.is_reader(reader) and _wants_end(session, after):
                yield encode_end(session.outcome, session.id, model, last + 1)
        finally:
            self._door.on_caller_disconnected(session, reader)


def _wants_end(session: Session, after: int) -> bool:
    """Tell whether the caller has still to be told the outcome.

    A caller that comes back with the number of the completed event had it before; sent again it
    would carry a number that the generation never had.
    """
    if isinstance(session.outcome, FinishedAnswer):
        return after <= session.outcome.output_tokens
    return session.outcome is not None
