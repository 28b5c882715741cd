"""Draws the picture of the burn page: `burn_picture.py METRICS... PICTURE`."""

import sys
from pathlib import Path

from egretstack.reports import burns_of, read_snapshots
from egretstack.reports._plots import burn_figure, png_of


def main() -> None:
    """Draw."""
    *files, picture = (Path(argument) for argument in sys.argv[1:])
    picture.write_bytes(png_of(burn_figure(burns_of(read_snapshots(files)))))


if __name__ == "__main__":
    main()
