"""Deletes jobs from the store after their retention; each job is deleted by one worker."""

import time

import trio

from cornelgrade import logs, settings
from cornelgrade.adapters import platform
from cornelgrade.policy import ownership
from cornelgrade.services.edge import job_repository, peers

SWEEP_INTERVAL_S = 5.0
# Added to the retention because callers count it from their first submission of the job.
RETENTION_MARGIN_S = 60.0
_MS_PER_S = 1000.0
_log = logs.Logger("job_sweeper")


class JobSweeper:
    """Tracks jobs that are not open and deletes the expired ones."""

    def __init__(
        self,
        repository: job_repository.JobRepository,
        peer_service: peers.Peers,
        cfg: settings.EdgeSettings,
    ) -> None:
        self._repository = repository
        self._peers = peer_service
        self._cfg = cfg
        self._closed: dict[str, job_repository.StoredHeader] = {}

    def track_closed(self, stored_header: job_repository.StoredHeader) -> None:
        """Track a job that has ended or is not open yet."""
        self._closed[stored_header.header.job] = stored_header

    def find_header(self, job: str) -> job_repository.StoredHeader | None:
        """Return the header of a job that is tracked."""
        return self._closed.get(job)

    def tracked_jobs(self) -> set[str]:
        """Return the ids of the jobs that are tracked."""
        return set(self._closed)

    def untrack(self, job: str) -> None:
        """Stop tracking a job that is open now or deleted; open jobs are kept regardless of age."""
        self._closed.pop(job, None)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            for stored_header in tuple(self._closed.values()):
                if self._retention_expired(stored_header):
                    await self._delete_job(stored_header)

    def _retention_expired(self, stored_header: job_repository.StoredHeader) -> bool:
        retention_s = self._cfg.retention_s + RETENTION_MARGIN_S
        return time.time() > stored_header.header.received_ms / _MS_PER_S + retention_s

    async def _delete_job(self, stored_header: job_repository.StoredHeader) -> None:
        job = stored_header.header.job
        workers = self._peers.live_vms(peers.Role.WORKER)
        if ownership.choose_owner(job, workers) != self._cfg.vm:
            self._untrack_header(stored_header)
            return
        try:
            await self._repository.delete_job(stored_header)
            self._untrack_header(stored_header)
            _log.info("job_forgotten", job=job, state=stored_header.header.state)
        except platform.ConflictError as exc:
            _log.info("job_changed", job=job, error=exc.format_message())
            self._untrack_header(stored_header)
        except platform.UnavailableError as exc:
            _log.warning("job_not_deleted", job=job, error=exc.format_message())

    def _untrack_header(self, stored_header: job_repository.StoredHeader) -> None:
        """Stop tracking a job unless a newer header of its id is tracked by now."""
        job = stored_header.header.job
        if self._closed.get(job) is stored_header:
            del self._closed[job]
