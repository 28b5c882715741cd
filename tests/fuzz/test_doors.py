"""A short seeded fuzz; `python -m tests.fuzz` plays more seeds."""

from tests.fuzz.play import play_inner_doors, play_outer_doors
from tests.support import on_real_clock, tests_of

load_tests = tests_of(globals())

OUTER_INPUTS = 400
INNER_INPUTS = 400


@on_real_clock
async def test_odd_input_of_clients_runners_and_writers_ends_nothing_else():
    # Guards against input from outside that ends a process or disturbs other requests, and against
    # decoders that let in what fails where it is used.
    for seed in (1, 2):
        await play_outer_doors(seed, OUTER_INPUTS)


@on_real_clock
async def test_odd_input_at_the_ports_of_other_instances_ends_nothing():
    # Guards against a message of a peer of another build, or of anybody on that network, that ends
    # the process.
    for seed in (1, 2):
        await play_inner_doors(seed, INNER_INPUTS)
