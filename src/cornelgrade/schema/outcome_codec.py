"""Encodes and decodes messages on failed responses and ejected upstreams."""

from typing import Any

from cornelgrade.schema import messages


def write_upstream_outcome(out: Any, field: str, body: messages.UpstreamOutcome) -> None:
    """Write the outcome of a request."""
    builder = out.init(field)
    builder.upstream = body.upstream
    builder.startedMs = body.started_ms
    builder.request = body.request
    builder.successes = body.successes
    builder.failed = body.failed
    builder.isTrial = body.is_trial
    builder.served = body.served
    builder.broken = body.broken


def write_ejections(out: Any, field: str, body: messages.Ejections) -> None:
    """Write a list of ejections."""
    builder = out.init(field, len(body.ejections))
    for i, ejection in enumerate(body.ejections):
        builder[i].upstream = ejection.upstream
        builder[i].startedMs = ejection.started_ms
        builder[i].failureShare = ejection.failure_share
        builder[i].failedTrials = ejection.failed_trials
        builder[i].trials = ejection.trials
        builder[i].takesAny = ejection.takes_any
        builder[i].ended = ejection.ended


def read_upstream_outcome(raw: Any) -> messages.UpstreamOutcome:
    """Read the outcome of a request."""
    return messages.UpstreamOutcome(
        raw.upstream,
        raw.startedMs,
        raw.request,
        raw.successes,
        raw.failed,
        raw.isTrial,
        raw.served,
        raw.broken,
    )


def read_ejections(raw: Any) -> messages.Ejections:
    """Read a list of ejections."""
    return messages.Ejections(
        tuple(
            messages.Ejection(
                entry.upstream,
                entry.startedMs,
                entry.failureShare,
                entry.failedTrials,
                entry.trials,
                entry.takesAny,
                entry.ended,
            )
            for entry in raw
        )
    )
