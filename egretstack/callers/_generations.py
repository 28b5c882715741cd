"""Handlers for generation requests: create, resume, status, cancel."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from quart import Response

from egretstack.callers._answers import (
    completed_answer,
    encode_batch,
    encode_end,
    json_answer,
    status_answer,
)
from egretstack.callers._requests import GenerationBody, parse_generation, parse_number
from egretstack.contracts import Contract
from egretstack.errors import EgretError
from egretstack.ids import SessionId
from egretstack.sessions import FinishedAnswer, Session
from egretstack.upstreams import GenerationState

STREAM_TYPE = "text/event-stream"


class SessionOperations(ABC):
    """What the handlers need from this entry's sessions; every method may raise EgretError."""

    @abstractmethod
    async def open(self, contract: Contract, body: GenerationBody) -> Session:
        """Start a session."""

    @abstractmethod
    async def pick_up(self, contract: Contract, session_id: str, after: int) -> Session:
        """Return a session of this entry, or take it over and resume it from its engine."""

    @abstractmethod
    async def state(self, contract: Contract, session_id: str) -> GenerationState:
        """Return the state of a session's generation."""

    @abstractmethod
    async def cancel(self, contract: Contract, session_id: str) -> None:
        """Cancel a session."""

    @abstractmethod
    def on_caller_disconnected(self, session: Session, reader: int) -> None:
        """Handle the end of the caller's connection."""


class GenerationHandlers:
    """The handlers. After `heartbeat_s` seconds without an event a stream sends a comment."""

    def __init__(self, sessions: SessionOperations, heartbeat_s: float) -> None:
        self._sessions = sessions
        self._heartbeat_s = heartbeat_s

    async def create(self, contract: Contract, raw: bytes) -> Response:
        """Answer `POST /v1/responses`."""
        body = parse_generation(raw)
        session = await self._sessions.open(contract, body)
        if body.stream:
            return await self._stream_answer(session, -1)
        return await self._answer_when_finished(session)

    async def resume(self, contract: Contract, session_id: str, after: str | None) -> Response:
        """Answer `GET /v1/responses/ID?stream=true&starting_after=N`."""
        number = parse_number(after, "starting_after", -1)
        session = await self._sessions.pick_up(contract, session_id, number)
        return await self._stream_answer(session, number)

    async def status(self, contract: Contract, session_id: str) -> Response:
        """Answer `GET /v1/responses/ID`."""
        state = await self._sessions.state(contract, session_id)
        return json_answer(status_answer(SessionId(session_id), state.value))

    async def cancel(self, contract: Contract, session_id: str) -> Response:
        """Answer `POST /v1/responses/ID/cancel`."""
        await self._sessions.cancel(contract, session_id)
        return json_answer(status_answer(SessionId(session_id), "cancelled"))

    async def _answer_when_finished(self, session: Session) -> Response:
        reader = session.supersede()
        try:
            # No event is consumed before the end, so that the generation can be rerun until then.
            await session.wait_for_end()
        finally:
            self._sessions.on_caller_disconnected(session, reader)
        if isinstance(session.outcome, EgretError):
            raise session.outcome
        model = session.request.generation.model
        answer = completed_answer(session.id or SessionId(""), model, session.outcome)
        return json_answer(answer)

    async def _stream_answer(self, session: Session, after: int) -> Response:
        reader = session.supersede()
        batches = session.batches(reader, after, self._heartbeat_s)
        try:
            first = await anext(batches, None)
        except BaseException:
            self._sessions.on_caller_disconnected(session, reader)
            raise
        if first is None and isinstance(session.outcome, EgretError):
            self._sessions.on_caller_disconnected(session, reader)
            raise session.outcome
        response = Response(
            self._encoded_batches(session, reader, after, first, batches), content_type=STREAM_TYPE
        )
        response.timeout = None
        return response

    async def _encoded_batches(
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
            if session.is_reader(reader) and _needs_end_event(session, after):
                yield encode_end(session.outcome, session.id, model, last + 1)
        finally:
            self._sessions.on_caller_disconnected(session, reader)


def _needs_end_event(session: Session, after: int) -> bool:
    """Return whether the final event still has to be sent to the caller.

    A caller that reconnects with the sequence number of the completed event already received it;
    sent again, the event would have a number that does not exist in the generation.
    """
    if isinstance(session.outcome, FinishedAnswer):
        return after <= session.outcome.output_tokens
    return session.outcome is not None
