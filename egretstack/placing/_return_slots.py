"""When refused callers may return. Does no I/O; the time is passed in.

This answers a load that engines can't serve at once and whose callers return: callers that all
return after the same time meet the same full engines, and are refused for good. Each caller gets a
slot instead, which is a place among those that are forecast to become free. No memory stays unused
for a slot: a caller that returns in its slot goes before newcomers of its rank, and there are so
few slots compared with the places that one is free for it within moments.
"""

from bisect import bisect_right
from collections import Counter, OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from math import ceil, inf

from egretstack.ids import ServiceName
from egretstack.placing._run import GenerationRequest

MAX_SLOTS = 4_096
PLACES_PER_SLOT = 8
"""Places forecast for each slot. An answer to a caller that returns is mostly late, and worth a
fifth or less of one in time. With a slot for each place, returns would make all newcomers late.
With one for every fourth, fewer callers were in time than with one for every eighth."""
EARLY_S = 0.05
"""How long before its time a caller may return: it was told the time in ms, some ms ago."""
LAPSE_S = 1.5
"""How long after its time a slot is kept: for a new connection, and a busy client machine."""
RETURNED_TTL_S = 10.0
"""How long a slot is kept for a caller that returned in it and waits; more than it ever waits."""
MIN_RETURN_S = 0.1


SlotKind = tuple[ServiceName, int]
"""Service and rank."""


class ReturnOutcome(Enum):
    """What became of a slot; these are label values of a counter."""

    KEPT = "kept"
    """Its caller returned on time."""
    EARLY = "early"
    """Its caller returned too early, and was told the remaining time."""
    MISSED = "missed"
    """Its caller did not return."""


@dataclass(slots=True)
class ReturnSlot:
    """A time at which a caller may return, with the room that it needs then."""

    key: str
    service: ServiceName
    rank: int
    area: float
    """Memory times time that its run needs, in token seconds."""
    due_s: float
    attempt: str
    """The attempt that was refused."""
    account: str = ""
    returned_attempt: str = ""
    """The attempt that returned on time; empty before."""

    def lapses_s(self) -> float:
        """Return when the slot lapses."""
        return self.due_s + (RETURNED_TTL_S if self.returned_attempt else LAPSE_S)


class ReturnSlots:
    """The slots of callers that were refused, by prompt."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[str, ReturnSlot] = OrderedDict()
        self._key_by_returned_attempt: dict[str, str] = {}
        self._area_by_kind: Counter[SlotKind] = Counter()
        """Area of the slots that are not taken, by service and rank."""
        self._count_by_account: Counter[tuple[SlotKind, str]] = Counter()
        """Number of these slots."""
        self._outcomes: list[tuple[ReturnOutcome, ReturnSlot]] = []
        self._next_lapse_s = inf

    def __len__(self) -> int:
        return len(self._by_key)

    def upcoming(self) -> list[ReturnSlot]:
        """Return the slots whose callers have not returned yet, in no particular order."""
        return [slot for slot in self._by_key.values() if not slot.returned_attempt]

    def find(self, now_s: float, request: GenerationRequest) -> ReturnSlot | None:
        """Return the slot of a request's caller; None if it has none or its slot has lapsed."""
        slot = self._by_key.get(request.prompt_id)
        return slot if slot is not None and now_s <= slot.lapses_s() else None

    def is_due(self, now_s: float, request: GenerationRequest) -> bool:
        """Return whether a request was sent on time by a caller with a slot."""
        slot = self.find(now_s, request)
        return slot is not None and slot.returned_attempt == request.attempt

    def is_taken_by(self, request: GenerationRequest) -> bool:
        """Return whether a request has taken its caller's slot."""
        slot = self._by_key.get(request.prompt_id)
        return slot is not None and slot.returned_attempt == request.attempt

    def early_s(self, now_s: float, request: GenerationRequest) -> float:
        """Return how much too early a caller returned; 0 if it is on time or has no slot."""
        slot = self.find(now_s, request)
        if slot is None or slot.returned_attempt or now_s >= slot.due_s - EARLY_S:
            return 0.0
        return slot.due_s - now_s

    def record_request(self, now_s: float, request: GenerationRequest) -> None:
        """Record that a caller sent a request; one that is on time takes its slot.

        A second caller with the same prompt finds the slot taken, and is a newcomer.
        """
        slot = self.find(now_s, request)
        if slot is None or slot.returned_attempt:
            return
        if now_s >= slot.due_s - EARLY_S:
            self._count(slot, -1)
            slot.returned_attempt = request.attempt
            self._key_by_returned_attempt[request.attempt] = slot.key
            self._record(ReturnOutcome.KEPT, slot)
        elif request.attempt != slot.attempt:
            self._record(ReturnOutcome.EARLY, slot)

    def assign(
        self,
        now_s: float,
        request: GenerationRequest,
        area: float,
        place_times_s: Sequence[float],
        ahead: float,
        latest_s: float,
        *,
        places_per_slot: float = PLACES_PER_SLOT,
        accounts: int = 1,
    ) -> ReturnSlot | None:
        """Give the caller of a request a slot until `latest_s`; None if there is no room for it.

        `place_times_s` are the times of the places for requests like this one, of which those that
        wait take the first `ahead`. Slots of less urgent requests take none of them. Each of the
        `accounts` that send such requests has an even part of the slots, and at least one.
        """
        if not request.prompt_id or area <= 0:
            return None
        self.drop_lapsed(now_s)
        if len(self._by_key) >= MAX_SLOTS:
            return None
        self._pop(request.prompt_id)
        kind = request.service, request.rank
        pending = sum(
            it for one, it in self._area_by_kind.items() if one[0] == kind[0] and one[1] <= kind[1]
        )
        slots = 1.0 + pending / area
        own = self._count_by_account[kind, request.account]
        places = bisect_right(place_times_s, latest_s) - ahead
        if own and own + 1 > places / places_per_slot / accounts:
            return None
        index = ceil(ahead + places_per_slot * slots) - 1
        if index >= len(place_times_s):
            return None
        due_s = max(now_s + MIN_RETURN_S, place_times_s[index])
        if due_s > latest_s:
            return None
        slot = ReturnSlot(
            request.prompt_id,
            request.service,
            request.rank,
            area,
            due_s,
            request.attempt,
            request.account,
        )
        self._by_key[slot.key] = slot
        self._count(slot, 1)
        self._next_lapse_s = min(self._next_lapse_s, slot.lapses_s())
        return slot

    def places_left_s(
        self, request: GenerationRequest, area: float, place_times_s: Sequence[float]
    ) -> list[float]:
        """Return the times of places without those that slots of its or more urgent ranks take."""
        due = sorted((slot.due_s, slot.area / area) for slot in self._competing(request))
        if not due:
            return list(place_times_s)
        left, taken, following = [], 0.0, 0
        for at_s in place_times_s:
            while following < len(due) and due[following][0] <= at_s:
                taken += due[following][1]
                following += 1
            if taken >= 1.0:
                taken -= 1.0
            else:
                left.append(at_s)
        return left

    def record_placed(self, request: GenerationRequest) -> None:
        """Forget the slot of a request that got a place."""
        self._pop(request.prompt_id)

    def forget(self, attempt: str) -> None:
        """Forget the slot in which an attempt returned whose caller no longer waits."""
        key = self._key_by_returned_attempt.get(attempt)
        if key is not None:
            self._pop(key)

    def drop_lapsed(self, now_s: float) -> None:
        """Drop slots whose time has passed."""
        if now_s <= self._next_lapse_s:
            return
        for key, slot in list(self._by_key.items()):
            if now_s > slot.lapses_s():
                self._pop(key)
                if not slot.returned_attempt:
                    self._record(ReturnOutcome.MISSED, slot)
        self._next_lapse_s = min((it.lapses_s() for it in self._by_key.values()), default=inf)

    def take_outcomes(self) -> list[tuple[ReturnOutcome, ReturnSlot]]:
        """Return what became of slots since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def _record(self, outcome: ReturnOutcome, slot: ReturnSlot) -> None:
        if len(self._outcomes) < MAX_SLOTS:
            self._outcomes.append((outcome, slot))

    def _pop(self, key: str) -> None:
        slot = self._by_key.pop(key, None)
        if slot is None:
            return
        if slot.returned_attempt:
            self._key_by_returned_attempt.pop(slot.returned_attempt, None)
        else:
            self._count(slot, -1)

    def _count(self, slot: ReturnSlot, change: int) -> None:
        """Count a slot that is not taken, so that a refusal does not look at all slots."""
        kind = slot.service, slot.rank
        self._count_by_account[kind, slot.account] += change
        self._area_by_kind[kind] += change * slot.area
        if not self._count_by_account[kind, slot.account]:
            del self._count_by_account[kind, slot.account]
            if all(one != kind for one, _ in self._count_by_account):
                del self._area_by_kind[kind]  # Without what rounding has left of it.

    def _competing(self, request: GenerationRequest) -> Iterator[ReturnSlot]:
        """Return the slots, not yet taken, whose callers go before newcomers like this request."""
        return (
            slot
            for slot in self._by_key.values()
            if slot.rank <= request.rank
            and slot.service == request.service
            and not slot.returned_attempt
        )
