"""Replays a trace under one policy after the other."""

import random
from collections.abc import Iterable

from egretstack.ids import RequestId
from egretstack.policy import ORACLE, POLICIES, Feature, Policy, make_oracle, make_policy
from egretstack.replay._figures import Figures
from egretstack.replay._loop import ReplayLoop
from egretstack.replay._site import Deployment
from egretstack.replay._trace import TraceLine

ALL_POLICIES = "all"


def resolve_policy_names(name: str) -> list[str]:
    """Give the policies that a name stands for, the oracle last."""
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

    Each entry has its own instance of the policy. The oracle is one instance that sees every
    request and its length. `left_out` are parts of the default policy that are taken out.
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
