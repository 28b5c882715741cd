"""The micro-kernel: loads services by name, and starts and stops them in dependency order."""

from egretstack.kernel._kernel import Kernel
from egretstack.kernel._loading import load_services
from egretstack.kernel._service import Service, ServiceFailed

__all__ = ["Kernel", "Service", "ServiceFailed", "load_services"]
