"""The operator's port: metrics, status, and the order to drain."""

import json

import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio

from egretstack import __version__
from egretstack.ids import RunnerId, is_name
from egretstack.kernel import Service
from egretstack.services.configuration import Configuration
from egretstack.services.membership import Membership
from egretstack.services.platform_access import PlatformAccess


class OperatorPort(Service):
    """Serves operators."""

    name = "operator_port"
    requires = ("platform_access", "configuration")

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until the kernel stops this service."""
        address = self.kernel.settings.text("instance", "operator_address")
        access = self.kernel.get(PlatformAccess)
        async with trio.open_nursery() as nursery:
            await nursery.start(access.serve_http, self._app(), address, trio.Event())
            task_status.started()

    def _app(self) -> QuartTrio:
        app = QuartTrio("operator-port")

        @app.get("/metrics")
        async def metrics() -> Response:
            registry = self.kernel.get(PlatformAccess).metrics.registry
            return Response(generate_latest(registry), content_type=CONTENT_TYPE_LATEST)

        @app.get("/status")
        async def status() -> Response:
            return Response(json.dumps(self._status()), content_type="application/json")

        @app.get("/configuration")
        async def configuration() -> Response:
            return Response(json.dumps(self._configuration()), content_type="application/json")

        @app.post("/runners/<runner>/leave")
        async def leave(runner: str) -> Response:
            return self._notice(runner, True)

        @app.post("/runners/<runner>/return")
        async def take_back(runner: str) -> Response:
            return self._notice(runner, False)

        @app.post("/drain")
        async def drain() -> Response:
            self.kernel.begin_drain()
            return Response(json.dumps(self._status()), content_type="application/json")

        return app

    def _configuration(self) -> dict[str, object]:
        """Return the whole configuration in force, for an operator who repairs a restored store."""
        snapshot = self.kernel.get(Configuration).state.snapshot
        if snapshot is None:
            return {}
        return {
            "revision": snapshot.head.revision,
            "change_id": snapshot.head.change_id,
            "recent": list(snapshot.head.recent),
            "parts": snapshot.sections_by_part,
        }

    def _notice(self, runner: str, leaving: bool) -> Response:
        """Announce an operator's order about a runner to every instance."""
        if not is_name(runner) or not self.kernel.has(Membership):
            return Response(json.dumps({"error": "no such runner here"}), status=404)
        self.kernel.get(Membership).publish_runner_notice(RunnerId(runner), leaving, for_good=True)
        body = {"runner": runner, "leaving": leaving}
        return Response(json.dumps(body), content_type="application/json")

    def _status(self) -> dict[str, object]:
        status: dict[str, object] = {
            "instance": self.kernel.settings.text("instance", "id"),
            "version": __version__,
            "draining": self.kernel.draining.is_set(),
            "revision": self.kernel.get(Configuration).state.revision,
        }
        if self.kernel.has(Membership):
            views = self.kernel.get(Membership).views()
            status["instances"] = {name: view.state.value for name, view in views.items()}
        return status
