"""Plays seeds of the fuzz one after the other; ends with the number of those that failed."""

import argparse
import sys
import traceback

import trio
from loguru import logger

from tests.fuzz.play import play_inner_doors, play_outer_doors


def main() -> int:
    """Play the seeds and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--inputs", type=int, default=400, help="inputs of each kind of play")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        for play in (play_outer_doors, play_inner_doors):
            try:
                trio.run(play, seed, options.inputs)
            except BaseException as error:
                if isinstance(error, KeyboardInterrupt):
                    raise
                failed += 1
                print(f"seed {seed}, {play.__name__}:\n{traceback.format_exc()}", flush=True)
        print(f"seed {seed} played, {failed} failed so far", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    logger.remove()
    sys.exit(main())
