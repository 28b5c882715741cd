"""Reads snapshots of entries' metrics from files of Prometheus text.

Each snapshot contains the id of its instance, the time at which it was taken and the start time of
the process, so the names of the files and their order do not matter.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import isfinite
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from egretstack.errors import UserError
from egretstack.ids import AccountId, InstanceId, is_name
from egretstack.metrics import (
    EVENTS,
    GOOD,
    INSTANCE_LABEL,
    SNAPSHOT,
    STARTED,
    TARGET_SECONDS,
    TARGET_SHARE,
    Objective,
    Tally,
)

MAX_FILE_BYTES = 16_777_216
MAX_FILES = 10_000
_OBJECTIVE_BY_NAME = {objective.value: objective for objective in Objective}
LevelKey = tuple[AccountId, Objective]


@dataclass
class Snapshot:
    """The counters of one process at one time; times are in seconds since the epoch."""

    instance: InstanceId
    at_s: float
    started_s: float
    tally_by_level: dict[LevelKey, Tally] = field(default_factory=dict)
    share_by_level: dict[LevelKey, float] = field(default_factory=dict)
    target_s_by_level: dict[LevelKey, float] = field(default_factory=dict)


def read_snapshots(files: Iterable[Path]) -> list[Snapshot]:
    """Return the snapshots in files, oldest first; raise UserError that names an invalid file."""
    paths = list(files)
    if not paths:
        raise UserError("no files were named; save the metrics of the entries first")
    if len(paths) > MAX_FILES:
        raise UserError(f"{len(paths)} files; the most is {MAX_FILES}")
    snapshot_by_key: dict[tuple[InstanceId, float], Snapshot] = {}
    for path in paths:
        snapshot = _make_snapshot(path, read_samples([path]))
        snapshot_by_key.setdefault((snapshot.instance, snapshot.at_s), snapshot)
    return sorted(snapshot_by_key.values(), key=lambda one: one.at_s)


def read_samples(files: Iterable[Path]) -> list[Sample]:
    """Return every sample in the files; raise UserError that names an invalid file."""
    samples: list[Sample] = []
    for path in files:
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise UserError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
            families = text_string_to_metric_families(path.read_text(encoding="utf-8"))
            samples.extend(sample for family in families for sample in family.samples)
        except OSError as error:
            raise UserError(f"{path}: cannot be read: {error.strerror}") from error
        except ValueError as error:
            raise UserError(f"{path}: is not Prometheus text: {error}") from error
    return samples


def _make_snapshot(path: Path, samples: list[Sample]) -> Snapshot:
    instance, at_s = _read_instance_value(path, samples, SNAPSHOT)
    _, started_s = _read_instance_value(path, samples, STARTED)
    snapshot = Snapshot(instance, at_s, started_s)
    for sample in samples:
        _apply_sample(path, snapshot, sample)
    for key, tally in snapshot.tally_by_level.items():
        if not 0 <= tally.good <= tally.total:
            raise UserError(f"{path}: {key[0]} has more good events than events")
        if not 0 < snapshot.share_by_level.get(key, 0) < 1:
            raise UserError(f"{path}: {key[0]} has no share between 0 and 1")
    return snapshot


def _read_instance_value(path: Path, samples: list[Sample], name: str) -> tuple[InstanceId, float]:
    rows = [sample for sample in samples if sample.name == name]
    if len(rows) != 1:
        raise UserError(f"{path}: {len(rows)} samples of {name}; it has to be one entry's metrics")
    instance = rows[0].labels.get(INSTANCE_LABEL, "")
    if not is_name(instance):
        raise UserError(f"{path}: {name} names no instance")
    return InstanceId(instance), _require_finite(path, rows[0])


def _apply_sample(path: Path, snapshot: Snapshot, sample: Sample) -> None:
    if sample.name not in _LEVEL_SAMPLES:
        return
    objective = _OBJECTIVE_BY_NAME.get(sample.labels.get("objective", ""))
    account = sample.labels.get("account", "")
    if objective is None or not is_name(account):
        raise UserError(f"{path}: a sample of {sample.name} without an account and an objective")
    key = (AccountId(account), objective)
    value = _require_finite(path, sample)
    if sample.name == TARGET_SHARE:
        snapshot.share_by_level[key] = value
    elif sample.name == TARGET_SECONDS:
        snapshot.target_s_by_level[key] = value
    elif sample.name == _EVENTS_SAMPLE:
        snapshot.tally_by_level.setdefault(key, Tally()).total = int(value)
    else:
        snapshot.tally_by_level.setdefault(key, Tally()).good = int(value)


def _require_finite(path: Path, sample: Sample) -> float:
    if not isfinite(sample.value) or sample.value < 0:
        raise UserError(f"{path}: {sample.name} is {sample.value}")
    return sample.value


_EVENTS_SAMPLE = f"{EVENTS}_total"
_LEVEL_SAMPLES = frozenset({_EVENTS_SAMPLE, f"{GOOD}_total", TARGET_SHARE, TARGET_SECONDS})
