"""The command line."""

import sys

import docopt

import cornelgrade

USAGE = """cornelgrade

Usage:
  cornelgrade --version
"""


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit."""
    docopt.docopt(USAGE, argv=argv, version=f"cornelgrade {cornelgrade.__version__}")
    sys.exit(0)
