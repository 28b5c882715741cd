"""Limits messages: what the codec preserves, and what is refused from a faulty peer."""

import msgpack

from egretstack.ids import AccountId, InstanceId
from egretstack.limits import (
    Grant,
    GrantRequest,
    GrantStatus,
    HomeLocator,
    LimitsAnswer,
    LimitsAsk,
    LimitsHome,
    Share,
    make_answer,
    make_query,
)
from egretstack.limits._messages import MAX_ROWS, parse_answer, parse_query
from egretstack.peers import MessageError, decode, encode
from tests.limits_fleet import contract
from tests.support import check, tests_of

load_tests = tests_of(globals())

ROW = GrantRequest(AccountId("acme"), 3, 1, Share(1.0, 2.0, 3), Share(4.0, 5.0, 6), 0.5)
PACKED = ROW.to_row()


def test_rows_pass_the_codec():
    query = make_query(InstanceId("entry-a"), 7, [ROW])
    check.assertEqual(parse_query(decode(msgpack.unpackb(encode(query)))), [ROW])
    grant = Grant(GrantStatus.GRANTED, Share(1.5, 2.25, 4), 0.125, 2, 3.0)
    answer = decode(msgpack.unpackb(encode(make_answer([grant]))))
    check.assertEqual(parse_answer(answer, 1), [grant])


def test_rounding_never_adds_to_a_limit():
    kept = GrantRequest(AccountId("acme"), 0, 0, Share(0.0001, 0.0001, 0), Share(), 0.0009)
    query = make_query(InstanceId("entry-a"), 1, [kept])
    check.assertEqual(parse_query(query)[0].keep, Share(0.001, 0.001, 0))
    check.assertEqual(parse_query(query)[0].returned, 0.0)
    grant = Grant(GrantStatus.GRANTED, Share(0.0019, 0.0019, 0), 0.0019, 0, 0.0)
    read = parse_answer(make_answer([grant]), 1)[0]
    check.assertEqual((read.share, read.tokens), (Share(0.001, 0.001, 0), 0.001))


def test_a_malformed_query_is_refused():
    faulty_rows = [
        7,
        [],
        PACKED[:-1],
        PACKED + [1],
        [7, *PACKED[1:]],
        ["", *PACKED[1:]],
        ["a" * 64, *PACKED[1:]],
        ["acme", -1, *PACKED[2:]],
        ["acme", True, *PACKED[2:]],
        ["acme", 1.5, *PACKED[2:]],
        ["acme", 10**10, *PACKED[2:]],
    ]
    for row in faulty_rows:
        with check.subTest(row=row), check.assertRaises(MessageError):
            parse_query(LimitsAsk("entry-a", 1, [row]))


def test_a_query_with_too_many_rows_or_no_sender_is_refused():
    with check.assertRaises(MessageError):
        parse_query(LimitsAsk("entry-a", 1, [PACKED] * (MAX_ROWS + 1)))
    with check.assertRaises(MessageError):
        parse_query(LimitsAsk("", 1, [PACKED]))
    with check.assertRaises(MessageError):
        parse_query(LimitsAsk("a" * 64, 1, [PACKED]))


def test_an_answer_to_another_query_is_refused():
    grant = Grant(GrantStatus.GRANTED, Share(), 0.0, 0, 0.0)
    with check.assertRaises(MessageError):
        parse_answer(make_answer([grant]), 2)
    for row in ([], [9, 0, 0, 0, 0, 0, 0], [0, 0, 0, -1, 0, 0, 0], "no"):
        with check.subTest(row=row), check.assertRaises(MessageError):
            parse_answer(LimitsAnswer([row]), 1)


def test_unknown_accounts_use_no_memory_of_a_home():
    homes = HomeLocator(0.0)
    own = InstanceId("entry-a")
    homes.update_view(0.0, {own: "zone"})
    home = LimitsHome(own, homes, 0.0)
    for number in range(50):
        rows = [
            GrantRequest(AccountId(f"x{number}-{place}"), 1, 1, Share(), Share(1, 1, 1), 0.0)
            for place in range(MAX_ROWS)
        ]
        answer = home.answer(number * 0.1, own, make_query(own, number + 1, rows), {})
        check.assertIs(parse_answer(answer, MAX_ROWS)[0].status, GrantStatus.UNKNOWN_ACCOUNT)
    check.assertEqual(home.account_count, 0)


def test_a_home_grants_to_a_bounded_number_of_entries():
    homes = HomeLocator(0.0)
    own = InstanceId("entry-a")
    homes.update_view(0.0, {own: "zone"})
    home = LimitsHome(own, homes, 0.0)
    known = {AccountId("acme"): contract()}
    row = GrantRequest(AccountId("acme"), 1, 0, Share(), Share(slots=1), 0.0)
    for number in range(3000):
        entry = InstanceId(f"e{number}")
        home.answer(0.0, entry, make_query(entry, 1, [row]), known)
    check.assertLessEqual(len(home._grants_by_account["acme"]._grant_by_entry), 2048)
