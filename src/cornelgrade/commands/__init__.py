"""The commands, one module per group, and the table that dispatches them."""

from collections.abc import Callable
from typing import Any

from cornelgrade import errors
from cornelgrade.commands import check, daemon, jobs, manifests, operate, requests

Arguments = dict[str, Any]
Command = Callable[[Arguments], errors.ExitCode]

COMMANDS: dict[tuple[str, ...], Command] = {
    ("gateway",): daemon.gateway,
    ("worker",): daemon.worker,
    ("dev",): daemon.dev,
    ("check",): check.check,
    ("manifest", "get"): manifests.get,
    ("manifest", "put"): manifests.put,
    ("manifest", "diff"): manifests.diff,
    ("job", "submit"): jobs.submit,
    ("job", "status"): jobs.status,
    ("job", "results"): jobs.results,
    ("job", "cancel"): jobs.cancel,
    ("job", "list"): jobs.list_jobs,
    ("request", "get"): requests.get,
    ("status",): operate.status,
    ("explain",): operate.explain,
}


def run(args: Arguments) -> errors.ExitCode:
    """Run the command whose words are set in docopt's arguments."""
    words = {name for name, value in args.items() if value is True and name.isalpha()}
    for path, command in COMMANDS.items():
        if words == set(path):
            return command(args)
    raise AssertionError(f"no command for {words}")
