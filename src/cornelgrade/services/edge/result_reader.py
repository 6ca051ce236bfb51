"""The service ``results``: reads the results of jobs, from a cache.

A job whose readers wait for results is followed until it is complete or nobody has asked for some
seconds. A worker follows it by one watch of the store, which all gateways share. A gateway asks
that worker, and reads the store only if the worker fails, is behind, or can't tell whether it is.

A position that one caller has read must not be empty for another one later. Callers may read at
other gateways, which may have read the store. So there is no empty answer unless the store has
confirmed it recently, here or at the worker.

The id of a job may be submitted again after the job was deleted, which happens after its retention.
From then on it is checked whether what is cached is still of the present job.
"""

import collections
import math
import time
from collections.abc import Callable, Iterable

import msgspec
import trio

from cornelgrade import clocks, errors, logs, metrics
from cornelgrade.adapters import platform
from cornelgrade.services.edge import (
    _notifier,
    _store_availability,
    job_repository,
    ports,
    result_sharing,
)

# Jobs whose results are cached; the least recently read job is evicted first.
MAX_CACHED_JOBS = 64
# Callers read about twice a second; a longer pause means that they have left.
FOLLOW_AFTER_READ_S = 1.0
# A watch may be lost without a sign. Confirmations notice that if there are results; this bounds
# how long one that only brings none is kept.
WATCH_TIMEOUT_S = 10.0
# An empty answer needs a confirmation that is newer than this. A position that was read has to be
# there for every caller after 1 s; the remainder is for the response to arrive.
MAX_CONFIRMATION_AGE_S = 0.6
# Timeout of a confirmation. A worker's ends first, so that the gateway learns of its failure.
CONFIRM_TIMEOUT_S = 0.5
WORKER_CONFIRM_TIMEOUT_S = 0.3
# How long the response to a watch may take beyond its timeout.
RESPONSE_TIMEOUT_S = 0.5
# Pause after a change, so that one response covers results close together.
SETTLE_S = 0.25
# The worker has paused already.
SETTLE_AFTER_WORKER_S = 0.02
_MS_PER_S = 1000
_log = logs.Logger("results")


class _Confirmation(msgspec.Struct, eq=False):
    """A read of the results that there are now.

    :ivar failure: why it failed.
    """

    ended: trio.Event = msgspec.field(default_factory=trio.Event)
    failure: platform.UnavailableError | None = None


class _CachedJob(msgspec.Struct):
    """The results of a job that this gateway has read so far.

    :ivar indexes: the items with results; of several results of an item only the first counts.
    :ivar revision: store revision to continue reading from, 0 to read everything.
    :ivar from_worker: whether a worker responded to the last read.
    :ivar confirmed_s: a time at which the store had no other results, by :mod:`clocks`.
    :ivar following: while a watch is open for it, the scope that ends it.
    :ivar failure: why the last watch failed.
    :ivar confirmation: the read that confirms it, while there is one.
    :ivar watch: the scope of the watch, cancelled to send it again.
    :ivar checked_s: a time at which this was the present job of its id, by :mod:`clocks`.
    """

    header: job_repository.JobHeader
    results: list[job_repository.StoredResult] = msgspec.field(default_factory=list)
    indexes: set[int] = msgspec.field(default_factory=set)
    revision: int = 0
    from_worker: bool = False
    confirmed_s: float = -math.inf
    following: trio.CancelScope | None = None
    watch: trio.CancelScope | None = None
    checked_s: float = -math.inf
    failure: platform.UnavailableError | None = None
    confirmation: "_Confirmation | None" = None
    changed: _notifier.Notifier = msgspec.field(default_factory=_notifier.Notifier)

    @property
    def complete(self) -> bool:
        """Whether all results have been read."""
        return len(self.results) >= self.header.total

    def has_news(self, after: int) -> bool:
        """Whether there is something to tell a caller that has read up to ``after``."""
        return len(self.results) > after or self.complete

    def can_answer(self, after: int) -> bool:
        """Whether a caller that has read up to ``after`` can be answered without another read."""
        age_s = clocks.since_boot_s() - self.confirmed_s
        return self.has_news(after) or age_s < MAX_CONFIRMATION_AGE_S

    def confirm(self, confirmed_s: float) -> None:
        """Record that the store had no other results at a time."""
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def add(self, entries: Iterable[job_repository.StoredResult]) -> None:
        """Add the results that follow, in the store's order."""
        for entry in entries:
            if entry.index not in self.indexes:
                self.indexes.add(entry.index)
                self.results.append(entry)

    def clear(self) -> None:
        """Forget all results, before all are read again."""
        self.results.clear()
        self.indexes.clear()


# Returns the header of a job without a call to the store, ``None`` if it is not known.
HeaderLookup = Callable[[str], job_repository.StoredHeader | None]


class ResultReader:
    """Reads results; holds only a cache.

    :param retention_s: no job is deleted, and its id is not submitted again, within this time.
    :param find_header: of accepted jobs, at a worker.
    :param client: asks workers, at a gateway; a worker itself reads the store.
    """

    name = "results"

    def __init__(
        self,
        repository: job_repository.JobRepository,
        availability: _store_availability.StoreAvailability,
        *,
        retention_s: float,
        find_header: HeaderLookup = lambda job: None,
        client: result_sharing.ResultClient | None = None,
    ) -> None:
        self._retention_ms = int(retention_s * _MS_PER_S)
        self._find_header = find_header
        self._client = client
        self._repository = repository
        self._availability = availability
        self._cache: collections.OrderedDict[str, _CachedJob] = collections.OrderedDict()
        self._nursery: trio.Nursery | None = None
        self._confirmations = metrics.counter(
            "cornelgrade_result_confirmations_total",
            "Reads that confirm that a job has no new results, by outcome.",
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Follow jobs until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                started()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def read(
        self, job: str, after: int, wait_s: float, team: str | None = None
    ) -> tuple[int, tuple[ports.ItemResult, ...]]:
        """Return the number of a job's items, and its results from position ``after`` on.

        :param wait_s: how long to wait for a result if there is none.
        :param team: the caller's team, ``None`` if requests need no keys.
        :raises Refusal: ``NOT_FOUND`` if there is no such job of the caller's team.
        :raises UnavailableError: if there may be results that can't be read now.
        """
        cached = await self._load(job)
        if not cached.header.is_visible_to(team):
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="read")
        await self._read_on(cached, after, wait_s, CONFIRM_TIMEOUT_S)
        return cached.header.total, tuple(entry.result for entry in cached.results[after:])

    async def find_job(self, job: str) -> job_repository.JobHeader | None:
        """Return the header of an accepted job, perhaps in an earlier state, or ``None``.

        :raises UnavailableError: if the cache has no such job, and no worker and no store responds.
        """
        try:
            return (await self._load(job)).header
        except errors.Refusal:
            return None

    async def read_page(self, job: str, after: int, wait_s: float) -> result_sharing.Page:
        """Implements :class:`result_sharing.PageSource`, at a worker."""
        received_s = clocks.since_boot_s()
        cached = await self._load(job)
        await self._read_on(cached, after, wait_s, WORKER_CONFIRM_TIMEOUT_S)
        return result_sharing.Page(
            cached.header,
            after,
            tuple(cached.results[after:]),
            cached.revision,
            len(cached.results),
            cached.confirmed_s - received_s,
        )

    async def _read_on(
        self, cached: _CachedJob, after: int, wait_s: float, confirm_timeout_s: float
    ) -> None:
        """Read results after ``after``; return without any only if the store has confirmed that.

        :raises UnavailableError: if there may be results that can't be read now.
        """
        if wait_s and not cached.has_news(after):
            await self._wait_for_news(cached, after, wait_s)
        if cached.can_answer(after):
            return
        outcome = "failed"
        try:
            with trio.move_on_after(confirm_timeout_s):
                await self._confirm(cached, after)
                outcome = "news" if cached.has_news(after) else "nothing new"
        finally:
            self._confirmations.inc({"outcome": outcome})
        if not cached.can_answer(after):
            age_s = clocks.since_boot_s() - cached.confirmed_s
            _log.info("results_not_confirmed", job=cached.header.job, after=after, age_s=age_s)
            raise platform.UnavailableError("results are not confirmed", step="read")

    async def _confirm(self, cached: _CachedJob, after: int) -> None:
        """Read on without waiting; callers at the same time share the read.

        The read goes on after a caller's timeout. A slow store, or a worker that doesn't respond,
        would else keep the results from all callers that don't wait.

        :raises UnavailableError: if the read fails.
        """
        while not cached.can_answer(after):
            confirmation = cached.confirmation
            if confirmation is None:
                nursery = self._running_nursery()
                confirmation = cached.confirmation = _Confirmation()
                nursery.start_soon(self._run_confirmation, cached, confirmation)
            await confirmation.ended.wait()
            if confirmation.failure is not None:
                failure = confirmation.failure
                raise platform.UnavailableError(failure.message, step="read") from failure

    async def _run_confirmation(self, cached: _CachedJob, confirmation: _Confirmation) -> None:
        known = len(cached.results)
        try:
            with self._availability.interruptible_watch():
                await self._refresh(cached, 0.0)
        except platform.UnavailableError as exc:
            confirmation.failure = exc
        except trio.Cancelled:
            confirmation.failure = platform.UnavailableError("the process stops", step="read")
            raise
        finally:
            cached.confirmation = None
            confirmation.ended.set()
        if len(cached.results) > known and cached.watch is not None:
            # The watch should have shown this; it may be lost.
            cached.watch.cancel()

    def _running_nursery(self) -> trio.Nursery:
        """Return the nursery of reads that callers share.

        :raises UnavailableError: before the start and after the end of the service.
        """
        if self._nursery is None:
            raise platform.UnavailableError("the process starts or stops", step="read")
        return self._nursery

    async def _load(self, job: str) -> _CachedJob:
        """Return what is cached of a job; the first call reads its header.

        :raises Refusal: ``NOT_FOUND`` if there is no such job.
        """
        cached = self._cache.get(job)
        if cached is None:
            cached = self._cache.setdefault(job, await self._read_job(job))
        if self._must_check(cached):
            cached = await self._check_present(cached)
        self._cache.move_to_end(job)
        while len(self._cache) > MAX_CACHED_JOBS:
            self._evict(next(iter(self._cache.values())))
        return cached

    def _evict(self, cached: _CachedJob) -> None:
        if self._cache.get(cached.header.job) is cached:
            del self._cache[cached.header.job]
        if cached.following is not None:
            cached.following.cancel()

    def _must_check(self, cached: _CachedJob) -> bool:
        """Whether a job may have been deleted since it was last seen to be present."""
        retained = time.time() * _MS_PER_S < cached.header.received_ms + self._retention_ms
        return not retained and clocks.since_boot_s() - cached.checked_s >= MAX_CONFIRMATION_AGE_S

    async def _check_present(self, cached: _CachedJob) -> _CachedJob:
        """Return what is cached of the present job of an id.

        :raises Refusal: ``NOT_FOUND`` if the job was deleted.
        :raises UnavailableError: if neither a worker nor the store tells.
        """
        job, asked_s = cached.header.job, clocks.since_boot_s()
        header = await self._read_present_header(job, len(cached.results))
        if header is None or not header.is_same_job(cached.header):
            self._evict(cached)
            if header is None:
                raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="read")
            cached = _CachedJob(header)
        # Another call may have checked it meanwhile.
        cached = self._cache.setdefault(job, cached)
        if header.is_same_job(cached.header):
            cached.checked_s = max(cached.checked_s, asked_s)
        return cached

    async def _read_present_header(self, job: str, after: int) -> job_repository.JobHeader | None:
        """Return the header of an accepted job, ``None`` if there is none.

        :param after: number of results that are known, which a worker need not send again.
        """
        known = self._find_header(job)
        if known is not None and not self._availability.unavailable:
            return known.header
        page = await self._client.fetch(job, after, 0.0) if self._client else None
        if page is not None:
            return page.header
        stored = await self._repository.find_job(job)
        return stored.header if stored is not None and stored.header.accepted else None

    async def _read_job(self, job: str) -> _CachedJob:
        """Return a job as the worker that follows it knows it, or its header from the store."""
        known = self._find_header(job)
        if known is not None:
            # No result is older than its job, so a list of them isn't needed.
            return _CachedJob(known.header, revision=known.created)
        page = await self._client.fetch(job, 0, 0.0) if self._client else None
        if page is not None:
            cached = _CachedJob(page.header)
            cached.from_worker = self._apply_page(cached, page)
            return cached
        self._check_store()
        header = await self._repository.find_accepted(job)
        if header is None:
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="read")
        return _CachedJob(header)

    def _check_store(self) -> None:
        """Fail at once at a worker that has lost the store: the gateway that asks may reach it.

        :raises UnavailableError: if the store is lost.
        """
        if self._client is None and self._availability.unavailable:
            raise platform.UnavailableError("the store does not respond", step="read")

    async def _wait_for_news(self, cached: _CachedJob, after: int, wait_s: float) -> None:
        nursery = self._running_nursery()
        deadline_s = trio.current_time() + wait_s + FOLLOW_AFTER_READ_S
        if cached.following is None:
            cached.failure = None
            cached.following = trio.CancelScope(deadline=deadline_s)
            nursery.start_soon(self._follow, cached, cached.following)
        cached.following.deadline = deadline_s
        with trio.move_on_after(wait_s):
            while not cached.has_news(after) and cached.failure is None:
                await cached.changed.wait()

    async def _follow(self, cached: _CachedJob, scope: trio.CancelScope) -> None:
        """Read new results until the job is complete, nobody asks any more or the store fails."""
        try:
            with scope:
                while not cached.complete:
                    with (
                        self._availability.interruptible_watch(),
                        trio.move_on_after(WATCH_TIMEOUT_S + RESPONSE_TIMEOUT_S) as cached.watch,
                    ):
                        await self._refresh(cached, WATCH_TIMEOUT_S)
                    await trio.sleep(SETTLE_AFTER_WORKER_S if cached.from_worker else SETTLE_S)
        except platform.UnavailableError as exc:
            cached.failure = exc
            if self._availability.record_failure():
                job = cached.header.job
                _log.warning("store_lost", job=job, error=exc.format_message())
        finally:
            cached.following = cached.watch = None
            cached.changed.notify_all()

    async def _refresh(self, cached: _CachedJob, wait_s: float) -> None:
        """Read the results after those cached, waiting for one up to ``wait_s``.

        :raises UnavailableError: if neither a worker nor the store responds.
        """
        if self._client is not None and await self._fetch_page(cached, wait_s):
            return
        self._check_store()
        job, received_ms = cached.header.job, cached.header.received_ms
        asked, asked_s = cached.revision, clocks.since_boot_s()
        listed, revision, reset = await self._repository.list_results(
            job, asked, wait_s, received_ms
        )
        if reset:
            asked, asked_s = cached.revision, clocks.since_boot_s()
            listed, revision, _ = await self._repository.list_results(job, 0, 0.0, received_ms)
        if cached.revision != asked:
            # Another call has read on meanwhile.
            return
        if reset:
            cached.clear()
        cached.add(listed)
        cached.revision = revision
        cached.confirm(asked_s)
        cached.changed.notify_all()

    async def _fetch_page(self, cached: _CachedJob, wait_s: float) -> bool:
        """Read on at the worker; return ``False`` if the store has to be read."""
        assert self._client is not None
        known = len(cached.results)
        page = await self._client.fetch(cached.header.job, known, wait_s)
        cached.from_worker = page is not None and self._apply_page(cached, page)
        # A page without results has to be confirmed, or the worker may not know that there are any.
        return cached.from_worker and (wait_s > 0 or cached.can_answer(known))

    @staticmethod
    def _apply_page(cached: _CachedJob, page: result_sharing.Page) -> bool:
        """Add the results of a page; return ``False`` if they don't follow those cached."""
        if not page.header.is_same_job(cached.header):
            _log.info("page_of_another_job", job=cached.header.job)
            return False
        new = tuple(entry for entry in page.results if entry.index not in cached.indexes)
        if page.after > len(cached.results) or (new and page.revision < cached.revision):
            _log.warning("page_rejected", job=cached.header.job, revision=page.revision)
            return False
        cached.add(new)
        cached.revision = max(cached.revision, page.revision)
        if len(cached.results) == page.known:
            cached.confirm(page.confirmed_s)
        cached.changed.notify_all()
        return True
