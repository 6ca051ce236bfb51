"""The command line of the daemons on the users' platform."""

import os
import sys

import docopt

from cornelgrade import edge_daemons, errors, settings, validation
from cornelgrade.platform import calls, directory, jobs, objects, retirements

# The platform passes the path of the settings file in this variable.
SETTINGS_VARIABLE = "CORNELGRADE_SETTINGS"
USAGE = """Run a daemon of cornelgrade on the platform; CORNELGRADE_SETTINGS names its settings.

Usage:
  cornelgrade.platform gateway
  cornelgrade.platform worker
"""


def main(argv: list[str] | None = None) -> None:
    """Run one daemon until it is stopped."""
    args = docopt.docopt(USAGE, argv=argv)
    try:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        cfg = validation.decode(validation.read_file(path), settings.EdgeSettings, step="settings")
    except errors.CornelgradeError as exc:
        print(exc.format_message(), file=sys.stderr)
        sys.exit(exc.exit_code)
    store = objects.ObjectStore(cfg.store_address, deadline_s=cfg.store_deadline_s)
    dependencies = edge_daemons.Dependencies(
        store=store,
        directory=directory.Directory(),
        calls=calls.CallFormat(),
        job_calls=jobs.JobCallFormat(),
        retirements=retirements.Retirements(store),
    )
    run = edge_daemons.run_gateway if args["gateway"] else edge_daemons.run_worker
    run(cfg, dependencies)
