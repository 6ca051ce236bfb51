"""A small soak of batch jobs with fixed seeds; ``python -m bench.soak`` runs larger ones."""

import pytest
from bench import soak


@pytest.mark.parametrize("seed", [3])
def test_every_item_ends_once_under_kills_freezes_and_outages(seed):
    report = soak.run(seed, jobs=3, items=200, timeout_s=90.0)
    assert report.problems == []
    assert sum(report.outcomes.values()) == 600
