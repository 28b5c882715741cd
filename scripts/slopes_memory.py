"""Measures the memory of one instance's objects in fleets of several sizes."""

from loguru import logger

from scripts._slope import fit, print_slope
from scripts.slopes_nodes import run_fleet

FLEET_SIZES = (5, 10, 20)


def main() -> None:
    """Measure fleets of every size and print the slope."""
    held = {size: run_fleet(size, memory=True).memory_bytes for size in FLEET_SIZES}
    print_slope(fit("idle_memory", "bytes an instance", "instance", held))


if __name__ == "__main__":
    logger.remove()
    main()
