"""``gateway``, ``worker`` and ``dev``: the long-running commands.

Their modules are imported on use, so that the other commands start fast.
"""

from typing import Any

from cornelgrade import errors, validation


def gateway(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's gateway until it is stopped."""
    from cornelgrade import daemons

    daemons.run_gateway(validation.load_settings(args["SETTINGS"]))
    return errors.ExitCode.OK


def worker(args: dict[str, Any]) -> errors.ExitCode:
    """Run a VM's worker until it is stopped."""
    from cornelgrade import daemons

    daemons.run_worker(validation.load_settings(args["SETTINGS"]))
    return errors.ExitCode.OK


def dev(args: dict[str, Any]) -> errors.ExitCode:
    """Run a local system on loopback, with stand-ins for the upstreams and the platform."""
    from cornelgrade import devserver

    devserver.run()
    return errors.ExitCode.OK
