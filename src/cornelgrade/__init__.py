"""Serve online and batch inference on one fleet, by priority.

The names in ``__all__`` are the public API; everything else may change between versions. Their
modules are imported on first use, so that a program imports only what it needs.
"""

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelgrade.errors import (
        BadInputError,
        CornelgradeError,
        ExitCode,
        NotReachableError,
        Ran,
        Refusal,
    )
    from cornelgrade.kernel import Kernel, Service
    from cornelgrade.manifest import Manifest
    from cornelgrade.settings import Settings

__all__ = [
    "BadInputError",
    "CornelgradeError",
    "ExitCode",
    "Kernel",
    "Manifest",
    "NotReachableError",
    "Ran",
    "Refusal",
    "Service",
    "Settings",
]

__version__ = "0.1.0"

_MODULE_BY_NAME = {
    "BadInputError": "errors",
    "CornelgradeError": "errors",
    "ExitCode": "errors",
    "Kernel": "kernel",
    "Manifest": "manifest",
    "NotReachableError": "errors",
    "Ran": "errors",
    "Refusal": "errors",
    "Service": "kernel",
    "Settings": "settings",
}


def __getattr__(name: str) -> object:
    """Import the module of a public name on its first use (PEP 562)."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
