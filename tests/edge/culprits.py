"""A text that crashes each engine that runs it, and how often it may reach engines."""

from cornelgrade.platform.standins import stream_engine

CULPRIT = b"crashes the engine"
CRASHES = 3
# The operators' bounds: how long news of the last crash may take to spread, and how often the
# request may be sent to upstreams after that.
SPREAD_S = 3.0
MAX_LATE_RUNS = 3
LATE_SENDS = 8


def list_runs(system, body=CULPRIT):
    return [seen for eng in system.engines.values() for seen in eng.seen if seen.body == body]


def count_crashes(system):
    return sum(eng.crashes for eng in system.engines.values())


def make_engines_crash(system, **how):
    for eng in system.engines.values():
        eng.faults = stream_engine.Faults(crash_on=CULPRIT, **how)
