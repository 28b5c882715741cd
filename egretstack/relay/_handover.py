"""Decides whether a run may go on at another runner; silent ones are asked before."""

import trio

from egretstack.events import Event, log
from egretstack.ids import RunnerId
from egretstack.relay._active_runners import ActiveRunners
from egretstack.relay._context import RelayContext
from egretstack.relay._patience import ASK_AGAIN_S
from egretstack.relay._runner_probes import RunnerSign


class Handover:
    """Guards one run: no runner gets it while another one would go on with it.

    Every request that starts or continues the run is recorded here, and what shows its end.
    """

    def __init__(self, context: RelayContext, attempt: str) -> None:
        self._context = context
        self._attempt = attempt
        self._active = ActiveRunners()
        self._logged: frozenset[RunnerId] = frozenset()
        """The runners that were logged as keeping the run."""

    def record_sent(self, runner: RunnerId) -> None:
        """Record that a runner is sent the run now."""
        self._active.record_sent(trio.current_time(), runner)

    def record_sign(self, runner: RunnerId) -> None:
        """Record that a runner sent something."""
        self._active.record_sign(trio.current_time(), runner)

    def record_silence(self, runner: RunnerId, waited_s: float) -> None:
        """Record that a runner was waited for in vain, while this process ran."""
        self._active.record_silence(runner, waited_s)

    def record_left(self, runner: RunnerId) -> None:
        """Record that the run's connection to a runner is closed now."""
        self._active.record_left(trio.current_time(), runner)

    def record_ended(self, runner: RunnerId) -> None:
        """Record that a runner certainly does not work on the run, or not any more."""
        self._active.record_ended(runner)

    def look(self) -> None:
        """Count the time until now as silence of the runners that have sent nothing."""
        self._active.look(trio.current_time())

    def is_responsive(self, runner: RunnerId) -> bool:
        """Return whether a runner has sent something a moment ago."""
        return self._active.is_responsive(trio.current_time(), runner)

    async def is_allowed(self) -> bool:
        """Return whether another runner may get the run now: nobody would work on it beside it."""
        for runner in self._doubtful():
            await self.ask(runner)
        kept_by = frozenset(self._doubtful())
        if kept_by and kept_by != self._logged:
            self._logged = kept_by
            log(Event.RUN_KEPT, request=self._attempt, runners=",".join(sorted(kept_by)))
        return not kept_by

    async def until_allowed(self, limit_s: float) -> bool:
        """Wait until another runner may get the run, up to a limit; return whether it may."""
        with trio.move_on_after(limit_s):
            while not await self.is_allowed():
                await trio.sleep(ASK_AGAIN_S)
            return True
        return False

    def _doubtful(self) -> list[RunnerId]:
        now_s = trio.current_time()
        for runner in self._active.doubtful(now_s):
            if self._context.runners.is_gone(runner):
                self._active.record_ended(runner)
        return self._active.doubtful(now_s)

    async def ask(self, runner_id: RunnerId) -> RunnerSign:
        """Ask whether a runner answers, and record it."""
        runner = self._context.runners.by_id.get(runner_id)
        if runner is None:
            self._active.record_ended(runner_id)
            return RunnerSign.UNREACHABLE
        sign = await self._context.probes.ask(runner)
        log(Event.RUNNER_ASKED, request=self._attempt, runner=runner_id, sign=sign.value)
        if sign is RunnerSign.ANSWERS:
            self._active.record_sign(trio.current_time(), runner_id)
        elif sign is RunnerSign.UNREACHABLE:
            self._active.record_unreachable(runner_id)
        return sign

    def is_lost(self, runner: RunnerId) -> bool:
        """Return whether a runner accepts no connection or is silent for too long."""
        return self._active.is_lost(trio.current_time(), runner)
