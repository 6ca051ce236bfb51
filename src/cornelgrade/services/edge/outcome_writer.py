"""Writes how runs of batch items ended to the store, again until it is available.

While it is not, other workers are asked, which may reach it.
"""

from collections.abc import Callable, Iterable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.services.edge import job_repository, open_job, outcome_sharing, ports

# Pauses between attempts; each is twice the one before.
MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 1.0
# A write takes milliseconds, at a slow store some hundred; after this another worker is asked too.
ASK_OTHERS_AFTER_S = 1.0
# How long a result waits for others of its job, which is short beside the pauses of readers.
GATHER_S = 0.2
GATHER_CHECK_S = 0.02
_log = logs.Logger("outcome_writer")


class OutcomeWriter:
    """Writes results and numbers of failed runs.

    :param jobs: the open jobs of this worker, owned by the caller; a job that is dropped needs no
        more writes.
    :param on_written: called after each write.
    :param may_group: whether all processes can read several results in one object.
    :param others: the other workers, ``None`` if none can be asked.
    """

    def __init__(
        self,
        repository: job_repository.JobRepository,
        jobs: dict[str, open_job.OpenJob],
        on_written: Callable[[], None],
        may_group: Callable[[], bool],
        others: outcome_sharing.OutcomeClient | None = None,
    ) -> None:
        self._others = others
        self._may_group = may_group
        self._repository = repository
        self._jobs = jobs
        self._on_written = on_written

    def start_result(
        self, nursery: trio.Nursery, job: open_job.OpenJob, index: int, result: ports.ItemResult
    ) -> None:
        """Write an item's result in the background, with others of its job that end shortly after.

        There is no delay if no other item of the job runs here, or if an item was given up.
        """
        job.storing.add(index)
        if not job.ended:
            nursery.start_soon(self._write_results, job)
        job.ended[index] = result

    def start_failures(self, nursery: trio.Nursery, job: open_job.OpenJob, index: int) -> None:
        """Write the number of an item's failed runs in the background; it runs again after that."""
        job.recording.add(index)
        nursery.start_soon(self._write_failures, job, index)

    async def _write_results(self, job: open_job.OpenJob) -> None:
        with trio.move_on_after(GATHER_S):
            while _may_wait(job):
                await trio.sleep(GATHER_CHECK_S)
        results, job.ended = job.ended, {}
        stored_elsewhere = [index for index in results if job.done >> index & 1]
        self._record_stored(job, stored_elsewhere)
        for index in stored_elsewhere:
            del results[index]
        for group in self._group(results):
            name = job_repository.make_group_name(group) if len(group) > 1 else ""
            await self._retry(job, _outcome_of(job, name=name, results=group))
            self._record_stored(job, group)

    def _record_stored(self, job: open_job.OpenJob, indexes: Iterable[int]) -> None:
        for index in indexes:
            job.done |= 1 << index
            job.storing.discard(index)
            job.partial.pop(index, None)
        self._on_written()

    def _group(
        self, results: dict[int, ports.ItemResult]
    ) -> tuple[dict[int, ports.ItemResult], ...]:
        if self._may_group():
            return self._repository.group_results(results)
        return tuple({index: result} for index, result in results.items())

    async def _write_failures(self, job: open_job.OpenJob, index: int) -> None:
        failures = job.failures[index]
        await self._retry(job, _outcome_of(job, failures={index: failures}))
        job.recording.discard(index)
        self._on_written()

    async def _retry(self, job: open_job.OpenJob, outcome: outcome_sharing.Outcome) -> None:
        pause_s = MIN_RETRY_PAUSE_S
        while self._jobs.get(job.header.job) is job:
            # Another worker may have stored it although its response was lost.
            stored_elsewhere = all(job.done >> index & 1 for index in outcome.items)
            if stored_elsewhere or await self._store(job, outcome):
                return
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    async def _store(self, job: open_job.OpenJob, outcome: outcome_sharing.Outcome) -> bool:
        """Write an outcome, and ask another worker to if that fails or takes long."""
        stored = False
        failed = trio.Event()

        async def write() -> None:
            nonlocal stored
            try:
                await outcome_sharing.store_outcome(self._repository, outcome)
                stored = True
                nursery.cancel_scope.cancel()
            except platform.UnavailableError as exc:
                item = job.items[min(outcome.items)].name
                _log.info("outcome_not_stored", item=item, error=exc.format_message())
            failed.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            with trio.move_on_after(ASK_OTHERS_AFTER_S):
                await failed.wait()
            # The write may be cancelled, as it can be repeated and the other worker has made it.
            if self._others is not None and await self._others.send(outcome):
                stored = True
                nursery.cancel_scope.cancel()
        return stored


def _outcome_of(job: open_job.OpenJob, **parts) -> outcome_sharing.Outcome:
    return outcome_sharing.Outcome(job.header.job, job.header.received_ms, **parts)


def _may_wait(job: open_job.OpenJob) -> bool:
    """Whether the results of a job may wait for others.

    That an item was given up is stored at once: an item that always fails would run again if this
    worker died meanwhile, beyond the runs that its route allows.
    """
    given_up = any(result.end is ports.ItemEnd.GIVEN_UP for result in job.ended.values())
    return not given_up and bool(job.runs.keys() - job.ended.keys())
