"""A small soak of batch jobs with fixed seeds; ``python -m bench.soak own`` runs larger soaks."""

import pytest
from bench.soak import own


@pytest.mark.parametrize("seed", [3])
def test_every_item_ends_once_under_kills_freezes_and_outages(seed):
    report = own.run(seed, jobs=3, items=200, timeout_s=90.0)
    assert report.problems == []
    assert sum(report.outcomes.values()) == 600
