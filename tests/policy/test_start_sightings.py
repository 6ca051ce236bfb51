"""When starts of upstreams were seen to run."""

from cornelgrade.policy import start_sightings


def record(*reports):
    found = start_sightings.StartSightings()
    for upstream, started_ms, asked_s in reports:
        found.record(upstream, started_ms, asked_s)
    return found


# Guards against losing the confirmation of a start because the next one reports itself before the
# task that waits for it has run.
def test_sighting_outlives_the_report_of_the_next_start():
    seen = record(("u", 1000, 5.0), ("u", 2000, 6.0), ("v", 1000, 7.0))
    assert seen.was_seen("u", 1000, 5.0)
    assert seen.was_seen("u", 2000, 6.0)
    assert not seen.was_seen("u", 1000, 5.1)
    assert not seen.was_seen("v", 2000, 5.0)


# Guards against a report that was asked for earlier and arrives later.
def test_late_report_takes_no_sighting_back():
    seen = record(("u", 2000, 6.0), ("u", 1000, 4.0), ("u", 2000, 5.0))
    assert seen.was_seen("u", 2000, 6.0)
    assert not seen.was_seen("u", 1000, 4.1)


# Guards against memory that grows with the restarts of an upstream, at the expense of others.
def test_few_starts_of_an_upstream_are_kept():
    reports = [("u", number, float(number)) for number in range(1, 10_000)]
    seen = record(("v", 1000, 1.0), *reports)
    assert seen.was_seen("v", 1000, 1.0)
    assert not seen.was_seen("u", 9_000, 0.0)
    assert seen.was_seen("u", 9_998, 0.0)
