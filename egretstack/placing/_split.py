"""How a bound on what a runner gets from the whole fleet is split among instances; pure."""

from hashlib import blake2b

from egretstack.ids import InstanceId, RunnerId


class FleetSplit:
    """One instance's place among all, however many of them live or are cut off."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self.others: tuple[InstanceId, ...] = ()
        """All other instances that were ever heard of, living or not."""
        self.reachable = 0
        """How many of them this instance hears now."""

    @property
    def instance_count(self) -> int:
        """How many instances there are, this one among them."""
        return 1 + len(self.others)

    @property
    def reachable_share(self) -> float:
        """Part of the fleet that this instance hears: the homes of a split fleet add up to one."""
        return (1 + self.reachable) / self.instance_count

    def is_sender(self, runner_id: RunnerId, most: int) -> bool:
        """Tell whether this is one of `most` instances that send to a runner.

        Which ones goes by a hash of runner and instance, so that each runner has others.
        """
        if most >= self.instance_count:
            return True
        own = _digest(runner_id, self._own)
        return sum(_digest(runner_id, other) < own for other in self.others) < most


def _digest(runner_id: RunnerId, instance: InstanceId) -> bytes:
    return blake2b(f"{runner_id} {instance}".encode(), digest_size=8).digest()
