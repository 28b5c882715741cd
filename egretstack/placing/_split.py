"""How a fleet-wide limit on what a runner gets is split among the instances. Does no I/O."""

from hashlib import blake2b

from egretstack.ids import InstanceId, RunnerId


class FleetSplit:
    """This instance's share of the fleet, whether the other instances are reachable or not."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self.others: tuple[InstanceId, ...] = ()
        """All other known instances, live or not."""
        self.reachable = 0
        """How many of them this instance currently receives reports from."""

    @property
    def instance_count(self) -> int:
        """The number of instances, including this one."""
        return 1 + len(self.others)

    @property
    def reachable_share(self) -> float:
        """Share of the fleet that this instance reaches; over a partition's homes it sums to 1."""
        return (1 + self.reachable) / self.instance_count

    def is_sender(self, runner_id: RunnerId, max_senders: int) -> bool:
        """Return whether this is one of the `max_senders` instances that may send to a runner.

        They are chosen by a hash of runner and instance, so that each runner has different ones.
        """
        if max_senders >= self.instance_count:
            return True
        own = _digest(runner_id, self._own)
        return sum(_digest(runner_id, other) < own for other in self.others) < max_senders


def _digest(runner_id: RunnerId, instance: InstanceId) -> bytes:
    return blake2b(f"{runner_id} {instance}".encode(), digest_size=8).digest()
