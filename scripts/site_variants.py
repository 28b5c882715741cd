"""Writes variants of a site file: the same site with other bounds, machines, links or engines.

    python scripts/site_variants.py SITE OUT

No figure of the product may be tuned to one site. Days hunted on these variants show where one is:
each changes one thing, far enough to matter and within what an operator might run.
"""

import re
import shutil
from collections.abc import Callable
from pathlib import Path

from cyclopts import App

app = App(help=__doc__)

TIME_BOUNDS = ("drain_ms", "config_ms", "grace_s", "touch_ms", "ack_ms")
Edit = Callable[[str], str]


class NothingReplaced(Exception):
    """Raised if a variant changes nothing: the site file does not use the expected names."""


def scale(names: tuple[str, ...], factor: float) -> Edit:
    """Return an edit that multiplies the given figures wherever they occur."""
    pattern = re.compile(rf"\b({'|'.join(names)}) = (\d+(?:\.\d+)?)")

    def times(found: re.Match[str]) -> str:
        whole = "." not in found[2]
        value = float(found[2]) * factor
        return f"{found[1]} = {max(1, round(value)) if whole else round(value, 4)}"

    return lambda text: pattern.sub(times, text)


def switch_off(*names: str) -> Edit:
    """Return an edit that sets the given switches to false."""
    pattern = re.compile(rf"\b({'|'.join(names)}) = true")
    return lambda text: pattern.sub(r"\1 = false", text)


def limit_to_one_machine_per_zone(text: str) -> str:
    """Reduce each zone to one machine, in the site and in each of its days."""
    return re.sub(r'(class = "front".*?count = )\d+', r"\g<1>1", text)


EDIT_BY_NAME: dict[str, Edit] = {
    "bounds-halved": scale(TIME_BOUNDS, 0.5),
    "bounds-doubled": scale(TIME_BOUNDS, 2.0),
    "no-load-told": switch_off("load_header"),
    "no-copies": switch_off("backups", "moves"),
    "engines-half": scale(("kv_tokens",), 0.5),
    "zones-far": scale(("cross_zone_ms", "client_ms"), 10.0),
    "store-tight": scale(("writes_per_s", "reads_per_s"), 0.25),
    "machines-few": limit_to_one_machine_per_zone,
    "machines-weak": scale(("cpu_share", "memory_mb"), 0.6),
}


@app.default
def write(site: Path, out: Path) -> None:
    """Write every variant of a site, with the files beside it that days need.

    Parameters
    ----------
    site
        Site file.
    out
        Folder for the variants; made if need be.
    """
    out.mkdir(parents=True, exist_ok=True)
    for sibling in site.parent.iterdir():
        if sibling.is_file() and sibling.suffix != ".toml":
            shutil.copyfile(sibling, out / sibling.name)
    text = site.read_text()
    for name, edit in EDIT_BY_NAME.items():
        changed = edit(text)
        if changed == text:
            raise NothingReplaced(f"{name}: {site}")
        path = out / f"{site.stem}-{name}.toml"
        path.write_text(changed)
        print(path)


if __name__ == "__main__":
    app()
