"""Headers of jobs that a worker can't read, learned from another worker that reaches the store.

A worker that has lost the store would go on with jobs that their callers cancelled, and would keep
jobs that another worker has closed.
"""

from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs
from cornelgrade.services.edge import (
    _store_availability,
    job_repository,
    open_job,
    peer_calls,
    worker_calls,
)

PATH = "/headers"
# Items of a cancelled job should stop within 3 s. Headers arrive at the other worker within half a
# second; a silent store is taken for lost here after 1 to 4.5 s.
ASK_INTERVAL_S = 0.5
PAUSE_S = 1.0
# The others follow with the next call, by then as older ones are known here.
MAX_HEADERS = 500
MAX_RESPONSE_BYTES = 1_000_000
_log = logs.Logger("header_sharing")

HeaderSource = Callable[[str], job_repository.StoredHeader | None]


class HeaderClient:
    """Asks another worker for changes of the open jobs while this worker has lost the store.

    :param jobs: the open jobs of this worker, owned by the caller.
    :param apply: called with each newer header.
    """

    def __init__(
        self,
        kern: kernel.Kernel,
        availability: _store_availability.StoreAvailability,
        jobs: dict[str, open_job.OpenJob],
        apply: Callable[[job_repository.StoredHeader], None],
    ) -> None:
        self._calls = worker_calls.WorkerCalls(kern, PATH, PAUSE_S)
        self._availability = availability
        self._jobs = jobs
        self._apply = apply

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            while not self._availability.unavailable:
                await self._availability.wait_change()
            if self._jobs and self._calls.may_call():
                await self._ask()
            await trio.sleep(ASK_INTERVAL_S)

    async def _ask(self) -> None:
        versions = {name: job.version for name, job in self._jobs.items()}
        body = msgspec.msgpack.encode(versions)
        got = await self._calls.call(body, MAX_RESPONSE_BYTES)
        if got is None:
            return
        try:
            newer = msgspec.msgpack.decode(got, type=list[job_repository.StoredHeader])
        except msgspec.MsgspecError as exc:
            _log.warning("headers_unreadable", error=repr(exc))
            return
        for stored in newer:
            job = self._jobs.get(stored.header.job)
            if job is not None and stored.version > job.version:
                _log.info("header_shared", job=stored.header.job, state=stored.header.state)
                self._apply(stored)


class HeaderServer:
    """Responds with headers that are newer than those which another worker knows.

    :param find_header: returns what this worker knows of a job, whatever its state.
    """

    def __init__(
        self,
        kern: kernel.Kernel,
        availability: _store_availability.StoreAvailability,
        find_header: HeaderSource,
    ) -> None:
        self._availability = availability
        self._find_header = find_header
        kern.find("peer_calls", peer_calls.PeerCalls).register(PATH, self._list_newer)

    async def _list_newer(self, query: dict[str, str], body: bytes) -> bytes | None:
        """List newer headers; return ``None`` if this worker doesn't reach the store either."""
        try:
            versions = msgspec.msgpack.decode(body, type=dict[str, int])
        except msgspec.MsgspecError as exc:
            _log.warning("versions_unreadable", error=repr(exc))
            return None
        if self._availability.unavailable:
            return None
        known = ((self._find_header(job), version) for job, version in versions.items())
        newer = [stored for stored, version in known if stored and stored.version > version]
        return msgspec.msgpack.encode(newer[:MAX_HEADERS])
