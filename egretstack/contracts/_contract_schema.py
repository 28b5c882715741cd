"""The schema of a contract, which defines all limits of a client account."""

from egretstack.schema import Digests, Key, Name, Names, Number, Schema, reference_rows

_SECONDS = "seconds"

CONTRACT_SCHEMA = Schema(
    (
        Key("contract", "account", Name(), "Name of the client account."),
        Key("contract", "key_sha256", Digests(), "Digests of the account's keys."),
        Key(
            "contract",
            "value",
            Number(1, 1000, "relative to other accounts", integer=True),
            "Worth of one finished request; the highest comes first when engines are full.",
            "100",
        ),
        Key("contract", "services", Names(), "Services the account may use; empty: all.", ""),
        Key(
            "limits",
            "requests_per_s",
            Number(0.01, 100_000, "requests a second"),
            "Sustained rate over the whole fleet.",
            "10",
        ),
        Key(
            "limits",
            "burst",
            Number(1, 100_000, "requests", integer=True),
            "Requests allowed at once above the rate.",
            "20",
        ),
        Key(
            "limits",
            "concurrency",
            Number(1, 100_000, "requests", integer=True),
            "Open requests over the whole fleet.",
            "50",
        ),
        Key(
            "limits",
            "max_prompt_tokens",
            Number(1, 1_000_000, "tokens", integer=True),
            "Longest prompt.",
            "32000",
        ),
        Key(
            "limits",
            "max_output_tokens",
            Number(1, 200_000, "tokens", integer=True),
            "Longest answer.",
            "32000",
        ),
        Key(
            "deadlines",
            "start_s",
            Number(0.1, 3600, _SECONDS),
            "Longest wait for an engine; a request forecast to wait longer is refused at once.",
            "10",
        ),
        Key(
            "deadlines",
            "call_s",
            Number(0.1, 3600, _SECONDS),
            "Longest time for a call to a plain service.",
            "10",
        ),
        Key(
            "weights",
            "stall",
            Number(0, 1, "share of the whole"),
            "Weight of stall time in routing and relief.",
            "0.34",
        ),
        Key(
            "weights",
            "preemptions",
            Number(0, 1, "share of the whole"),
            "Weight of preemptions in routing and relief.",
            "0.33",
        ),
        Key(
            "weights",
            "tail",
            Number(0, 1, "share of the whole"),
            "Weight of the tail of gaps between tokens in routing and relief.",
            "0.33",
        ),
        Key(
            "targets",
            "first_token_s",
            Number(0.01, 3600, _SECONDS),
            "A request meets its target if its first token comes within this.",
            "0.63",
        ),
        Key(
            "targets",
            "gap_s",
            Number(0.001, 60, _SECONDS),
            "A gap between tokens meets its target if it is at most this.",
            "0.072",
        ),
        Key(
            "targets",
            "share",
            Number(0.5, 0.99999, "share of all"),
            "Share of requests and gaps that have to meet their targets.",
            "0.95",
        ),
    )
)

_PAGE_HEAD = """# Contracts

Made from the schema by `egretctl reference contracts`; do not edit by hand. One file, and one
object, for each client account; `egretctl contract check FILE` checks a file.

| section | key | allowed | default | meaning |
| --- | --- | --- | --- | --- |
"""


def contract_page() -> str:
    """Return the text of `docs/contracts.md`."""
    return _PAGE_HEAD + reference_rows(CONTRACT_SCHEMA.keys)
