"""Reports on service-level burn, from Prometheus text."""

from egretstack.reports._samples import read_samples, sessions_by_account

__all__ = ["read_samples", "sessions_by_account"]
