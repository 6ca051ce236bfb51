"""A short soak of the edge processes; ``python -m bench.soak edge`` runs longer soaks."""

import pytest
import trio
from bench.soak import edge, faults

SECONDS = 5.0


# Seeds 2, 11 and 14 found an item at two positions of its job, because a list of several pages is
# not one snapshot. Seeds 4 and 12 found a request refused as not run although an unresponsive
# engine had run it. Seed 24 found a request that failed at an engine which had not come back from a
# crash when the soak took it for up again.
@pytest.mark.parametrize("seed", [4, 11, 24])
def test_promises_hold_under_kills_freezes_cuts_and_outages(seed, tmp_path):
    report = trio.run(edge.soak, seed, SECONDS, tmp_path)
    assert report.problems == []
    assert report.requests and report.items


def test_seed_always_gives_the_same_faults():
    assert faults.plans("seed 1", 60.0) == faults.plans("seed 1", 60.0)
    assert faults.plans("seed 1", 60.0) != faults.plans("seed 2", 60.0)
