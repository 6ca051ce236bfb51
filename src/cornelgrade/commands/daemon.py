"""``gateway``, ``worker`` and ``dev``: the programs that keep running.

Their modules are imported when they are wanted, so that the short commands start at once.
"""

import importlib
from typing import Any

from cornelgrade import checked, errors


def gateway(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's gateway until it is told to stop."""
    return _run("run_gateway", args["SETTINGS"])


def worker(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's worker until it is told to stop."""
    return _run("run_worker", args["SETTINGS"])


def dev(args: dict[str, Any]) -> errors.ExitCode:
    """Run everything with stand-ins on loopback."""
    importlib.import_module("cornelgrade.devserver").run()
    return errors.ExitCode.OK


def _run(function: str, path: str) -> errors.ExitCode:
    cfg = checked.load_settings(path)
    getattr(importlib.import_module("cornelgrade.daemons"), function)(cfg)
    return errors.ExitCode.OK
