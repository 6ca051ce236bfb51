"""Command-line entry point for ``python -m cornelgrade``."""

from cornelgrade import cli

if __name__ == "__main__":
    cli.main()
