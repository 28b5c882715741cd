"""Reads samples from files of Prometheus text."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from egretstack.errors import UserError

MAX_FILE_BYTES = 16_777_216


def read_samples(files: Iterable[Path]) -> list[Sample]:
    """Read every sample of the files; raise UserError that names the file."""
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


def sessions_by_account(samples: Iterable[Sample]) -> Counter:
    """Sum ended sessions by account and outcome."""
    totals: Counter = Counter()
    for sample in samples:
        if sample.name == "egret_sessions_total":
            totals[sample.labels["account"], sample.labels["outcome"]] += sample.value
    return totals
