"""Clocks that go on while a machine is suspended."""

import time


def since_boot_s() -> float:
    """Return seconds since the machine's start, including the time for which it was suspended.

    The process's own clock leaves that out, so a process that was suspended would take what it
    knew before for new.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the machine has been suspended since its start, in seconds."""
    return since_boot_s() - time.clock_gettime(time.CLOCK_MONOTONIC)
