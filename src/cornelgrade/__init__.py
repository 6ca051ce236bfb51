"""Serve online and batch inference on one fleet, by priority.

The names in ``__all__`` are the public API; everything else may change between versions.
"""

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
