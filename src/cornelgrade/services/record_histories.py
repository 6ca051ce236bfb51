"""What the durable records tell of a team's requests, jobs and items, as history steps."""

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

_OUTCOMES = {
    job_records.OutcomeKind.OK: "has its result, status {status}, from {upstream}",
    job_records.OutcomeKind.ERROR: "ended with its final error, status {status}, at {upstream}",
    job_records.OutcomeKind.UNKNOWN: "was started at most once and its end is not known",
    job_records.OutcomeKind.CANCELLED: "was cancelled before it ended",
    job_records.OutcomeKind.PENDING: "has not ended yet",
}
_STATES = {
    ports.RequestState.RUNNING: "It is claimed and runs.",
    ports.RequestState.UNKNOWN: "It was sent at most once and its end is not known.",
}


class RecordHistories:
    """Reads the platform, so it outlives every VM.

    Times of what is read as a state, not as an event, are those of the reading.

    :param now_s: gives Unix time in seconds.
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
        """Tell of a job id, ``JOB/CUSTOM_ID`` or request key of a team; empty if unknown."""
        try:
            return await self._tell(team, identifier)
        except (platform.UnavailableError, errors.Refusal) as exc:
            return (self._now(f"What is recorded cannot be read: {exc.message}."),)

    async def at_risk(self) -> tuple[reports.JobAtRisk, ...]:
        """Give open jobs that may miss their due times, of those that are due first.

        :raises UnavailableError: the platform is out.
        """
        return await job_report.at_risk(self._jobs)

    async def _tell(self, team: str, identifier: str) -> tuple[ports.Step, ...]:
        job, _, custom_id = identifier.partition(_SEPARATOR)
        found = await self._jobs.header(team, job)
        if found is None:
            return await self._request(team, identifier)
        if custom_id:
            return await self._item(found.header, custom_id)
        return await self._job(found.header)

    async def _request(self, team: str, key: str) -> tuple[ports.Step, ...]:
        known = await self._records.inspect(team, key)
        if isinstance(known, ports.StoredAnswer):
            size = len(known.body)
            return (self._now(f"Its answer is stored: status {known.status}, {size} bytes."),)
        return (self._now(_STATES[known]),) if known in _STATES else ()

    async def _job(self, header: job_records.Header) -> tuple[ports.Step, ...]:
        view = await job_report.view(self._jobs, header)
        ledger = await self._ledger(header)
        due = _clock(header.due_at_s)
        accepted = (
            f"Accepted with {_count(header.items, 'item')} in {_count(header.chunks, 'chunk')} "
            f"for {header.service}, priority {header.priority}, due at {due}."
        )
        steps = [ports.Step(header.created_at_s, "accept", accepted)]
        if ledger is not None and ledger.started_at_s:
            steps.append(ports.Step(ledger.started_at_s, "claim", "Its first chunk was claimed."))
        steps.append(
            self._now(
                f"It is {view.state}: {view.finished} of {view.items} items have ended, "
                f"{view.failed} of them without a result, {view.cancelled} were cancelled."
            )
        )
        steps += [self._now(line) for line in _holders(ledger)]
        if view.at_risk:
            steps.append(self._now("At this pace it misses its due time."))
        if view.ended_at_s is not None:
            steps.append(ports.Step(view.ended_at_s, "end", f"It ended as {view.state}."))
        return tuple(steps)

    async def _item(self, header: job_records.Header, custom_id: str) -> tuple[ports.Step, ...]:
        for chunk in range(header.chunks):
            items = await self._jobs.items(header, chunk)
            ids = [item.custom_id for item in items]
            if custom_id in ids:
                return await self._ended(header, chunk, ids.index(custom_id))
        return ()

    async def _ended(
        self, header: job_records.Header, chunk: int, index: int
    ) -> tuple[ports.Step, ...]:
        number = chunk * header.chunk_items + index + 1
        accepted = f"Accepted as item {number} of {header.items} in job {header.job}."
        steps = [ports.Step(header.created_at_s, "accept", accepted)]
        async for outcome in self._jobs.outcomes(header, chunk):
            if outcome.index == index:
                said = _OUTCOMES[outcome.kind].format(
                    status=outcome.status, upstream=outcome.upstream or "no upstream"
                )
                attempts = (
                    f" after {_count(outcome.attempts, 'attempt')}" if outcome.attempts else ""
                )
                steps.append(self._now(f"It {said}{attempts}."))
        return tuple(steps)

    async def _ledger(self, header: job_records.Header) -> claims.Ledger | None:
        if header.state in job_records.FINAL:
            return None
        entry = await self._jobs.open_entry(header.open_name)
        return entry.ledger if entry else None

    def _now(self, sentence: str) -> ports.Step:
        return ports.Step(self._now_s(), STEP, sentence, _PEER)


def _holders(ledger: claims.Ledger | None) -> list[str]:
    """Say which worker holds which chunks."""
    held: dict[str, list[str]] = {}
    for claim in ledger.claims if ledger else ():
        if claim.holder != claims.NOBODY:
            held.setdefault(claims.vm_of(claim.holder), []).append(str(claim.chunk))
    return [f"{vm} holds chunks {', '.join(chunks)}." for vm, chunks in sorted(held.items())]


def _count(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def _clock(at_s: float) -> str:
    return f"{datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC):%Y-%m-%d %H:%M:%S}Z"
