"""The operator's port: metrics, status, and the order to drain."""

import json

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio

from egretstack import __version__
from egretstack.kernel import Service
from egretstack.services.configuration import Configuration
from egretstack.services.platform_access import PlatformAccess


class OperatorPort(Service):
    """Serves operators."""

    name = "operator_port"
    requires = ("platform_access", "configuration")

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until the kernel stops this service."""
        config = Config()
        config.bind = [self.kernel.settings.text("instance", "operator_address")]
        config.accesslog = None
        config.errorlog = None
        async with trio.open_nursery() as nursery:
            await nursery.start(
                lambda task_status: serve(
                    self._app(),
                    config,
                    shutdown_trigger=trio.sleep_forever,
                    task_status=task_status,
                )
            )
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

        @app.post("/drain")
        async def drain() -> Response:
            self.kernel.begin_drain()
            return Response(json.dumps(self._status()), content_type="application/json")

        return app

    def _status(self) -> dict[str, object]:
        return {
            "instance": self.kernel.settings.text("instance", "id"),
            "version": __version__,
            "draining": self.kernel.draining.is_set(),
            "revision": self.kernel.get(Configuration).state.revision,
        }
