"""Creates policies by name."""

import random
from collections.abc import Mapping

from egretstack.errors import UserError
from egretstack.ids import RequestId
from egretstack.policy._base import Policy
from egretstack.policy._default import DefaultPolicy
from egretstack.policy._features import Feature
from egretstack.policy._fitting import ExactFitter
from egretstack.policy._least_loaded import LeastLoaded
from egretstack.policy._reserve_max import ReserveMax
from egretstack.policy._round_robin import RoundRobin

POLICIES: dict[str, type[Policy]] = {
    policy_class.name: policy_class
    for policy_class in (RoundRobin, LeastLoaded, ReserveMax, DefaultPolicy)
}
DEFAULT_POLICY = DefaultPolicy.name
ORACLE = "oracle"


def make_policy(
    name: str, rng: random.Random, disabled: frozenset[Feature] = frozenset()
) -> Policy:
    """Create a policy by name; raise UserError if the name is unknown.

    `disabled` are features of the default policy to switch off, for measurements.
    """
    if name == DEFAULT_POLICY:
        return DefaultPolicy(rng, disabled)
    policy_class = POLICIES.get(name)
    if policy_class is None:
        raise UserError(f"no policy named {name}; known: {', '.join(sorted(POLICIES))}")
    return policy_class(rng)


def make_oracle(rng: random.Random, length_by_id: Mapping[RequestId, int]) -> Policy:
    """Create the default policy with all output lengths known, as a bound to compare with."""
    return DefaultPolicy(rng, fitter=ExactFitter(rng, length_by_id))
