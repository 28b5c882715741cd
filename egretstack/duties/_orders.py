"""Which orders bring the engines to the configured models. No I/O; the time is passed in.

Engines that check the fencing number are protected by it: they refuse orders of a previous holder.
For engines that ignore it, an order states the desired models and is sent only while the lease
lasts longer than the order's timeout. A new holder first waits for that timeout, so that no order
of the previous holder is still in flight; then it reads what each engine serves, and converges.
"""

import hashlib

from egretstack.contracts import Fencing
from egretstack.duties._lease import Lease
from egretstack.ids import ModelName, RunnerId, ServiceName
from egretstack.objectapi import TokenBucket
from egretstack.upstreams import Order

ORDER_TIMEOUT_S = 3.0
RESEND_INTERVAL_S = 30.0
"""How long an engine may take to load before the same order is sent to it again."""

LOADS_PER_S = 0.5
LOAD_BURST = 2.0
"""Orders sent at once. Each makes an engine read from the weight store, which is rate-limited."""

ID_DIGITS = 12


class OrderPlan:
    """Decides the orders of one duty while its lease is held with one fencing number."""

    def __init__(self, service: ServiceName, fencing: Fencing, now_s: float) -> None:
        self._service = service
        self._loads = TokenBucket(LOADS_PER_S, LOAD_BURST, now_s)
        self._sent_s_by_id: dict[str, float] = {}
        self._not_before_s = now_s + (ORDER_TIMEOUT_S if fencing is Fencing.IGNORED else 0.0)

    def next_order(
        self,
        now_s: float,
        lease: Lease,
        runner: RunnerId,
        desired: tuple[ModelName, ...],
        present: tuple[ModelName, ...],
    ) -> Order | None:
        """Return the order to send to an engine now, or None."""
        if set(present) == set(desired) or not desired:
            return None
        if now_s < self._not_before_s:
            return None
        # Also stops a holder that was paused: by its own clock the lease has expired.
        if lease.remaining_s(now_s) <= ORDER_TIMEOUT_S:
            return None
        order = Order(self._order_id(lease.fencing, runner, desired), lease.fencing, desired)
        sent_s = self._sent_s_by_id.get(order.id)
        if sent_s is not None and now_s < sent_s + RESEND_INTERVAL_S:
            return None
        if self._loads.wait_s(now_s) > 0:
            return None
        self._loads.spend(now_s)
        self._sent_s_by_id[order.id] = now_s
        return order

    def _order_id(self, fencing: int, runner: RunnerId, desired: tuple[ModelName, ...]) -> str:
        text = "/".join((self._service, str(fencing), runner, *sorted(desired)))
        return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]
