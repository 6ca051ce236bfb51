"""Status of jobs for callers and operators: progress, expected end, and due times at risk."""

import msgspec

from cornelgrade import reports
from cornelgrade.policy import batch, claims
from cornelgrade.services import job_records, job_store

ASSUMED_ITEM_S = 0.02
_OPEN_PAGE = 100

_State = job_records.JobState


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job in a response to a caller; times are Unix seconds.

    :param finished: items with a result, a final error or an unknown outcome.
    :param failed: finished items without a result.
    """

    id: str
    state: str
    service: str
    priority: str
    created_at_s: float
    due_at_s: float
    items: int
    finished: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: int = 0
    at_risk: bool = False
    expected_end_at_s: float | None = None
    ended_at_s: float | None = None


async def view(store: job_store.JobStore, header: job_records.Header) -> JobView:
    """Describe a job; the progress of an unfinished one is read from its ledger.

    :raises UnavailableError: the platform is unavailable.
    """
    if header.state in job_records.FINAL_STATES:
        return view_from_header(header)
    entry = await store.open_entry(header.open_name)
    if entry is None:
        return view_from_header(header)
    pace = _job_pace(header.items, entry)
    now_s = store.unix_s()
    shown = _build_view(header, entry.ledger.tally)
    if header.state is not _State.OPEN:
        return shown
    return msgspec.structs.replace(
        shown,
        at_risk=batch.is_at_risk(pace, now_s, ASSUMED_ITEM_S),
        expected_end_at_s=batch.estimate_end_s(pace, now_s),
    )


def view_from_header(header: job_records.Header) -> JobView:
    """Describe a job from its header only."""
    return _build_view(header, header.tally)


def _build_view(header: job_records.Header, tally: claims.Tally) -> JobView:
    return JobView(
        id=header.job,
        state=header.state.value,
        service=header.service,
        priority=header.priority,
        created_at_s=header.created_at_s,
        due_at_s=header.due_at_s,
        items=header.items,
        finished=tally.ok + tally.error + tally.unknown,
        failed=tally.error + tally.unknown,
        unknown=tally.unknown,
        cancelled=tally.cancelled,
        ended_at_s=header.ended_at_s or None,
    )


def _job_pace(items: int, entry: job_store.OpenJob) -> batch.JobProgress:
    ledger = entry.ledger
    return batch.JobProgress(items, ledger.tally.ended, ledger.started_at_s, entry.due_at_s)


async def jobs_at_risk(store: job_store.JobStore) -> tuple[reports.JobAtRisk, ...]:
    """Return the jobs that may miss their due times, among the open jobs that are due first.

    :raises UnavailableError: the platform is unavailable.
    """
    now_s = store.unix_s()
    jobs = []
    for entry in await store.open_jobs(limit=_OPEN_PAGE):
        header = await store.header(entry.team, entry.job)
        if header is None or header.header.upload != entry.upload:
            continue
        pace = _job_pace(header.header.items, entry)
        if header.header.state is _State.OPEN and batch.is_at_risk(pace, now_s, ASSUMED_ITEM_S):
            jobs.append(reports.JobAtRisk(entry.job, entry.due_at_s, _reason(pace, now_s)))
    return tuple(jobs)


def _reason(pace: batch.JobProgress, now_s: float) -> str:
    left = pace.items - pace.ended
    end_s = batch.estimate_end_s(pace, now_s)
    if end_s is None:
        return f"{left} items left and none ended yet"
    return f"{left} items left, expected to end {end_s - pace.due_at_s:.0f} s late"
