"""Limits of client accounts, enforced on each instance."""

from egretstack.limits._local import LocalLimits

__all__ = ["LocalLimits"]
