"""Finds service classes by module name under `egretstack.services`."""

import importlib

from egretstack.errors import UserError
from egretstack.kernel._kernel import Kernel
from egretstack.kernel._service import Service

SERVICES_PACKAGE = "egretstack.services"


def load_services(kernel: Kernel, names: tuple[str, ...]) -> None:
    """Register the service of each module named, such as `caller_api`.

    Each module holds one `Service` subclass defined there whose `name` is the module's name.
    """
    for name in names:
        kernel.add(_class_in(name)(kernel))


def _class_in(name: str) -> type[Service]:
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
