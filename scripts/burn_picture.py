"""Plots the picture of the burn page: `burn_picture.py METRICS... PICTURE`."""

import sys
from pathlib import Path

from egretstack.reports import compute_burns, read_snapshots
from egretstack.reports._plots import burn_figure, render_png


def main() -> None:
    """Plot the picture."""
    *files, picture = (Path(argument) for argument in sys.argv[1:])
    picture.write_bytes(render_png(burn_figure(compute_burns(read_snapshots(files)))))


if __name__ == "__main__":
    main()
