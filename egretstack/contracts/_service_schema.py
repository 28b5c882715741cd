"""The schema of a service description: its upstreams and which calls may be repeated."""

from enum import Enum

from egretstack.schema import (
    Choice,
    Choices,
    Key,
    Name,
    Names,
    Number,
    Schema,
    UrlPath,
    reference_rows,
)


class ServiceKind(Enum):
    """The kind of a service's upstreams."""

    ENGINE = "engine"
    PLAIN = "plain"


class Fencing(Enum):
    """Whether the upstreams of a service refuse an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")

SERVICE_SCHEMA = Schema(
    (
        Key("service", "name", Name(), "Name of the service; its runners are listed under it."),
        Key("service", "kind", Choice(ServiceKind), "Model engines or a plain service."),
        Key(
            "service",
            "fencing",
            Choice(Fencing),
            "Whether the upstreams refuse an order or call with an old fencing number.",
            "ignored",
        ),
        Key("engine", "models", Names(), "Models the engines serve.", ""),
        Key(
            "engine",
            "kv_capacity_tokens",
            Number(1, 100_000_000, "tokens", integer=True),
            "Memory of one engine, taken until its first load report.",
            "60000",
        ),
        Key(
            "engine",
            "max_batch",
            Number(1, 4096, "sequences", integer=True),
            "Most sequences one engine decodes together.",
            "64",
        ),
        Key(
            "calls",
            "repeatable",
            Choices(_METHODS),
            "Methods that may be repeated; every other call runs at most once.",
            "GET,HEAD,OPTIONS",
        ),
        Key(
            "calls",
            "lookup",
            UrlPath(),
            "Path that, given the Idempotency-Key as its last part, tells a call's outcome.",
            "",
        ),
        Key(
            "calls",
            "retention_s",
            Number(60, 604_800, "seconds"),
            "How long an outcome is kept for repeats of its key.",
            "86400",
        ),
    )
)

_PAGE_HEAD = """# Service descriptions

Made from the schema by `egretctl reference services`; do not edit by hand. One file, and one
object, for each service; `egretctl service check FILE` checks a file.

| section | key | allowed | default | meaning |
| --- | --- | --- | --- | --- |
"""


def service_page() -> str:
    """Return the text of `docs/services.md`."""
    return _PAGE_HEAD + reference_rows(SERVICE_SCHEMA.keys)
