"""The micro-kernel: services found by name, started and stopped in order of dependency."""

from egretstack.kernel._kernel import Kernel
from egretstack.kernel._loading import load_services
from egretstack.kernel._service import Service, ServiceFailed

__all__ = ["Kernel", "Service", "ServiceFailed", "load_services"]
