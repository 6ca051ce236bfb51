"""Results of jobs from the worker that reads them for all gateways.

The readers of a job are spread over the gateways. One worker, the one that closes the job, follows
its results in the store, and gateways ask that worker over a signed call. It returns only what it
read from the store, in the store's order, so every gateway sees the same positions as in the store.
"""

import math
from typing import Protocol

import msgspec
import trio

from cornelgrade import clocks, errors, kernel, logs, metrics
from cornelgrade.adapters import platform
from cornelgrade.services.edge import job_repository, open_job, peer_calls, peers

PATH = "/results"
# How long a worker waits for a result. A gateway whose worker dies reads the store after this.
MAX_WAIT_S = 1.5
# How long the response may take beyond that.
RESPONSE_TIMEOUT_S = 0.5
# After a worker failed, the store is read for this long: as long as it takes to choose another one.
AVOID_WORKER_S = peers.PEER_TIMEOUT_S
# Size of the results in one response, beyond which the last object is left to the next one.
PAGE_BYTES = 1_000_000
MAX_RESPONSE_BYTES = 8_000_000
_log = logs.Logger("result_sharing")


class Page(msgspec.Struct, frozen=True):
    """Results of a job from position ``after`` on.

    :param revision: of the store up to which the results before and in this page are complete.
    :param known: number of results that the worker knows.
    :param confirmed_s: a time at which the store had no other results: for the worker, seconds
        after it received the call, mostly negative; for the gateway, by :mod:`clocks`.
    """

    header: job_repository.JobHeader
    after: int
    results: tuple[job_repository.StoredResult, ...]
    revision: int
    known: int
    confirmed_s: float = -math.inf


class PageSource(Protocol):
    """Reads pages from the store."""

    async def read_page(self, job: str, after: int, wait_s: float) -> Page:
        """Return the results of a job from position ``after`` on.

        :param wait_s: how long to wait for a result if there is none.
        :raises Refusal: ``NOT_FOUND`` if there is no such job.
        :raises UnavailableError: if there may be results that can't be read now.
        """


class ResultClient:
    """Asks workers for results, at a gateway."""

    def __init__(self, kern: kernel.Kernel) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._calls = kern.find("peer_calls", peer_calls.PeerCalls)
        self._avoided_until_s: dict[str, float] = {}
        self._counter = metrics.counter(
            "cornelgrade_result_reads_total", "Reads of results from workers by outcome."
        )

    async def fetch(self, job: str, after: int, wait_s: float) -> Page | None:
        """Return the results from position ``after`` on, ``None`` if the store has to be read."""
        worker = open_job.closing_worker(job, self._peers.live_vms(peers.Role.WORKER))
        if worker is None or trio.current_time() < self._avoided_until_s.get(worker, 0.0):
            return None
        wait_s = min(wait_s, MAX_WAIT_S)
        sent_s = clocks.since_boot_s()
        target = f"{PATH}?{peer_calls.encode_query(job=job, after=after, wait=wait_s)}"
        try:
            body = await self._calls.call(
                worker, target, wait_s + RESPONSE_TIMEOUT_S, MAX_RESPONSE_BYTES
            )
            page = msgspec.msgpack.decode(body, type=Page) if body is not None else None
        except (errors.NotReachableError, ValueError) as exc:
            _log.info("results_not_fetched", job=job, worker=worker, error=repr(exc))
            self._avoided_until_s[worker] = trio.current_time() + AVOID_WORKER_S
            self._counter.inc({"outcome": "failed"})
            return None
        if page is None or page.known < after:
            self._counter.inc({"outcome": "unknown" if page is None else "behind"})
            return None
        self._counter.inc({"outcome": "read"})
        # The worker received the call after ``sent_s``, so this is at or before the true time.
        return msgspec.structs.replace(page, confirmed_s=sent_s + page.confirmed_s)


class ResultServer:
    """Responds to gateways, at a worker."""

    def __init__(self, kern: kernel.Kernel, source: PageSource) -> None:
        self._source = source
        kern.find("peer_calls", peer_calls.PeerCalls).register(PATH, self._send_page)

    async def _send_page(self, query: dict[str, str], _body: bytes) -> bytes | None:
        try:
            job, after, wait_s = query["job"], int(query["after"]), float(query["wait"])
            page = await self._source.read_page(job, after, min(wait_s, MAX_WAIT_S))
        except (errors.Refusal, platform.UnavailableError, KeyError, ValueError) as exc:
            _log.info("results_not_sent", query=str(query), error=repr(exc))
            return None
        return msgspec.msgpack.encode(_limit_page(page))


def _limit_page(page: Page) -> Page:
    """Leave out the last objects of a page that is too large, keeping at least one."""
    size = 0
    for number, entry in enumerate(page.results):
        size += len(entry.result.text)
        is_new_object = number and entry.created != page.results[number - 1].created
        if is_new_object and size > PAGE_BYTES:
            kept = page.results[:number]
            return msgspec.structs.replace(page, results=kept, revision=kept[-1].created)
    return page
