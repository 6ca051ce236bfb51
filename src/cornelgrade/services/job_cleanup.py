"""Clean-up of batch jobs: removes ended jobs after their retention, and uploads given up.

It walks the headers and the index of open jobs a page at a time. An unfinished job is never
removed: only a header in a final state counts as ended, and an upload is given up by a tombstone
in the place of its header, so that it can't become a job any more.
"""

from collections.abc import Callable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.services import job_records, job_store, job_submission

INTERVAL_S = 10.0
UPLOAD_GIVEN_UP_S = 2 * job_submission.UPLOAD_TIMEOUT_S
_PAGE = 20


class Cleanup:
    """Walks all jobs, over and over.

    :param retention_s: gives how long an ended job stays readable, in seconds.
    """

    def __init__(self, store: job_store.JobStore, retention_s: Callable[[], float]) -> None:
        self._store = store
        self._retention_s = retention_s
        self._log = logs.Logger("batch")
        self._after_job = ""
        self._after_open = ""

    async def run(self, mine: Callable[[], bool]) -> None:
        """Walk on while ``mine`` says that it is this VM's turn."""
        while True:
            await trio.sleep(INTERVAL_S)
            if not mine():
                continue
            try:
                await self.jobs_page()
                await self.uploads_page()
            except (platform.UnavailableError, platform.ConflictError) as exc:
                self._log.warning("cleanup_put_off", error=exc.format_message())

    async def jobs_page(self) -> int:
        """Remove what is past its retention among the next headers; give how many."""
        plat = self._store.plat
        page = await plat.list(job_records.JOB, after=self._after_job, limit=_PAGE)
        removed = 0
        for stored in page:
            header = job_records.decode(stored.value, job_records.Header)
            kept_until_s = header.ended_at_s + self._retention_s()
            if header.state in job_records.FINAL and self._store.unix_s() >= kept_until_s:
                await self._remove(header, stored.version)
                removed += 1
        self._after_job = page[-1].name if len(page) == _PAGE else ""
        return removed

    async def _remove(self, header: job_records.Header, version: int) -> None:
        plat = self._store.plat
        prefix = f"{header.job}.{header.upload}."
        for kind in (job_records.PIECE, job_records.CHUNK, job_records.RESULT):
            await job_submission.remove_all(plat, kind, prefix)
        await plat.delete(job_records.JOB, header.name, version)
        self._log.info("job_removed", job=header.job, team=header.team)

    async def uploads_page(self) -> int:
        """Remove uploads that never became a job; give how many."""
        entries = await self._store.open_jobs(after=self._after_open, limit=_PAGE)
        removed = 0
        for entry in entries:
            age_s = self._store.unix_s() - entry.ledger.created_at_s
            if age_s >= UPLOAD_GIVEN_UP_S and not entry.ledger.chunks:
                removed += await self._give_up(entry)
        self._after_open = entries[-1].name if len(entries) == _PAGE else ""
        return removed

    async def _give_up(self, entry: job_store.OpenJob) -> bool:
        """Remove an upload, after a tombstone has taken the place of its header."""
        found = await self._store.header(entry.team, entry.job)
        if found is None:
            await self._bury(entry)
        elif found.header.upload == entry.upload and not _abandoned(found.header):
            return False
        await job_submission.remove_upload(self._store, entry.name, entry.job, entry.upload)
        return True

    async def _bury(self, entry: job_store.OpenJob) -> None:
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
        await self._store.settled().create(job_records.JOB, tombstone.name, raw)


def _abandoned(header: job_records.Header) -> bool:
    return header.state is job_records.JobState.ABANDONED
