"""The service ``results``: reads the results of jobs, from a cache.

A job whose readers wait for results is followed until it is complete or nobody has asked for some
seconds. A worker follows it by one watch of the store, which all gateways share. A gateway asks
that worker, and reads the store only if the worker fails or is behind.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable

import trio

from cornelgrade import errors, logs
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
# A watch may be lost without a sign, so it is sent again this often.
WATCH_TIMEOUT_S = 3.0
# How long the response to a watch may take beyond its timeout.
RESPONSE_TIMEOUT_S = 0.5
# Pause after a change, so that one response covers results close together.
SETTLE_S = 0.25
# The worker has paused already.
SETTLE_AFTER_WORKER_S = 0.02
_log = logs.Logger("results")


@dataclasses.dataclass(slots=True)
class _CachedJob:
    """The results of a job that this gateway has read so far.

    :ivar indexes: the items with results; of several results of an item only the first counts.
    :ivar revision: store revision to continue reading from, 0 to read everything.
    :ivar from_worker: whether a worker responded to the last read.
    :ivar following: while a watch is open for it, the scope that ends it.
    :ivar failure: why the last watch failed.
    :ivar lock: held while a caller that does not wait reads on.
    """

    header: job_repository.JobHeader
    results: list[job_repository.StoredResult] = dataclasses.field(default_factory=list)
    indexes: set[int] = dataclasses.field(default_factory=set)
    revision: int = 0
    from_worker: bool = False
    following: trio.CancelScope | None = None
    failure: platform.UnavailableError | None = None
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    changed: _notifier.Notifier = dataclasses.field(default_factory=_notifier.Notifier)

    @property
    def complete(self) -> bool:
        """Whether all results have been read."""
        return len(self.results) >= self.header.total

    def has_news(self, after: int) -> bool:
        """Whether there is something to tell a caller that has read up to ``after``."""
        return len(self.results) > after or self.complete

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

    :param find_header: of accepted jobs, at a worker.
    :param client: asks workers, at a gateway; a worker itself reads the store.
    """

    name = "results"

    def __init__(
        self,
        repository: job_repository.JobRepository,
        availability: _store_availability.StoreAvailability,
        *,
        find_header: HeaderLookup = lambda job: None,
        client: result_sharing.ResultClient | None = None,
    ) -> None:
        self._find_header = find_header
        self._client = client
        self._repository = repository
        self._availability = availability
        self._cache: collections.OrderedDict[str, _CachedJob] = collections.OrderedDict()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Follow jobs until cancelled."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

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
        if not cached.has_news(after) and not (cached.revision and wait_s):
            await self._refresh_once(cached)
        if not cached.has_news(after) and wait_s:
            await self._wait_for_news(cached, after, wait_s)
        return cached.header.total, tuple(entry.result for entry in cached.results[after:])

    async def read_page(self, job: str, after: int, wait_s: float) -> result_sharing.Page:
        """Implements :class:`result_sharing.PageSource`, at a worker."""
        cached = await self._load(job)
        if not cached.has_news(after) and not wait_s and cached.following is None:
            await self._refresh_once(cached)
        if not cached.has_news(after) and wait_s:
            await self._wait_for_news(cached, after, wait_s)
        known = len(cached.results)
        new = tuple(cached.results[after:])
        return result_sharing.Page(cached.header, after, new, cached.revision, known)

    async def _refresh_once(self, cached: _CachedJob) -> None:
        """Read on without waiting; callers at the same time share the read."""
        asked = cached.revision
        async with cached.lock:
            if cached.revision == asked:
                await self._refresh(cached, 0.0)

    async def _load(self, job: str) -> _CachedJob:
        """Return what is cached of a job; the first call reads its header."""
        cached = self._cache.get(job)
        if cached is None:
            cached = self._cache.setdefault(job, await self._read_job(job))
        self._cache.move_to_end(job)
        while len(self._cache) > MAX_CACHED_JOBS:
            _, evicted = self._cache.popitem(last=False)
            if evicted.following is not None:
                evicted.following.cancel()
        return cached

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
        header = await self._repository.find_accepted(job)
        if header is None:
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="read")
        return _CachedJob(header)

    async def _wait_for_news(self, cached: _CachedJob, after: int, wait_s: float) -> None:
        assert self._nursery is not None
        deadline_s = trio.current_time() + wait_s + FOLLOW_AFTER_READ_S
        if cached.following is None:
            cached.failure = None
            cached.following = trio.CancelScope(deadline=deadline_s)
            self._nursery.start_soon(self._follow, cached, cached.following)
        cached.following.deadline = deadline_s
        with trio.move_on_after(wait_s):
            while not cached.has_news(after) and cached.failure is None:
                await cached.changed.wait()
        if cached.has_news(after):
            return
        if cached.failure is not None:
            raise cached.failure
        if self._availability.unavailable and not cached.from_worker:
            raise platform.UnavailableError("the store does not respond", step="read")

    async def _follow(self, cached: _CachedJob, scope: trio.CancelScope) -> None:
        """Read new results until the job is complete, nobody asks any more or the store fails."""
        try:
            with scope:
                while not cached.complete:
                    with (
                        self._availability.interruptible_watch(),
                        trio.move_on_after(WATCH_TIMEOUT_S + RESPONSE_TIMEOUT_S),
                    ):
                        await self._refresh(cached, WATCH_TIMEOUT_S)
                    await trio.sleep(SETTLE_AFTER_WORKER_S if cached.from_worker else SETTLE_S)
        except platform.UnavailableError as exc:
            cached.failure = exc
            if self._availability.record_failure():
                job = cached.header.job
                _log.warning("store_lost", job=job, error=exc.format_message())
        finally:
            cached.following = None
            cached.changed.notify_all()

    async def _refresh(self, cached: _CachedJob, wait_s: float) -> None:
        """Read the results after those cached, waiting for one up to ``wait_s``."""
        job = cached.header.job
        if self._client is not None:
            page = await self._client.fetch(job, len(cached.results), wait_s)
            cached.from_worker = page is not None and self._apply_page(cached, page)
            if cached.from_worker:
                return
        asked = cached.revision
        listed, revision, reset = await self._repository.list_results(job, asked, wait_s)
        if reset:
            asked = cached.revision
            listed, revision, _ = await self._repository.list_results(job, 0, 0.0)
        if cached.revision != asked:
            # Another call has read on meanwhile.
            return
        if reset:
            cached.clear()
        cached.add(listed)
        cached.revision = revision
        cached.changed.notify_all()

    @staticmethod
    def _apply_page(cached: _CachedJob, page: result_sharing.Page) -> bool:
        """Add the results of a page; return ``False`` if they don't follow those cached."""
        new = tuple(entry for entry in page.results if entry.index not in cached.indexes)
        if page.after > len(cached.results) or (new and page.revision < cached.revision):
            _log.warning("page_rejected", job=cached.header.job, revision=page.revision)
            return False
        cached.add(new)
        cached.revision = max(cached.revision, page.revision)
        cached.changed.notify_all()
        return True
