"""Counts what one session contributes to its account's service levels."""

from egretstack import clock
from egretstack.contracts import Contract
from egretstack.errors import EgretError, ErrorKind, RunState
from egretstack.metrics import LevelTargets, Pace, ServiceLevels
from egretstack.sessions._outcome import FinishedAnswer
from egretstack.sessions._session import Session

_BY_CALLER = frozenset({ErrorKind.GENERATION_CANCELLED})


class SessionLevels:
    """Follows one session from `opened_s`, when its request came, to its end."""

    def __init__(
        self, session: Session, contract: Contract, levels: ServiceLevels, opened_s: float
    ) -> None:
        targets = LevelTargets(
            contract.first_token_target_s, contract.gap_target_s, contract.target_share
        )
        self._account = levels.of(contract.account, targets)
        self._pace = Pace(self._account, opened_s, resumed=session.delivered > 0)
        session.on_read = self._taken
        session.on_outcome = self._ended

    def _taken(self, tokens: int) -> None:
        self._pace.delivered(clock.now(), tokens)

    def _ended(self, outcome: FinishedAnswer | EgretError) -> None:
        kept = is_success(outcome)
        if kept is not None:
            self._account.ended(kept=kept)


def is_success(outcome: FinishedAnswer | EgretError) -> bool | None:
    """Tell whether an accepted session finished or was refused truthfully with nothing run.

    None for a session that its caller ended.
    """
    if isinstance(outcome, FinishedAnswer):
        return True
    return None if outcome.kind in _BY_CALLER else outcome.run is RunState.NOT_RUN
