"""Policies by name."""

import random

from egretstack.errors import UserError
from egretstack.policy._base import Policy
from egretstack.policy._least_loaded import LeastLoaded

POLICIES: dict[str, type[Policy]] = {LeastLoaded.name: LeastLoaded}
DEFAULT_POLICY = LeastLoaded.name


def make_policy(name: str, rng: random.Random) -> Policy:
    """Make the policy of that name; raise UserError for an unknown one."""
    kind = POLICIES.get(name)
    if kind is None:
        raise UserError(f"no policy named {name}; known: {', '.join(sorted(POLICIES))}")
    return kind(rng)
