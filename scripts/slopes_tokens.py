"""Measures the cost of a token or session as objects, without sockets."""

from functools import partial

import trio

from egretstack.callers._answers import encode_batch
from egretstack.delivery import Cursor, SessionIdCipher, SessionRef
from egretstack.ids import (
    AccountId,
    GenerationId,
    InstanceId,
    ModelName,
    RequestId,
    RunnerId,
    ServiceName,
    SessionId,
)
from egretstack.sessions import Session, SessionRequest
from egretstack.upstreams import EngineEvent, EngineEventKind, GenerationRequest
from scripts._slope import fit, measure_cpu_us, measure_held_bytes, print_slope

TOKEN_SIZES = (64, 128, 256)
BATCH_SIZES = (1, 4, 16, 64)


def make_events(tokens: int) -> list[EngineEvent]:
    """Make the token events of one generation."""
    generation = GenerationId("gen0123456789abcdef")
    return [
        EngineEvent(generation, number + 1, EngineEventKind.TOKEN, f"word{number} ")
        for number in range(tokens)
    ]


def make_session(tokens: int) -> Session:
    """Make a session that keeps this many events."""
    generation = GenerationRequest(ModelName("model-0"), "prompt", 2000, 100)
    request = SessionRequest(AccountId("acme"), ServiceName("llm"), generation, True)
    session = Session(RequestId("work-1"), request, Cursor(GenerationId("gen"), 0))

    async def add() -> None:
        for event in make_events(tokens):
            await session.add(event)

    trio.run(add)
    return session


def print_token_slopes() -> None:
    """Measure and print the slopes per token and session."""
    held = {size: measure_held_bytes(lambda size=size: make_session(size)) for size in TOKEN_SIZES}
    print_slope(fit("session_kept_events", "bytes", "token", held))
    session = SessionId("resp_" + "x" * 200)
    encoded = {
        size: measure_cpu_us(partial(encode_batch, make_events(size), session, ModelName("m")), 50)
        for size in BATCH_SIZES
    }
    print_slope(fit("event_encode_cpu", "us", "token", encoded))
    sent = {
        size: len(encode_batch(make_events(size), session, ModelName("m"))) for size in BATCH_SIZES
    }
    print_slope(fit("event_wire", "bytes", "token", sent))
    box = SessionIdCipher([SessionIdCipher.new_key()])
    ref = SessionRef(
        AccountId("acme"),
        InstanceId("entry-1"),
        ServiceName("llm"),
        RunnerId("engine-1"),
        GenerationId("gen0123456789abcdef"),
    )
    sealed = {
        size: measure_cpu_us(lambda size=size: [box.seal(ref) for _ in range(size)])
        for size in BATCH_SIZES
    }
    print_slope(fit("session_id_seal_cpu", "us", "session", sealed))


if __name__ == "__main__":
    print_token_slopes()
