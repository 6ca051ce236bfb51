"""Cleanup of batch jobs: removes ended jobs after their retention, and abandoned uploads.

The headers and the index of open jobs are read page by page. An unfinished job is never removed:
only a header in a final state counts as ended, and an upload is abandoned by a tombstone in place
of its header, so that it can no longer become a job.
"""

from collections.abc import Callable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.services import job_records, job_store, job_submission

INTERVAL_S = 10.0
UPLOAD_ABANDON_AFTER_S = 2 * job_submission.UPLOAD_TIMEOUT_S
_PAGE = 20


class Cleanup:
    """Reads all jobs periodically and removes what is no longer needed.

    :param retention_s: returns for how many seconds an ended job stays readable.
    """

    def __init__(self, store: job_store.JobStore, retention_s: Callable[[], float]) -> None:
        self._store = store
        self._retention_s = retention_s
        self._log = logs.Logger("batch")
        self._after_job = ""
        self._after_open = ""

    async def run(self, is_owner: Callable[[], bool]) -> None:
        """Clean up one page at a time while ``is_owner`` is true for this VM."""
        while True:
            await trio.sleep(INTERVAL_S)
            if not is_owner():
                continue
            try:
                await self.remove_ended_jobs()
                await self.remove_abandoned_uploads()
            except (platform.UnavailableError, platform.ConflictError) as exc:
                self._log.warning("job_cleanup_failed", error=exc.format_message())

    async def remove_ended_jobs(self) -> int:
        """Remove jobs past their retention from the next page of headers; return their number."""
        plat = self._store.plat
        page = await plat.list(job_records.JOB, after=self._after_job, limit=_PAGE)
        removed = 0
        for stored in page:
            header = job_records.decode(stored.value, job_records.Header)
            retained_until_s = header.ended_at_s + self._retention_s()
            if (
                header.state in job_records.FINAL_STATES
                and self._store.unix_s() >= retained_until_s
            ):
                await self._remove_job(header, stored.version)
                removed += 1
        self._after_job = page[-1].name if len(page) == _PAGE else ""
        return removed

    async def _remove_job(self, header: job_records.Header, version: int) -> None:
        plat = self._store.plat
        prefix = f"{header.job}.{header.upload}."
        for kind in (job_records.PIECE, job_records.CHUNK, job_records.RESULT):
            await job_submission.remove_objects(plat, kind, prefix)
        await plat.delete(job_records.JOB, header.name, version)
        self._log.info("job_removed", job=header.job, team=header.team)

    async def remove_abandoned_uploads(self) -> int:
        """Remove abandoned uploads from the next page of open jobs; return their number."""
        entries = await self._store.open_jobs(after=self._after_open, limit=_PAGE)
        removed = 0
        for entry in entries:
            age_s = self._store.unix_s() - entry.ledger.created_at_s
            if age_s >= UPLOAD_ABANDON_AFTER_S and not entry.ledger.chunks:
                removed += await self._abandon_upload(entry)
        self._after_open = entries[-1].name if len(entries) == _PAGE else ""
        return removed

    async def _abandon_upload(self, entry: job_store.OpenJob) -> bool:
        """Remove an upload after writing a tombstone in place of its header."""
        found = await self._store.header(entry.team, entry.job)
        if found is None:
            await self._write_tombstone(entry)
        elif found.header.upload == entry.upload and not _is_abandoned(found.header):
            return False
        await job_submission.remove_upload(self._store, entry.name, entry.job, entry.upload)
        return True

    async def _write_tombstone(self, entry: job_store.OpenJob) -> None:
        tombstone = job_records.Header(
            team=entry.team,
            job=entry.job,
            key="",
            digest="",
            service="",
            priority="",
            price=0.0,
            due_at_s=entry.due_at_s,
            created_at_s=entry.ledger.created_at_s,
            upload=entry.upload,
            piece_items=(),
            chunk_items=1,
            state=job_records.JobState.ABANDONED,
            ended_at_s=self._store.unix_s(),
        )
        raw = job_records.encode(tombstone)
        await self._store.retrying_writer().create(job_records.JOB, tombstone.name, raw)


def _is_abandoned(header: job_records.Header) -> bool:
    return header.state is job_records.JobState.ABANDONED
