"""Fixtures for the tests of limits under faults."""

from egretstack.limits import contract_share
from tests.limits_fleet import Fleet, contract

LONG_HOLD_S = 1000.0
SLOTS = 48
ACME = contract(rate=1000, burst=1000, concurrency=SLOTS)


def fleet_and_home(count=6):
    """Return a settled fleet, the home of acme, and the other nodes."""
    fleet = Fleet(count, [ACME])
    home = fleet.home_of("acme")
    return fleet, home, fleet.others(home)


def heavy_demand(fleet, nodes, hold_s=LONG_HOLD_S, each=4):
    """Return a function that requests far more than the limits on some nodes."""

    def demand():
        for node in nodes:
            for _ in range(each):
                fleet.request(node, hold_s=hold_s)

    return demand


def fallback_slots(nodes):
    """Return the slots of the conservative shares of nodes, each in its own view."""
    whole = contract_share(ACME)
    return sum(node.homes.conservative_share("acme", node.name, whole).slots for node in nodes)
