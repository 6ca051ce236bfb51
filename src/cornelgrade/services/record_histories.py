"""History steps of a team's requests, jobs and items, read from the durable records."""

import datetime
import time
from collections.abc import Callable

from cornelgrade import errors, reports
from cornelgrade.adapters import platform
from cornelgrade.policy import claims
from cornelgrade.services import job_records, job_report, job_store, ports

STEP = "record"
_PEER = "platform"
_SEPARATOR = "/"

_OUTCOME_SENTENCES = {
    job_records.OutcomeKind.OK: "has its result, status {status}, from {upstream}",
    job_records.OutcomeKind.ERROR: "ended with its final error, status {status}, at {upstream}",
    job_records.OutcomeKind.UNKNOWN: "was started at most once and its end is not known",
    job_records.OutcomeKind.CANCELLED: "was cancelled before it ended",
    job_records.OutcomeKind.PENDING: "has not ended yet",
}
_STATE_SENTENCES = {
    ports.RequestState.RUNNING: "It is claimed and runs.",
    ports.RequestState.UNKNOWN: "It was sent at most once and its end is not known.",
}


class RecordHistories:
    """Histories read from the platform, which survive the loss of every VM.

    The time of a step that describes a state rather than an event is the time of the read.

    :param now_s: returns the Unix time in seconds.
    """

    def __init__(
        self,
        jobs: job_store.JobStore,
        records: ports.Records,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._jobs = jobs
        self._records = records
        self._now_s = now_s

    async def get_steps(self, team: str, identifier: str) -> tuple[ports.Step, ...]:
        """Return the steps of a job id, ``JOB/CUSTOM_ID`` or request key of a team, if known."""
        try:
            return await self._read_steps(team, identifier)
        except (platform.UnavailableError, errors.Refusal) as exc:
            return (self._current_step(f"What is recorded cannot be read: {exc.message}."),)

    async def at_risk(self) -> tuple[reports.JobAtRisk, ...]:
        """Return the jobs that may miss their due times, among the open jobs that are due first.

        :raises UnavailableError: the platform is unavailable.
        """
        return await job_report.jobs_at_risk(self._jobs)

    async def _read_steps(self, team: str, identifier: str) -> tuple[ports.Step, ...]:
        job, _, custom_id = identifier.partition(_SEPARATOR)
        found = await self._jobs.header(team, job)
        if found is None:
            return await self._read_request(team, identifier)
        if custom_id:
            return await self._read_item(found.header, custom_id)
        return await self._read_job(found.header)

    async def _read_request(self, team: str, key: str) -> tuple[ports.Step, ...]:
        recorded = await self._records.inspect(team, key)
        if isinstance(recorded, ports.StoredResponse):
            size = len(recorded.body)
            return (
                self._current_step(
                    f"Its answer is stored: status {recorded.status}, {size} bytes."
                ),
            )
        return (
            (self._current_step(_STATE_SENTENCES[recorded]),)
            if recorded in _STATE_SENTENCES
            else ()
        )

    async def _read_job(self, header: job_records.Header) -> tuple[ports.Step, ...]:
        view = await job_report.view(self._jobs, header)
        ledger = await self._read_ledger(header)
        due = _format_time(header.due_at_s)
        accepted = (
            f"Accepted with {_format_count(header.items, 'item')} in "
            f"{_format_count(header.chunks, 'chunk')} "
            f"for {header.service}, priority {header.priority}, due at {due}."
        )
        steps = [ports.Step(header.created_at_s, "accept", accepted)]
        if ledger is not None and ledger.started_at_s:
            steps.append(ports.Step(ledger.started_at_s, "claim", "Its first chunk was claimed."))
        steps.append(
            self._current_step(
                f"It is {view.state}: {view.finished} of {view.items} items have ended, "
                f"{view.failed} of them without a result, {view.cancelled} were cancelled."
            )
        )
        steps += [self._current_step(line) for line in _describe_holders(ledger)]
        if view.at_risk:
            steps.append(self._current_step("At this pace it misses its due time."))
        if view.ended_at_s is not None:
            steps.append(ports.Step(view.ended_at_s, "end", f"It ended as {view.state}."))
        return tuple(steps)

    async def _read_item(
        self, header: job_records.Header, custom_id: str
    ) -> tuple[ports.Step, ...]:
        for chunk in range(header.chunks):
            items = await self._jobs.items(header, chunk)
            ids = [item.custom_id for item in items]
            if custom_id in ids:
                return await self._read_outcome(header, chunk, ids.index(custom_id))
        return ()

    async def _read_outcome(
        self, header: job_records.Header, chunk: int, index: int
    ) -> tuple[ports.Step, ...]:
        number = chunk * header.chunk_items + index + 1
        accepted = f"Accepted as item {number} of {header.items} in job {header.job}."
        steps = [ports.Step(header.created_at_s, "accept", accepted)]
        async for outcome in self._jobs.outcomes(header, chunk):
            if outcome.index == index:
                text = _OUTCOME_SENTENCES[outcome.kind].format(
                    status=outcome.status, upstream=outcome.upstream or "no upstream"
                )
                attempts = (
                    f" after {_format_count(outcome.attempts, 'attempt')}"
                    if outcome.attempts
                    else ""
                )
                steps.append(self._current_step(f"It {text}{attempts}."))
        return tuple(steps)

    async def _read_ledger(self, header: job_records.Header) -> claims.Ledger | None:
        if header.state in job_records.FINAL_STATES:
            return None
        entry = await self._jobs.open_entry(header.open_name)
        return entry.ledger if entry else None

    def _current_step(self, sentence: str) -> ports.Step:
        return ports.Step(self._now_s(), STEP, sentence, _PEER)


def _describe_holders(ledger: claims.Ledger | None) -> list[str]:
    """Describe which VM holds which chunks."""
    chunks_by_vm: dict[str, list[str]] = {}
    for claim in ledger.claims if ledger else ():
        if claim.holder != claims.NO_HOLDER:
            chunks_by_vm.setdefault(claims.holder_vm(claim.holder), []).append(str(claim.chunk))
    return [
        f"{vm} holds chunks {', '.join(chunks)}." for vm, chunks in sorted(chunks_by_vm.items())
    ]


def _format_count(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def _format_time(at_s: float) -> str:
    return f"{datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC):%Y-%m-%d %H:%M:%S}Z"
