"""Lets ``python -m cornelgrade`` run the command line."""

from cornelgrade import cli

if __name__ == "__main__":
    cli.main()
