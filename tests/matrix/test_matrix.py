"""A fixed part of the matrix for CI, and the proof that it can fail.

The whole of it: ``python -m tests.matrix.run``; with faults twice and in pairs: ``--full``.
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
            broken.replace("records", broken.ForgetfulRecords),
            "caller resends",
            "once: before sending",
        ),
        (
            "at most once",
            broken.replace("upstreams", broken.LyingLinks),
            "upstreams die",
            "once: before sending",
        ),
        (
            "readable afterwards",
            broken.replace("records", broken.ForgettingAnswers),
            "nothing",
            "stream: claim, before",
        ),
        (
            "whole answers",
            broken.replace("upstreams", broken.CarelessLinks),
            "upstreams die",
            "stream: after answer",
        ),
        (
            "at most once",
            broken.replace("upstreams", broken.LyingLinks),
            "upstreams die",
            "job: once, before sending",
        ),
        (
            "every job ends",
            broken.replace("batch", broken.IdleService),
            "nothing",
            "job: piece, after",
        ),
        (
            "a cancelled job stops",
            broken.store(broken.DeafStore),
            "nothing",
            "cancel: before sending",
        ),
        (
            "in force everywhere",
            broken.replace("configuration", broken.StuckConfiguration),
            "nothing",
            "manifest: write, after",
        ),
        (
            "what the manifest says is what is running",
            broken.replace("reconciler", broken.IdleService),
            "nothing",
            "order: lease, before",
        ),
    ],
)
def test_broken_service_turns_a_cell_red(promise, change, row, column):
    verdict = run.run(run.Cell(row, column), change=change)
    assert verdict.mark == "failed"
    assert promise in verdict.why
