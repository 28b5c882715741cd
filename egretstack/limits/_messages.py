"""What an entry asks the home of its accounts, and the answer; numbers 30 to 39.

On the wire rates and tokens are whole thousandths. What an entry keeps is rounded up and what it
is given is rounded down, so that rounding never adds to a limit.
"""

from dataclasses import dataclass
from enum import Enum
from math import ceil
from typing import ClassVar

from egretstack.ids import MAX_NAME_LENGTH, AccountId, InstanceId
from egretstack.limits._share import Share
from egretstack.peers import Message, MessageError

MAX_ROWS = 256
MAX_WAITING = 1000
_MAX_NUMBER = 1_000_000_000
_MILLI = 1000
_ASK_FIELDS = 10
_GRANT_FIELDS = 7


@dataclass(frozen=True)
class LimitsAsk(Message):
    """All that one entry asks of one home; a greater serial is a later ask of that entry."""

    number: ClassVar[int] = 30
    instance: str
    serial: int
    rows: list


@dataclass(frozen=True)
class LimitsAnswer(Message):
    """The home's grants, in the order of the rows of the ask."""

    number: ClassVar[int] = 31
    rows: list


class GrantStatus(Enum):
    """What the answering instance is to an account."""

    GRANTED = 0
    WARMING = 1
    NOT_HOME = 2
    UNKNOWN_ACCOUNT = 3


@dataclass(frozen=True)
class GrantRequest:
    """One account in an ask.

    `keep` is the most the entry uses until it has the answer; it has bound itself to that when
    it sent the ask. `returned` is tokens given back, `waiting` requests that wait for a token.
    """

    account: AccountId
    open: int
    waiting: int
    keep: Share
    want: Share
    returned: float

    def packed(self) -> list:
        """Give the row as it is sent."""
        numbers = [self.open, min(self.waiting, MAX_WAITING)]
        kept = [_up(self.keep.rate), _up(self.keep.burst), self.keep.slots]
        wanted = [_up(self.want.rate), _up(self.want.burst), self.want.slots]
        return [self.account, *numbers, *kept, *wanted, _down(self.returned)]


@dataclass(frozen=True)
class Grant:
    """One account in an answer.

    `tokens` go into the entry's bucket. `direct` tokens are for the requests that wait, and are
    lost if they come later than FLIGHT_S after the ask. `wait_s` forecasts the next one.
    """

    status: GrantStatus
    share: Share
    tokens: float
    direct_tokens: int
    wait_s: float

    def packed(self) -> list:
        """Give the row as it is sent."""
        share = [_down(self.share.rate), _down(self.share.burst), self.share.slots]
        tokens = [_down(self.tokens), self.direct_tokens]
        return [self.status.value, *share, *tokens, _up(self.wait_s)]


def make_query(instance: InstanceId, serial: int, rows: list[GrantRequest]) -> LimitsAsk:
    """Build an ask."""
    return LimitsAsk(instance, serial, [row.packed() for row in rows])


def make_answer(grants: list[Grant]) -> LimitsAnswer:
    """Build an answer."""
    return LimitsAnswer([grant.packed() for grant in grants])


def parse_query(ask: LimitsAsk) -> list[GrantRequest]:
    """Check and read the rows of an ask; raise MessageError."""
    if len(ask.rows) > MAX_ROWS or not 0 < len(ask.instance) <= MAX_NAME_LENGTH:
        raise MessageError("an ask that is too large or has no sender")
    return [_ask_row(row) for row in ask.rows]


def parse_answer(answer: LimitsAnswer, count: int) -> list[Grant]:
    """Check and read the `count` rows of an answer; raise MessageError."""
    if len(answer.rows) != count:
        raise MessageError("an answer to another ask")
    return [_grant(row) for row in answer.rows]


def _ask_row(row: object) -> GrantRequest:
    if not isinstance(row, list) or len(row) != _ASK_FIELDS or not isinstance(row[0], str):
        raise MessageError("a row of an ask")
    if not 0 < len(row[0]) <= MAX_NAME_LENGTH:
        raise MessageError("the name of an account")
    open_now, waiting, *rest, returned = _numbers(row[1:])
    keep, want = _share(rest[:3]), _share(rest[3:])
    return GrantRequest(AccountId(row[0]), open_now, waiting, keep, want, returned / _MILLI)


def _grant(row: object) -> Grant:
    if not isinstance(row, list) or len(row) != _GRANT_FIELDS:
        raise MessageError("a row of an answer")
    standing, *rest, tokens, direct, wait = _numbers(row)
    if standing > GrantStatus.UNKNOWN_ACCOUNT.value:
        raise MessageError("an unknown standing")
    return Grant(GrantStatus(standing), _share(rest), tokens / _MILLI, direct, wait / _MILLI)


def _numbers(values: list) -> list[int]:
    if not all(type(value) is int and 0 <= value <= _MAX_NUMBER for value in values):
        raise MessageError("a number out of bounds")
    return values


def _share(numbers: list[int]) -> Share:
    return Share(numbers[0] / _MILLI, numbers[1] / _MILLI, numbers[2])


def _up(value: float) -> int:
    return min(_MAX_NUMBER, ceil(value * _MILLI))


def _down(value: float) -> int:
    return min(_MAX_NUMBER, int(value * _MILLI))
