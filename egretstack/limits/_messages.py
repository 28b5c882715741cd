"""Messages between an entry and a limits home; message numbers 30 to 39.

On the wire, rates and tokens are integers in thousandths. What an entry keeps is rounded up and
what it is granted is rounded down, so that rounding never adds to a limit.
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
_REQUEST_FIELDS = 10
_GRANT_FIELDS = 7


@dataclass(frozen=True)
class LimitsAsk(Message):
    """A query: the grant requests of one entry to one home; a greater serial is a later query."""

    number: ClassVar[int] = 30
    instance: str
    serial: int
    rows: list


@dataclass(frozen=True)
class LimitsAnswer(Message):
    """The home's grants, in the order of the query's rows."""

    number: ClassVar[int] = 31
    rows: list


class GrantStatus(Enum):
    """Whether the answering instance grants the limits of an account.

    WARMING is a new home that does not grant yet.
    """

    GRANTED = 0
    WARMING = 1
    NOT_HOME = 2
    UNKNOWN_ACCOUNT = 3


@dataclass(frozen=True)
class GrantRequest:
    """One account in a query.

    `keep` is the most that the entry uses until it has the answer; it limits itself to that when it
    sends the query. `returned` is the number of tokens returned to the home, `waiting` the number
    of requests that wait for a token.
    """

    account: AccountId
    open: int
    waiting: int
    keep: Share
    want: Share
    returned: float

    def to_row(self) -> list:
        """Return the row to send."""
        numbers = [self.open, min(self.waiting, MAX_WAITING)]
        kept = [_round_up(self.keep.rate), _round_up(self.keep.burst), self.keep.slots]
        wanted = [_round_up(self.want.rate), _round_up(self.want.burst), self.want.slots]
        return [self.account, *numbers, *kept, *wanted, _round_down(self.returned)]


@dataclass(frozen=True)
class Grant:
    """One account in an answer.

    `tokens` go into the entry's bucket. `direct_tokens` are for waiting requests and are lost if
    they arrive later than DIRECT_TOKEN_TTL_S after the query. `wait_s` is the forecast time until
    the next token.
    """

    status: GrantStatus
    share: Share
    tokens: float
    direct_tokens: int
    wait_s: float

    def to_row(self) -> list:
        """Return the row to send."""
        share = [_round_down(self.share.rate), _round_down(self.share.burst), self.share.slots]
        tokens = [_round_down(self.tokens), self.direct_tokens]
        return [self.status.value, *share, *tokens, _round_up(self.wait_s)]


def make_query(instance: InstanceId, serial: int, rows: list[GrantRequest]) -> LimitsAsk:
    """Build a query."""
    return LimitsAsk(instance, serial, [row.to_row() for row in rows])


def make_answer(grants: list[Grant]) -> LimitsAnswer:
    """Build an answer."""
    return LimitsAnswer([grant.to_row() for grant in grants])


def parse_query(query: LimitsAsk) -> list[GrantRequest]:
    """Check and decode the rows of a query; raise MessageError."""
    if len(query.rows) > MAX_ROWS or not 0 < len(query.instance) <= MAX_NAME_LENGTH:
        raise MessageError("limits query too large or without a valid sender")
    return [_parse_request(row) for row in query.rows]


def parse_answer(answer: LimitsAnswer, count: int) -> list[Grant]:
    """Check and decode the `count` rows of an answer; raise MessageError."""
    if len(answer.rows) != count:
        raise MessageError("limits answer with the wrong number of rows")
    return [_parse_grant(row) for row in answer.rows]


def _parse_request(row: object) -> GrantRequest:
    if not isinstance(row, list) or len(row) != _REQUEST_FIELDS or not isinstance(row[0], str):
        raise MessageError("malformed row in a limits query")
    if not 0 < len(row[0]) <= MAX_NAME_LENGTH:
        raise MessageError("invalid account name in a limits query")
    open_now, waiting, *rest, returned = _checked_numbers(row[1:])
    keep, want = _parse_share(rest[:3]), _parse_share(rest[3:])
    return GrantRequest(AccountId(row[0]), open_now, waiting, keep, want, returned / _MILLI)


def _parse_grant(row: object) -> Grant:
    if not isinstance(row, list) or len(row) != _GRANT_FIELDS:
        raise MessageError("malformed row in a limits answer")
    status, *rest, tokens, direct, wait = _checked_numbers(row)
    if status > GrantStatus.UNKNOWN_ACCOUNT.value:
        raise MessageError("unknown status in a limits answer")
    return Grant(GrantStatus(status), _parse_share(rest), tokens / _MILLI, direct, wait / _MILLI)


def _checked_numbers(values: list) -> list[int]:
    if not all(type(value) is int and 0 <= value <= _MAX_NUMBER for value in values):
        raise MessageError("number out of range in a limits message")
    return values


def _parse_share(numbers: list[int]) -> Share:
    return Share(numbers[0] / _MILLI, numbers[1] / _MILLI, numbers[2])


def _round_up(value: float) -> int:
    return min(_MAX_NUMBER, ceil(value * _MILLI))


def _round_down(value: float) -> int:
    return min(_MAX_NUMBER, int(value * _MILLI))
