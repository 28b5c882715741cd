"""Records one session's contribution to its account's service levels."""

from egretstack import clock
from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind, RunState
from egretstack.metrics import DeliveryPace, LevelTargets, ServiceLevels
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._session import Session

_ENDED_BY_CALLER = frozenset({ErrorKind.GENERATION_CANCELLED})


class SessionLevels:
    """Records the service levels of one session, whose request arrived at `opened_s`."""

    def __init__(
        self, session: Session, contract: Contract, levels: ServiceLevels, opened_s: float
    ) -> None:
        targets = LevelTargets(
            contract.first_token_target_s, contract.gap_target_s, contract.target_share
        )
        self._account = levels.for_account(contract.account, targets)
        self._pace = DeliveryPace(self._account, opened_s, resumed=session.delivered > 0)
        session.on_read = self._on_read
        session.on_outcome = self._on_outcome

    def _on_read(self, tokens: int) -> None:
        self._pace.record_delivered(clock.now(), tokens)

    def _on_outcome(self, outcome: FinishedAnswer | EgretError) -> None:
        success = is_success(outcome)
        if success is not None:
            self._account.record_ended(success=success)


def is_success(outcome: FinishedAnswer | EgretError) -> bool | None:
    """Return whether an accepted session finished, or was refused and certainly did not run.

    Returns None for a session that its caller cancelled.
    """
    if isinstance(outcome, FinishedAnswer):
        return True
    return None if outcome.kind in _ENDED_BY_CALLER else outcome.run is RunState.NOT_RUN
