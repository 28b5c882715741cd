"""Serves what this instance knows of placing as `/placing` on the metrics port."""

import json

import trio

from egretstack import __version__
from egretstack.events import Event, log
from egretstack.kernel import Kernel, Service
from egretstack.platform import NodeSettings
from egretstack.services._placing_view import ViewSource, placing_view
from egretstack.services.engine_speeds import EngineSpeedsService
from egretstack.services.fleet_port import FleetPort
from egretstack.services.placing_home import PlacingHome
from egretstack.services.relay_metrics import Page, RelayMetrics
from egretstack.services.store_reading import StoreReading

PATH = b"/placing"
FORMAT = 1
"""Raised when a field changes its meaning; readers ignore fields that they do not know."""
TTL_S = 1.0
"""How long a page is served again. Making one takes as long as several placements, in which nothing
else runs, and the port has no limit of requests."""


class PlacingStatus(Service):
    """Makes the page when it is asked for."""

    name = "placing_status"
    requires = ("engine_speeds", "fleet_port", "placing_home", "relay_metrics", "store_reading")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._port = kernel.get(FleetPort)
        self._home = kernel.get(PlacingHome)
        self._source = ViewSource(
            self._home.placer,
            self._port.runners,
            kernel.get(StoreReading).engine,
            kernel.get(EngineSpeedsService).estimator.observed_s,
        )
        self._page = Page(200, b"application/json", b"")
        self._made_s = float("-inf")

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Add the page; it is served by the metrics port."""
        self.kernel.get(RelayMetrics).add_page(PATH, self.page)
        task_status.started()
        await trio.sleep_forever()

    def page(self) -> Page:
        """Return the page, at most TTL_S old."""
        now_s = trio.current_time()
        if now_s - self._made_s >= TTL_S:
            self._made_s = now_s
            self._page = self._make(now_s)
        return self._page

    def _make(self, now_s: float) -> Page:
        try:
            return Page(200, b"application/json", json.dumps(self._document(now_s)).encode())
        except Exception as error:  # A page for operators must not end the process that serves.
            log(Event.PLACING_VIEW_FAILED, error=repr(error))
            return Page(500, b"application/json", b'{"error": "the page could not be made"}')

    def _document(self, now_s: float) -> dict[str, object]:
        settings: NodeSettings = self.kernel.settings
        self._home.refresh_own_runs()
        is_home = self._port.is_home()
        return {
            "format": FORMAT,
            "version": __version__,
            "instance": settings.instance,
            "home": self._port.fleet.home(now_s),
            "is_home": is_home,
            "runners_age_s": round(self._port.runners.age_s(now_s), 3),
            "shares_capacity": settings.shares_capacity,
        } | placing_view(now_s, self._source, fleet_wide=is_home)
