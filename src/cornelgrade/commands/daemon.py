"""``gateway``, ``worker`` and ``dev``: the programs that keep running.

Their modules are imported when they are wanted, so that the short commands start at once.
"""

from typing import Any

from cornelgrade import errors, validation


def gateway(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's gateway until it is told to stop."""
    from cornelgrade import daemons

    daemons.run_gateway(validation.load_settings(args["SETTINGS"]))
    return errors.ExitCode.OK


def worker(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's worker until it is told to stop."""
    from cornelgrade import daemons

    daemons.run_worker(validation.load_settings(args["SETTINGS"]))
    return errors.ExitCode.OK


def dev(args: dict[str, Any]) -> errors.ExitCode:
    """Run everything with stand-ins on loopback."""
    from cornelgrade import devserver

    devserver.run()
    return errors.ExitCode.OK
