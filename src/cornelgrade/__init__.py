"""cornelgrade: online and batch inference on one fleet, by priority.

The names below are the package's public surface; modules that start with an underscore, and
everything not named here, may change between versions.
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
