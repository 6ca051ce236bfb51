"""Start a daemon on the users' platform: ``python -m cornelgrade.platform gateway|worker``."""

import gc


def main() -> None:
    """Import the daemon without garbage collection, then run it until it is stopped."""
    # Collections during the imports cost 25 ms of processor time and free next to nothing.
    gc.disable()
    from cornelgrade.platform import daemon

    # Later collections skip the modules, which live as long as the process.
    gc.freeze()
    gc.enable()
    daemon.main()


if __name__ == "__main__":
    main()
