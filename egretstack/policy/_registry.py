"""Policies by name."""

import random
from collections.abc import Mapping

from egretstack.errors import UserError
from egretstack.ids import RequestId
from egretstack.policy._base import Policy
from egretstack.policy._default import DefaultPolicy
from egretstack.policy._fitting import ExactFitter
from egretstack.policy._least_loaded import LeastLoaded
from egretstack.policy._parts import Feature
from egretstack.policy._reserve_max import ReserveMax
from egretstack.policy._round_robin import RoundRobin

POLICIES: dict[str, type[Policy]] = {
    kind.name: kind for kind in (RoundRobin, LeastLoaded, ReserveMax, DefaultPolicy)
}
DEFAULT_POLICY = DefaultPolicy.name
ORACLE = "oracle"


def make_policy(
    name: str, rng: random.Random, disabled: frozenset[Feature] = frozenset()
) -> Policy:
    """Make the policy of that name; raise UserError for an unknown one.

    `left_out` are parts of the default policy to do without, for measurements.
    """
    if name == DEFAULT_POLICY:
        return DefaultPolicy(rng, disabled)
    kind = POLICIES.get(name)
    if kind is None:
        raise UserError(f"no policy named {name}; known: {', '.join(sorted(POLICIES))}")
    return kind(rng)


def make_oracle(rng: random.Random, length_by_id: Mapping[RequestId, int]) -> Policy:
    """Make the default policy with every length known, as a bound to measure against."""
    return DefaultPolicy(rng, fitter=ExactFitter(rng, length_by_id))
