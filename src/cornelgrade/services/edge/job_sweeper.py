"""Removes jobs whose retention is over from the store, one worker each."""

import time

import trio

from cornelgrade import logs, settings
from cornelgrade.adapters import platform
from cornelgrade.policy import ownership
from cornelgrade.services.edge import job_repository, peers

INTERVAL_S = 5.0
# Added to the retention, since callers count it from the first time that they sent the job.
MARGIN_S = 60.0
_MS_PER_S = 1000.0
_log = logs.Logger("job_sweeper")


class JobSweeper:
    """Remembers jobs that ended and forgets them in time."""

    def __init__(
        self, book: job_repository.JobRepository, known: peers.Peers, cfg: settings.EdgeSettings
    ) -> None:
        self._book = book
        self._peers = known
        self._cfg = cfg
        self._closed: dict[str, job_repository.Found] = {}

    def closed(self, found: job_repository.Found) -> None:
        """Note a job that is no longer open, or not open yet."""
        self._closed[found.header.job] = found

    def opened(self, job: str) -> None:
        """Note a job that is open now: it is not swept, however old it is."""
        self._closed.pop(job, None)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            for found in tuple(self._closed.values()):
                if self._over(found):
                    await self._forget(found)

    def _over(self, found: job_repository.Found) -> bool:
        kept_s = self._cfg.retention_s + MARGIN_S
        return time.time() > found.header.received_ms / _MS_PER_S + kept_s

    async def _forget(self, found: job_repository.Found) -> None:
        job = found.header.job
        workers = self._peers.live_vms(peers.Role.WORKER)
        if ownership.owner(job, workers) != self._cfg.vm:
            del self._closed[job]
            return
        try:
            await self._book.forget(found)
            del self._closed[job]
            _log.info("job_forgotten", job=job, state=found.header.state)
        except platform.ConflictError as exc:
            _log.info("job_changed", job=job, error=exc.format_message())
            del self._closed[job]
        except platform.UnavailableError as exc:
            _log.warning("job_not_forgotten", job=job, error=exc.format_message())
