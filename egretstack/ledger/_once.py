"""A call that runs at most once, from its idempotency key to its final answer."""

from collections.abc import Callable
from dataclasses import replace

import trio

from egretstack.clock import EpochClock
from egretstack.contracts import Fencing, ServiceSpec
from egretstack.errors import EgretError, ErrorKind
from egretstack.events import Event, log
from egretstack.ids import AccountId, IdempotencyKey
from egretstack.ledger._attempts import NextAction, SendHistory, next_action
from egretstack.ledger._entry import CallState, fingerprint
from egretstack.ledger._intents import CallLedger, Intent, IntentRequest
from egretstack.ledger._lookup import (
    FENCING_HEADER,
    KEY_HEADER,
    LookupResult,
    make_lookup_request,
    parse_lookup,
)
from egretstack.ledger._row import KeptAnswer, Row, check_same_request, key_id
from egretstack.upstreams import CallRequest, CallResponse, OutcomeUnknown, PlainService, Unsent

MAX_KEY_LENGTH = 255
MAX_RUNNERS_TRIED = 3
IN_PROGRESS_RETRY_S = 2.0
_HTTP_CONFLICT = 409
RAN_WITHOUT_ANSWER = KeptAnswer(0)


class AtMostOnceCall:
    """One call with an idempotency key; `runners` returns the live runners of its service."""

    def __init__(
        self,
        ledger: CallLedger,
        epoch: EpochClock,
        spec: ServiceSpec,
        account: AccountId,
        request: CallRequest,
        runners: Callable[[], list[PlainService]],
    ) -> None:
        self._ledger = ledger
        self._epoch = epoch
        self._spec = spec
        self._account = account
        self._request = request
        self._runners = runners
        self._key = _idempotency_key(request)
        self._deadline_s = trio.current_time() + request.timeout_s

    async def run(self) -> CallResponse:
        """Write the intent and send the call, or answer from the ledger. Raises EgretError."""
        intent_request = IntentRequest(
            key_id(self._account, self._spec.name, self._key),
            fingerprint(self._request),
            self._request.timeout_s,
            self._spec.retention_s,
        )
        begin_result = await self._ledger.begin(intent_request)
        if isinstance(begin_result, Row) and begin_result.is_open:
            begin_result = await self._resolve_open_row(intent_request, begin_result)
        if isinstance(begin_result, Intent):
            return await self._dispatch(begin_result)
        return self._recorded_response(begin_result)

    def _recorded_response(self, row: Row) -> CallResponse:
        check_same_request(row, fingerprint(self._request))
        if row.state is CallState.DONE:
            return row.answer.replay()
        if row.state is CallState.UNKNOWN:
            raise EgretError(ErrorKind.OUTCOME_UNKNOWN, "the first call's outcome is unknown")
        raise _in_progress("another attempt has just begun")

    async def _resolve_open_row(self, intent_request: IntentRequest, row: Row) -> Intent | Row:
        """Handle another attempt's open intent; take over the key only if that is safe."""
        check_same_request(row, intent_request.fingerprint)
        stage = await self._ledger.stage(row)
        now_s = self._epoch.now()
        action = next_action(stage, row, now_s, bool(self._spec.lookup))
        if action is NextAction.LOOK_UP:
            action = await self._look_up(row, next_action(stage, row, now_s, has_lookup=False))
        if action is NextAction.RAN:
            return row.with_outcome(CallState.DONE, RAN_WITHOUT_ANSWER)
        if action is NextAction.WAIT:
            raise _in_progress(f"a call with this key has begun; its sender is {stage.value}")
        if action is NextAction.UNKNOWN:
            raise EgretError(ErrorKind.OUTCOME_UNKNOWN, f"the call's sender is {stage.value}")
        log(Event.CALL_TAKEN_OVER, attempt=row.attempt, stage=stage.value)
        return await self._ledger.begin(replace(intent_request, replaces=row.attempt))

    async def _look_up(self, row: Row, fallback: NextAction) -> NextAction:
        """Query the service for whether the call ran; return `fallback` if that settles nothing.

        "It did not run" settles it only if the look-up also fences the attempt off. Otherwise a
        sender that is paused just before its first byte could still send the call after the
        look-up.
        """
        request = make_lookup_request(self._spec, self._account, self._key, row.fence + 1)
        result = LookupResult.NO_ANSWER
        for runner in self._runners()[:MAX_RUNNERS_TRIED]:
            try:
                result = parse_lookup(await runner.call(request))
            except (Unsent, OutcomeUnknown):
                continue
            break
        log(Event.CALL_LOOKED_UP, attempt=row.attempt, found=result.value)
        if result is LookupResult.RAN:
            return NextAction.RAN
        fenced = self._spec.fencing is Fencing.CHECKED
        return NextAction.REPLACE if result is LookupResult.NOT_RAN and fenced else fallback

    async def _dispatch(self, intent: Intent) -> CallResponse:
        history = SendHistory()
        for runner in self._runners()[:MAX_RUNNERS_TRIED]:
            if trio.current_time() >= self._deadline_s:
                break
            try:
                answer = await self._send(runner, intent)
            except Unsent as error:
                history.record_unsent(error.proof)
                continue
            except EgretError as error:
                # The check before the first byte found that the intent is too old to be sent.
                history.record_unsent(error.proof)
                break
            except OutcomeUnknown as error:
                log(Event.CALL_UNKNOWN, attempt=intent.row.attempt, cause=str(error))
                history.record_unknown(str(error))
                await self._ledger.finish(intent, None)
                break
            return await self._record_answer(intent, answer)
        if not history.may_have_run:
            await self._ledger.release(intent)
        raise history.final_error(f"service {self._spec.name}", ErrorKind.OUTCOME_UNKNOWN)

    async def _send(self, runner: PlainService, intent: Intent) -> CallResponse:
        headers = self._request.headers
        if self._spec.fencing is Fencing.CHECKED:
            headers = (*headers, (FENCING_HEADER, str(intent.row.fence)))
        left_s = self._deadline_s - trio.current_time()
        request = replace(self._request, headers=headers, timeout_s=left_s)

        def check() -> None:
            self._ledger.check_send(intent)

        check()
        return await runner.call(request, check)

    async def _record_answer(self, intent: Intent, answer: CallResponse) -> CallResponse:
        if self._spec.fencing is Fencing.CHECKED and _is_fenced_off(intent, answer):
            # A repeat fenced this attempt off while this process was paused. The refusal is not
            # an answer to the call, and the key is free or belongs to the repeat.
            await self._ledger.release(intent)
            raise _in_progress("a later attempt took this one's place")
        if not await self._ledger.finish(intent, KeptAnswer.from_response(answer)):
            raise _in_progress("a later attempt took this one's place")
        return answer


def _is_fenced_off(intent: Intent, answer: CallResponse) -> bool:
    """Return whether the upstream refused an old fencing number.

    Such an answer has status 409 and names the higher number that the upstream has seen.
    """
    if answer.status != _HTTP_CONFLICT:
        return False
    seen = [value for name, value in answer.headers if name.lower() == FENCING_HEADER.lower()]
    return len(seen) == 1 and seen[0].isdecimal() and int(seen[0]) > intent.row.fence


def _in_progress(detail: str) -> EgretError:
    return EgretError(ErrorKind.IN_PROGRESS, detail, retry_after_s=IN_PROGRESS_RETRY_S)


def _idempotency_key(request: CallRequest) -> IdempotencyKey:
    found = [value for name, value in request.headers if name.lower() == KEY_HEADER.lower()]
    if len(found) != 1 or not 0 < len(found[0]) <= MAX_KEY_LENGTH:
        raise EgretError(ErrorKind.KEY_REQUIRED, f"{request.method} {request.path}")
    return IdempotencyKey(found[0])
