"""Runs one stand-in as a process on loopback."""

import signal
from functools import partial

import trio
from cyclopts import App
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from egretstack.ids import ModelName
from egretstack.replay import EngineParameters
from standins.engine_http import make_engine_app
from standins.live_engine import LiveEngine
from standins.object_store import ObjectStore
from standins.plain_service import PlainServiceState, make_plain_app
from standins.platform_http import ListedServices, make_platform_app

LISTEN_BACKLOG = 2048

app = App(name="standins", help="Stand-ins for engines, plain services and the platform.")


@app.command
def platform(address: str) -> None:
    """Run the platform stand-in at ADDRESS."""
    trio.run(_serve, make_platform_app(ObjectStore(), ListedServices()), address)


@app.command
def plain(address: str, delay_s: float = 0.0) -> None:
    """Run a plain service stand-in at ADDRESS."""
    trio.run(_serve, make_plain_app(PlainServiceState(delay_s=delay_s)), address)


@app.command
def engine(
    address: str,
    models: str,
    kv_tokens: int = 60_000,
    max_batch: int = 64,
    step_s: float = 0.02,
    fencing: bool = True,
) -> None:
    """Run an engine stand-in at ADDRESS that serves MODELS, separated by commas."""
    parameters = EngineParameters(
        kv_capacity_tokens=kv_tokens, max_batch=max_batch, step_base_s=step_s
    )
    names = tuple(ModelName(name) for name in models.split(","))
    trio.run(partial(_run_engine, address, parameters, names, fencing))


async def _run_engine(
    address: str, parameters: EngineParameters, models: tuple[ModelName, ...], fencing: bool
) -> None:
    live = LiveEngine(parameters, models, checks_fencing=fencing)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(live.run)
        await _serve(make_engine_app(live), address)
        nursery.cancel_scope.cancel()


async def _serve(quart_app: QuartTrio, address: str) -> None:
    config = Config()
    config.bind = [address]
    config.backlog = LISTEN_BACKLOG
    config.accesslog = None
    config.graceful_timeout = 0.2
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await serve(quart_app, config, shutdown_trigger=partial(anext, signals))


if __name__ == "__main__":
    app()
