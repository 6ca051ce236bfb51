"""Run a fixed part of the fault matrix, and check that broken services make cells fail.

``python -m tests.matrix.run`` runs all cells; ``--full`` adds repeated and paired faults.
"""

import pytest
from tests.matrix import broken, faults, run

COLUMNS = (
    "once: claim, after",
    "once: after answer",
    "stream: after answer",
    "job: claim, after",
    "job: after answer",
    "job: commit, after",
    "job: once, before sending",
    "cancel: before sending",
    "manifest: write, after",
    "manifest: fetch",
    "order: before sending",
)


@pytest.mark.parametrize("column", COLUMNS)
@pytest.mark.parametrize("row", faults.ROWS)
def test_promises_hold(row, column):
    verdict = run.run(run.Cell(row, column))
    assert verdict == run.Verdict("proved")


@pytest.mark.parametrize(
    ("promise", "change", "row", "column"),
    [
        (
            "at most once",
            broken.replace_service("records", broken.AlwaysRunRecords),
            "caller resends",
            "once: before sending",
        ),
        (
            "at most once",
            broken.replace_service("upstreams", broken.MisreportingLinks),
            "upstreams die",
            "once: before sending",
        ),
        (
            "readable afterwards",
            broken.replace_service("records", broken.DiscardingRecords),
            "nothing",
            "stream: claim, before",
        ),
        (
            "whole answers",
            broken.replace_service("upstreams", broken.TruncatingLinks),
            "upstreams die",
            "stream: after answer",
        ),
        (
            "at most once",
            broken.replace_service("upstreams", broken.MisreportingLinks),
            "upstreams die",
            "job: once, before sending",
        ),
        (
            "every job ends",
            broken.replace_service("batch", broken.IdleService),
            "nothing",
            "job: piece, after",
        ),
        (
            "a cancelled job stops",
            broken.replace_store(broken.CancelLosingStore),
            "nothing",
            "cancel: before sending",
        ),
        (
            "in force everywhere",
            broken.replace_service("configuration", broken.StaleConfiguration),
            "nothing",
            "manifest: write, after",
        ),
        (
            "what the manifest says is what is running",
            broken.replace_service("reconciler", broken.IdleService),
            "nothing",
            "order: lease, before",
        ),
    ],
)
def test_broken_service_turns_a_cell_red(promise, change, row, column):
    verdict = run.run(run.Cell(row, column), change=change)
    assert verdict.mark == "failed"
    assert promise in verdict.reason
