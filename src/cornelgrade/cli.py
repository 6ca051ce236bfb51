"""Command-line interface: parse arguments, run one command and map errors to exit codes."""

import sys

import docopt

import cornelgrade
from cornelgrade import commands, errors

USAGE = """cornelgrade: online and batch inference on one fleet, by priority.

Usage:
  cornelgrade gateway SETTINGS
  cornelgrade worker SETTINGS
  cornelgrade dev
  cornelgrade check FILE [--against=VERSION] [--format=NAME] [--strict] [options]
  cornelgrade manifest get [options]
  cornelgrade manifest put FILE [--if-match=VERSION] [options]
  cornelgrade manifest diff FILE [options]
  cornelgrade job submit FILE [--job-key=KEY] [--service=NAME] [--priority=NAME] [--due=SECONDS]
                         [--wait] [options]
  cornelgrade job status ID [options]
  cornelgrade job results ID [options]
  cornelgrade job cancel ID [options]
  cornelgrade job list [options]
  cornelgrade request get KEY [options]
  cornelgrade status [options]
  cornelgrade explain ID [--logs=FILE] [options]
  cornelgrade --version
  cornelgrade --help

Programs:
  gateway, worker     Run one of the two daemons of an entry VM.
  dev                 Run everything with stand-ins on loopback in one process.

Commands:
  check               Check settings, a manifest or the platform's desired state before it is sent,
                      and show how it differs from another version.
  manifest            Read, replace or compare the manifest in force.
  job                 Submit a file of JSON lines as a batch job, and follow it.
  request get         Read the stored response to a keyed request.
  status              Show what runs, what is degraded and since when.
  explain             Show what happened to a request, job, item, manifest or order; from
                      collected logs if they are given, without contacting the fleet.

Options:
  --url=URL           A gateway's address [env: CORNELGRADE_URL].
  --key=KEY           The team's or operator's key [env: CORNELGRADE_KEY].
  --json              Write JSON instead of text.
  --against=VERSION   The version to compare with: a file, or "current" for the one in force.
  --format=NAME       The file's format: settings, manifest or desired-state; detected by content
                      if not given.
  --strict            Fail on warnings, too.
  --if-match=VERSION  Replace the manifest only if this version is in force.
  --job-key=KEY       Name the job; the default is a digest of its file, so resubmitting is safe.
  --service=NAME      The model service to run on; needed where there are several.
  --priority=NAME     One of the team's priorities.
  --due=SECONDS       Seconds from now at which the job should be finished.
  --logs=FILE         The logs of all processes in one file, in any order.
  --wait              Follow the job until it ends.
  -h --help           Show this text.
  --version           Show the version.

Exit codes:
  0 done   1 failed (or: files differ, job ended with failed items)   2 wrong usage
  3 bad input file   4 refused by the system   5 not reachable
"""


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit.

    :param argv: arguments without the program name; defaults to ``sys.argv[1:]``.
    """
    sys.exit(run(argv))


def run(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        args = docopt.docopt(USAGE, argv=argv, version=f"cornelgrade {cornelgrade.__version__}")
    except docopt.DocoptExit as exc:
        print(exc.usage.strip(), file=sys.stderr)
        return errors.ExitCode.USAGE
    try:
        return commands.run(args)
    except errors.CornelgradeError as exc:
        print(exc.format_message(), file=sys.stderr)
        return exc.exit_code
    except KeyboardInterrupt:
        return errors.ExitCode.FAILED
    except BrokenPipeError:
        sys.stderr.close()
        return errors.ExitCode.OK
