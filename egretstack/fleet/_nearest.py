"""Which instances the callers of a region are sent to; pure."""

from collections.abc import Collection, Mapping

from egretstack.fleet._instance import Instance
from egretstack.ids import RegionName, ZoneName


def nearest(
    instances: list[Instance],
    region_by_zone: Mapping[ZoneName, RegionName],
    region: RegionName,
    allowed_regions: Collection[RegionName],
) -> list[Instance]:
    """Return the instances of the callers' region, else of the allowed regions, else all.

    Bodies of requests that are bound to regions then go to no others, as long as an instance is
    ready in one of them.
    """
    for regions in ({region}, allowed_regions):
        nearby = [one for one in instances if region_by_zone.get(one.zone) in regions]
        if nearby:
            return nearby
    return instances
