"""Replays a trace under one policy."""

import random
from collections.abc import Iterable

from egretstack.ids import RequestId
from egretstack.policy import ORACLE, POLICIES, Feature, Policy, make_oracle, make_policy
from egretstack.replay._deployment import Deployment
from egretstack.replay._figures import Figures
from egretstack.replay._loop import ReplayLoop
from egretstack.replay._trace import TraceLine

ALL_POLICIES = "all"


def resolve_policy_names(name: str) -> list[str]:
    """Return the policies that a name refers to, the oracle last."""
    if name == ALL_POLICIES:
        return [*POLICIES, ORACLE]
    return [name]


def replay(
    lines: list[TraceLine],
    deployment: Deployment,
    policy: str,
    *,
    entries: int,
    seed: int,
    disabled_features: Iterable[Feature] = (),
) -> Figures:
    """Replay a trace under one policy; the same arguments give the same figures.

    Each entry has its own instance of the policy. The oracle is a single instance that sees every
    request and its length. `disabled_features` are switched off in the default policy.
    """
    if policy == ORACLE:
        lengths = {RequestId(str(n)): line.output_tokens for n, line in enumerate(lines)}
        instances: list[Policy] = [make_oracle(random.Random(f"oracle-{seed}"), lengths)]
    else:
        features = frozenset(disabled_features)
        instances = [
            make_policy(policy, random.Random(f"entry-{number}-{seed}"), features)
            for number in range(entries)
        ]
    return ReplayLoop(lines, deployment, instances, entries, seed).run().make_figures(policy)
