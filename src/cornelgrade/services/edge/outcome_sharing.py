"""Outcomes of items that a worker can't store, stored by another worker that reaches the store.

The store may reject or ignore some VMs only. A worker that has lost it keeps its claims on items
whose outcomes it holds, so that no other worker runs them again; their results would stay unseen
until the store is back there. So it sends them to another worker over a signed call.
"""

from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs, metrics
from cornelgrade.adapters import platform
from cornelgrade.services.edge import (
    _store_availability,
    job_repository,
    open_job,
    peer_calls,
    ports,
    worker_calls,
)

PATH = "/outcomes"
MAX_RESPONSE_BYTES = 100
# Each worker has many outcomes to store while the store is down for all.
PAUSE_S = 0.5
_STORED = b"stored"
# Says nothing about the store: outcomes of other jobs go on to be sent.
_NOT_OPEN = b"not open"
_log = logs.Logger("outcome_sharing")


class Outcome(msgspec.Struct, frozen=True):
    """What is stored in one object, or the number of failed runs of one item.

    :param received_ms: when the job was accepted, which tells it from an earlier one of its name.
    :param name: of the object if there are several results, the same when the write is repeated.
    :param results: by item.
    :param failures: number of failed runs by item.
    """

    job: str
    received_ms: int
    name: str = ""
    results: dict[int, ports.ItemResult] = {}
    failures: dict[int, int] = {}

    @property
    def items(self) -> frozenset[int]:
        """Indexes of the items."""
        return frozenset((*self.results, *self.failures))


async def store_outcome(repository: job_repository.JobRepository, outcome: Outcome) -> None:
    """Write an outcome, which may be repeated, also by other workers.

    :raises UnavailableError: if the store does not respond.
    """
    received_ms = outcome.received_ms
    if outcome.name:
        await repository.add_group(outcome.job, outcome.name, outcome.results, received_ms)
    else:
        for index, result in outcome.results.items():
            await repository.add_result(outcome.job, index, result, received_ms)
    for index, failures in outcome.failures.items():
        await repository.record_failures(outcome.job, index, failures)


class OutcomeClient:
    """Sends outcomes to other workers."""

    def __init__(self, kern: kernel.Kernel) -> None:
        self._calls = worker_calls.WorkerCalls(kern, PATH, PAUSE_S)
        self._counter = metrics.counter(
            "cornelgrade_outcomes_sent_total", "Outcomes sent to other workers by their response."
        )

    async def send(self, outcome: Outcome) -> bool:
        """Send an outcome to one other worker; return whether it has been stored."""
        if not self._calls.may_call():
            return False
        got = await self._calls.call(msgspec.msgpack.encode(outcome), MAX_RESPONSE_BYTES)
        self._counter.inc({"response": got.decode() if got else "declined"})
        return got == _STORED


class OutcomeServer:
    """Stores outcomes of other workers.

    :param jobs: the open jobs of this worker, owned by the caller.
    :param on_stored: called after each write.
    """

    def __init__(
        self,
        kern: kernel.Kernel,
        repository: job_repository.JobRepository,
        availability: _store_availability.StoreAvailability,
        jobs: dict[str, open_job.OpenJob],
        on_stored: Callable[[], None],
    ) -> None:
        self._repository = repository
        self._availability = availability
        self._jobs = jobs
        self._on_stored = on_stored
        kern.find("peer_calls", peer_calls.PeerCalls).register(PATH, self._store)

    async def _store(self, query: dict[str, str], body: bytes) -> bytes | None:
        """Store what another worker sent; return ``None`` if it must store it itself."""
        try:
            outcome = msgspec.msgpack.decode(body, type=Outcome)
        except msgspec.MsgspecError as exc:
            _log.warning("outcome_unreadable", error=repr(exc))
            return None
        if self._availability.unavailable:
            return None
        job = self._jobs.get(outcome.job)
        if job is None or job.header.received_ms != outcome.received_ms:
            return _NOT_OPEN
        try:
            await store_outcome(self._repository, outcome)
        except platform.UnavailableError as exc:
            _log.info("outcome_not_stored", job=outcome.job, error=exc.format_message())
            return None
        for index in outcome.results:
            job.done |= 1 << index
        job.apply_failures(outcome.failures, trio.current_time())
        self._on_stored()
        return _STORED
