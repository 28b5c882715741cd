"""Opens streams to one address and prints their latency and token counts as one JSON line.

It runs as a separate process, so that the cost of reading is not part of the measurement. It counts
events in the raw bytes, because decoding each event would make this process the bottleneck.
"""

import json
import sys

import httpx
import trio

TOKEN_MARK = b'"delta":'
READ_TIMEOUT_S = 60.0


async def main() -> None:
    """Open STREAMS streams of TOKENS tokens each at URL; the key comes on standard input."""
    url, streams, tokens = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    key = sys.stdin.readline().strip()
    first_token_delays_s: list[float] = []
    token_counts: list[int] = []
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(timeout=READ_TIMEOUT_S, limits=limits, trust_env=False) as client:
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(streams):
                nursery.start_soon(
                    _read_stream,
                    client,
                    url,
                    key,
                    number,
                    tokens,
                    first_token_delays_s,
                    token_counts,
                )
        took_s = trio.current_time() - started_s
    print(
        json.dumps({"first_s": first_token_delays_s, "tokens": sum(token_counts), "took_s": took_s})
    )


async def _read_stream(
    client: httpx.AsyncClient,
    url: str,
    key: str,
    number: int,
    tokens: int,
    first_token_delays_s: list[float],
    token_counts: list[int],
) -> None:
    body = {
        "model": "story",
        "input": f"story {number} tokens:{tokens}",
        "stream": True,
        "max_output_tokens": tokens,
    }
    headers = {"Authorization": f"Bearer {key}"}
    started_s = trio.current_time()
    token_count = 0
    async with client.stream("POST", f"{url}/v1/responses", json=body, headers=headers) as answer:
        answer.raise_for_status()
        async for chunk in answer.aiter_raw():
            new_tokens = chunk.count(TOKEN_MARK)
            if new_tokens and not token_count:
                first_token_delays_s.append(trio.current_time() - started_s)
            token_count += new_tokens
    token_counts.append(token_count)


trio.run(main)
