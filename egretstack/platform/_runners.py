"""Decodes what runners write about themselves into the store."""

from egretstack.fleet import Runner, RunnerState
from egretstack.ids import RunnerId, ServiceName, ZoneName
from egretstack.platform._bodies import Body, number, text, whole
from egretstack.platform._store import StoredObject

_DRAINING = "draining"


def decode_runner(entry: StoredObject) -> Runner:
    """Decode one runner's entry, which stands under the runner's id. Raises BadBody."""
    spec: Body = entry.spec
    leaving = text(spec, "state", "ready") == _DRAINING
    return Runner(
        id=RunnerId(entry.name),
        service=ServiceName(text(spec, "service")),
        address=text(spec, "address"),
        zone=ZoneName(text(spec, "zone", "")),
        slots=max(1, whole(spec, "slots", 1)),
        state=RunnerState.LEAVING if leaving else RunnerState.READY,
        cold_s=number(spec, "cold-remaining-ms", 0) / 1000,
    )
