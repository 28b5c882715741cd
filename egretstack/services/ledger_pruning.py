"""The fleet duty that removes old segments of the ledger."""

import trio

from egretstack.duties import FleetTask, PacedObjectApi
from egretstack.events import Event, log
from egretstack.ids import DutyName
from egretstack.kernel import Service
from egretstack.ledger import LedgerPruner

PRUNE_PERIOD_S = 600.0
"""How often the holder makes a round. Segments are removed by the hour, so a shorter period is of
no use."""


class LedgerPruning(Service, FleetTask):
    """Offers one round of pruning; it runs nothing by itself."""

    name = "ledger_pruning"
    duty = DutyName("fleet.ledger-pruning")
    period_s = PRUNE_PERIOD_S

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until the holder of the duty calls `round`."""
        task_status.started()
        await trio.sleep_forever()

    async def run_round(self, api: PacedObjectApi) -> None:
        """Make one round.

        The lease only saves calls, since each step is harmless when it is late.
        """
        pruner = LedgerPruner(api, before_pair=api.wait_for_pair)
        pruned = await pruner.prune(self.kernel.epoch.now())
        log(Event.LEDGER_PRUNED, segments=pruned.segments, failed_heads=pruned.failed_heads)
