"""Serves the connections of a port; an unforeseen error ends its own connection only."""

from collections.abc import Awaitable, Callable

import trio

from egretstack.kernel import Kernel, WorkKind


async def serve_connections(
    kernel: Kernel,
    listener: trio.SocketListener,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    *,
    port: str,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Call `serve` with each connection until cancelled; `port` names the port in the log."""

    async def serve_confined(stream: trio.SocketStream) -> None:
        with kernel.unforeseen.confined(WorkKind.CONNECTION, port=port):
            await serve(stream)

    await trio.serve_listeners(serve_confined, [listener], task_status=task_status)
