"""A short soak of the platform's programs; ``python -m bench.soak edge`` runs longer ones."""

import pytest
import trio
from bench.soak import edge, faults

SECONDS = 5.0


# 2, 11 and 14: an item stood at two positions of its job, for a list of several pages is no single
# moment. 4: a request that had run at a silent engine was refused as not run. 12: the same.
@pytest.mark.parametrize("seed", [4, 11])
def test_promises_hold_under_kills_freezes_cuts_and_outages(seed, tmp_path):
    report = trio.run(edge.soak, seed, SECONDS, tmp_path)
    assert report.problems == []
    assert report.requests and report.items


def test_seed_always_gives_the_same_faults():
    assert faults.plans("seed 1", 60.0) == faults.plans("seed 1", 60.0)
    assert faults.plans("seed 1", 60.0) != faults.plans("seed 2", 60.0)
