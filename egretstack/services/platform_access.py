"""Access to the platform and to other processes: HTTP clients, keys and metrics of the process."""

import httpx
import trio

from egretstack.delivery import TokenBox
from egretstack.errors import UserError
from egretstack.kernel import Kernel, Service
from egretstack.metrics import Metrics
from egretstack.peers import PeerKeys
from egretstack.platform import HttpInstanceList, HttpObjectApi, InstanceList, ObjectApi

CONNECT_TIMEOUT_S = 2.0
MAX_KEY_FILE_BYTES = 65_536
_NO_LIMITS = httpx.Limits(max_connections=None, max_keepalive_connections=200)
_NO_IDLE = httpx.Limits(max_connections=None, max_keepalive_connections=0)


class PlatformAccess(Service):
    """Holds what the other services reach the outside with."""

    name = "platform_access"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        base = settings.text("platform", "object_api")
        namespace = settings.text("platform", "namespace")
        timeout = httpx.Timeout(settings.number("platform", "timeout_s"), connect=CONNECT_TIMEOUT_S)
        self.client = httpx.AsyncClient(timeout=timeout, limits=_NO_LIMITS, trust_env=False)
        self.fresh = httpx.AsyncClient(timeout=timeout, limits=_NO_IDLE, trust_env=False)
        self.object_api: ObjectApi = HttpObjectApi(self.client, base, namespace)
        self.instance_list: InstanceList = HttpInstanceList(self.client, base, namespace)
        self.metrics = Metrics()
        keys = self._keys()
        self.tokens = TokenBox(keys)
        self.peer_keys = PeerKeys(keys, kernel.epoch)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep the clients open."""
        async with self.client, self.fresh:
            task_status.started()
            await trio.sleep_forever()

    def _keys(self) -> list[bytes]:
        path = self.kernel.settings.path("sessions", "key_file")
        try:
            text = path.read_bytes()
        except OSError as error:
            raise UserError(f"{path}: cannot be read: {error.strerror}") from error
        if len(text) > MAX_KEY_FILE_BYTES:
            raise UserError(f"{path}: larger than {MAX_KEY_FILE_BYTES} bytes")
        return [line.strip() for line in text.splitlines() if line.strip()]
