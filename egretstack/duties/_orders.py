"""Which orders bring engines to what the configuration says; pure, with time passed in.

Engines that check the fencing number are safe by that: an order of an earlier holder is refused.
For those that ignore it, an order states the desired end, goes out only with more lease left than
its timeout, and a new holder first waits that timeout, so that no order of the one before it is
under way any more; then it reads what each engine serves, and converges.
"""

import hashlib

from egretstack.contracts import Fencing
from egretstack.duties._lease import Lease
from egretstack.ids import ModelName, RunnerId, ServiceName
from egretstack.objectapi import TokenBucket
from egretstack.upstreams import Order

ORDER_TIMEOUT_S = 3.0
RESEND_INTERVAL_S = 30.0
"""Time for an engine to load before the same order is sent to it again."""

LOADS_PER_S = 0.5
LOADS_AT_ONCE = 2.0
"""Each order to load makes an engine read the weight store, which is rate-limited."""

ID_DIGITS = 12


class OrderPlan:
    """Decides the orders of one duty, during one holding of its lease."""

    def __init__(self, service: ServiceName, fencing: Fencing, now_s: float) -> None:
        self._service = service
        self._loads = TokenBucket(LOADS_PER_S, LOADS_AT_ONCE, now_s)
        self._sent_s_by_id: dict[str, float] = {}
        self._from_s = now_s + (ORDER_TIMEOUT_S if fencing is Fencing.IGNORED else 0.0)

    def next_order(
        self,
        now_s: float,
        lease: Lease,
        runner: RunnerId,
        desired: tuple[ModelName, ...],
        present: tuple[ModelName, ...],
    ) -> Order | None:
        """Give the order to send to an engine at once, or None."""
        if set(present) == set(desired) or not desired:
            return None
        if now_s < self._from_s:
            return None
        # A holder that was paused learns it here: its own clock has passed the lease's end.
        if lease.remaining_s(now_s) <= ORDER_TIMEOUT_S:
            return None
        order = Order(self._id(lease.fencing, runner, desired), lease.fencing, desired)
        sent_s = self._sent_s_by_id.get(order.id)
        if sent_s is not None and now_s < sent_s + RESEND_INTERVAL_S:
            return None
        if self._loads.wait_s(now_s) > 0:
            return None
        self._loads.spend(now_s)
        self._sent_s_by_id[order.id] = now_s
        return order

    def _id(self, fencing: int, runner: RunnerId, desired: tuple[ModelName, ...]) -> str:
        text = "/".join((self._service, str(fencing), runner, *sorted(desired)))
        return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]
