"""A home that sends updates and instances that follow it, without a network."""

from itertools import count

from egretstack.fleet import (
    FleetNews,
    HeldVersion,
    UpdatePublisher,
    VersionedRows,
    broadcast_instance_row,
    instance_row,
    runner_row,
)
from egretstack.ids import InstanceId
from tests.fleet_fixtures import known_instance, runner

OTHER = InstanceId("entry-1")
INSTANCES = 195
RUNNERS = 35
MAX_DATAGRAM = 1_400
DATAGRAM_HEADERS = 42
REPORT_S = 0.25


def publisher(epoch=7, held=None, rows=None):
    epochs = count(epoch)
    return UpdatePublisher(lambda: next(epochs), held or HeldVersion(), rows or VersionedRows())


def message_with(home, part):
    """Return a part as the message that is sent."""
    update = FleetNews(
        home=instance_row(known_instance(0)),
        epoch=home.epoch,
        continued_epoch=home.continued.epoch,
        continued_version=home.continued.version,
        base=0,
        upto=0,
        latest=home.rows.version,
        rows=b"",
        runners_revision=900,
        runners_age_ms=40,
        evacuations_revision=900,
        evacuations_age_ms=40,
        config_version=3,
        config_holders=[f"edge-guanajuato-c-{number}" for number in range(8)],
    )
    return part.fill(update)


def deliver_all(home, follower):
    """Deliver all that a follower lacks, without loss; return the result of the last part."""
    name = InstanceId(f"follower-{id(follower)}")
    home.record_held(name, follower.held)
    for part in home.parts_for(0.0, name):
        result = follower.apply(message_with(home, part))
    home.retain(set())
    return result


def fleet_rows(instances=INSTANCES, runners=RUNNERS):
    """Return the rows of a whole fleet."""
    rows = {
        f"r{name}": [*runner_row(runner(name)), 0]
        for name in map("i-{:010x}".format, range(runners))
    }
    for number in range(instances):
        rows[f"i{number}"] = broadcast_instance_row(known_instance(number), watches=number < 2)
    return rows
