"""Loads service classes by module name from `egretstack.services`."""

import importlib

from egretstack.errors import UserError
from egretstack.kernel._kernel import Kernel
from egretstack.kernel._service import Service

SERVICES_PACKAGE = "egretstack.services"


def load_services(kernel: Kernel, names: tuple[str, ...]) -> None:
    """Register the service of each named module, such as `caller_api`.

    Each module defines one `Service` subclass whose `name` is the module's name.
    """
    for name in names:
        kernel.add(_find_service_class(name)(kernel))


def _find_service_class(name: str) -> type[Service]:
    path = f"{SERVICES_PACKAGE}.{name}"
    try:
        module = importlib.import_module(path)
    except ModuleNotFoundError as error:
        if error.name != path:
            raise
        raise UserError(f"there is no service named {name}") from error
    for value in vars(module).values():
        if isinstance(value, type) and issubclass(value, Service) and value.__module__ == path:
            return value
    raise UserError(f"module {path} holds no service")
