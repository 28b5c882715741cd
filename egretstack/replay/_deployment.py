"""Reads the engines file: the engines that a trace is replayed against, and contract terms."""

from dataclasses import dataclass
from pathlib import Path

from egretstack.errors import UserError
from egretstack.ids import ModelName, RunnerId, ServiceName, ZoneName, is_name
from egretstack.policy import RunnerInfo
from egretstack.replay._engine_model import EngineParameters
from egretstack.schema import Document, Key, Name, Names, Number, Schema, read_ini

MAX_ENGINES = 256
NEVER = 0.0
_TOKENS_UNIT = "tokens"
_SECONDS_UNIT = "seconds"
_SHARE_UNIT = "share of the whole"


def _integer_key(name: str, high: int, meaning: str, default: str | None) -> Key:
    return Key("engine", name, Number(1, high, _TOKENS_UNIT, integer=True), meaning, default)


def _duration_key(name: str, low: float, meaning: str, default: str) -> Key:
    return Key("engine", name, Number(low, 1_000_000, _SECONDS_UNIT), meaning, default)


ENGINE_SCHEMA = Schema(
    (
        Key("engine", "service", Name(), "Service the engine belongs to."),
        Key("engine", "models", Names(), "Models it serves."),
        Key("engine", "zone", Name(), "Availability zone."),
        Key("engine", "count", Number(1, MAX_ENGINES, "engines", integer=True), "How many.", "1"),
        _integer_key("kv_capacity_tokens", 100_000_000, "Memory.", None),
        _integer_key("max_batch", 4096, "Most sequences decoded together.", "64"),
        _duration_key("step_base_s", 0.0001, "Time of a step.", "0.02"),
        _duration_key("step_per_sequence_s", 0, "Added for each running sequence.", "0.0003"),
        _integer_key("prefill_tokens_per_s", 10_000_000, "Prompt tokens read a second.", "20000"),
        _integer_key(
            "prefill_step_tokens", 1_000_000, "Most prompt tokens read in a step.", "2048"
        ),
        _integer_key("prefix_cache_tokens", 100_000_000, "Memory of the prefix cache.", "20000"),
        _duration_key("report_period_s", 0.01, "How often a report is made and read.", "0.5"),
        _duration_key("report_lag_s", 0, "How old a report is when it can be read.", "0.5"),
        _duration_key("reclaimed_at_s", 0, "When the engine is taken away; 0: never.", "0"),
        _duration_key("notice_s", 0, "How long before that it is known to leave.", "0"),
        _duration_key("back_at_s", 0, "When an empty engine takes its place; 0: never.", "0"),
    )
)
SERVICE_SCHEMA = Schema(
    (
        Key("service", "start_deadline_s", Number(0.1, 3600, _SECONDS_UNIT), "Wait allowed.", "10"),
        Key(
            "service",
            "max_output_tokens",
            Number(1, 200_000, _TOKENS_UNIT, integer=True),
            "Longest output asked for.",
            "32000",
        ),
        Key("service", "stall", Number(0, 1, _SHARE_UNIT), "Weight of stall time.", "0.34"),
        Key("service", "preemptions", Number(0, 1, _SHARE_UNIT), "Weight of preemptions.", "0.33"),
        Key("service", "tail", Number(0, 1, _SHARE_UNIT), "Weight of gaps.", "0.33"),
    )
)


@dataclass(frozen=True)
class EngineSpec:
    """One engine of a replay. A time of zero means never."""

    info: RunnerInfo
    parameters: EngineParameters
    reclaimed_at_s: float = NEVER
    notice_s: float = 0.0
    back_at_s: float = NEVER


@dataclass(frozen=True)
class ServiceTerms:
    """The terms in the contracts of a service's callers."""

    start_deadline_s: float = 10.0
    max_output_tokens: int = 32_000
    stall_weight: float = 0.34
    preemption_weight: float = 0.33
    tail_weight: float = 0.33


@dataclass(frozen=True)
class Deployment:
    """The engines of a replay, and the contract terms of each service."""

    engines: tuple[EngineSpec, ...]
    terms_by_service: dict[ServiceName, ServiceTerms]

    def serves(self, service: ServiceName, model: ModelName) -> bool:
        """Return whether an engine of the service serves the model."""
        infos = (engine.info for engine in self.engines)
        return any(info.service == service and model in info.models for info in infos)

    def terms(self, service: ServiceName) -> ServiceTerms:
        """Return the contract terms of a service, or the defaults."""
        return self.terms_by_service.get(service, ServiceTerms())


def read_deployment(path: Path) -> Deployment:
    """Read an engines file; raise UserError that names the file, section and key of each fault."""
    engines: list[EngineSpec] = []
    terms = {}
    for section, keys in read_ini(path).items():
        kind, _, name = section.partition(".")
        if kind not in ("engine", "service") or not is_name(name):
            raise UserError(f"{path}: [{section}]: unknown section; allowed: engine.*, service.*")
        where = f"{path}: {name}"
        if kind == "engine":
            engines += _make_engines(where, name, ENGINE_SCHEMA.check(where, {kind: keys}))
        else:
            document = SERVICE_SCHEMA.check(where, {kind: keys})
            terms[ServiceName(name)] = _make_terms(document)
    if not 0 < len(engines) <= MAX_ENGINES:
        raise UserError(f"{path}: {len(engines)} engines; allowed: 1 to {MAX_ENGINES}")
    return Deployment(tuple(engines), terms)


def _make_terms(document: Document) -> ServiceTerms:
    return ServiceTerms(
        start_deadline_s=document.number("service", "start_deadline_s"),
        max_output_tokens=document.integer("service", "max_output_tokens"),
        stall_weight=document.number("service", "stall"),
        preemption_weight=document.number("service", "preemptions"),
        tail_weight=document.number("service", "tail"),
    )


def _make_engines(where: str, name: str, document: Document) -> list[EngineSpec]:
    count = document.integer("engine", "count")
    names = [name] if count == 1 else [f"{name}-{number + 1}" for number in range(count)]
    reclaimed_at_s = document.number("engine", "reclaimed_at_s")
    back_at_s = document.number("engine", "back_at_s")
    if 0 < back_at_s <= reclaimed_at_s:
        raise UserError(f"{where}: [engine] back_at_s: not after reclaimed_at_s")
    return [
        EngineSpec(
            _make_info(engine_name, document),
            _make_parameters(document),
            reclaimed_at_s,
            document.number("engine", "notice_s"),
            back_at_s,
        )
        for engine_name in names
    ]


def _make_info(name: str, document: Document) -> RunnerInfo:
    return RunnerInfo(
        id=RunnerId(name),
        service=ServiceName(document.text("engine", "service")),
        zone=ZoneName(document.text("engine", "zone")),
        models=tuple(ModelName(one) for one in document.names("engine", "models")),
        kv_capacity_tokens=document.integer("engine", "kv_capacity_tokens"),
        max_batch=document.integer("engine", "max_batch"),
    )


def _make_parameters(document: Document) -> EngineParameters:
    return EngineParameters(
        kv_capacity_tokens=document.integer("engine", "kv_capacity_tokens"),
        max_batch=document.integer("engine", "max_batch"),
        step_base_s=document.number("engine", "step_base_s"),
        step_per_sequence_s=document.number("engine", "step_per_sequence_s"),
        prefill_tokens_per_s=document.integer("engine", "prefill_tokens_per_s"),
        prefill_step_tokens=document.integer("engine", "prefill_step_tokens"),
        prefix_cache_tokens=document.integer("engine", "prefix_cache_tokens"),
        report_period_s=document.number("engine", "report_period_s"),
        report_lag_s=document.number("engine", "report_lag_s"),
    )
