"""What a worker knows of an open job, and which of its items it may start."""

import dataclasses
import functools
from collections.abc import Iterator

import trio

from cornelgrade.policy import ownership, rendezvous
from cornelgrade.services.edge import item_call, job_repository, ports

# What another worker said it runs holds this long: six tellings.
CLAIM_TTL_S = 1.5
# An item that gave way is kept for the worker that has its events for this long: busy and calm
# phases alternate within some seconds, and another worker would have to begin it anew.
RESUME_HOLD_S = 6.0
# The workers have an order for each item: each begins it only after it was free for this long times
# its place in the order, so that those before it had their chance to start it and to say so.
START_STAGGER_S = 0.3
# An item that failed is tried again after this long, so that a fault has time to pass.
RETRY_PAUSE_S = 0.3


@dataclasses.dataclass(slots=True)
class ItemRun:
    """An item that runs here.

    :ivar gave_way: it was cancelled for online requests.
    """

    upstream: str
    started_s: float
    scope: trio.CancelScope
    preempted: bool = False


@dataclasses.dataclass(slots=True)
class OpenJob:
    """An open job as this worker knows it.

    :ivar version: of its header in the store.
    :ivar done: items whose results are stored, one bit each.
    :ivar storing: items whose results are on their way to the store.
    :ivar partial: what earlier runs brought, by item.
    :ivar failures: runs that an upstream called failed, by item.
    :ivar not_before_s: when items that failed may be tried again, on the process's clock.
    :ivar claims: items that other workers run, one bit each, and when they said so.
    :ivar parked_s: when items gave way here, on the process's clock.
    :ivar taken_s: when other workers last claimed items.
    :ivar loaded_s: when its input was read.
    :ivar closing: its final state is on its way to the store.
    :ivar route_seen_s: when its route was last part of the plan.
    """

    header: job_repository.JobHeader
    version: int
    items: tuple[ports.Item, ...] = ()
    done: int = 0
    runs: dict[int, ItemRun] = dataclasses.field(default_factory=dict)
    storing: set[int] = dataclasses.field(default_factory=set)
    partial: dict[int, item_call.PartialResult] = dataclasses.field(default_factory=dict)
    failures: dict[int, int] = dataclasses.field(default_factory=dict)
    not_before_s: dict[int, float] = dataclasses.field(default_factory=dict)
    claims: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)
    interrupted_s: dict[int, float] = dataclasses.field(default_factory=dict)
    claimed_s: dict[int, float] = dataclasses.field(default_factory=dict)
    loaded_s: float = 0.0
    closing: bool = False
    route_seen_s: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether all results are stored."""
        return self.done == (1 << self.header.total) - 1

    def items_claimed_elsewhere(self, now_s: float) -> int:
        """Give the items that other workers run."""
        bits = 0
        for running, at_s in self.claims.values():
            bits |= running if now_s - at_s < CLAIM_TTL_S else 0
        return bits

    def items_in_progress(self) -> int:
        """Give the items that run here or whose results are on their way to the store."""
        return sum(1 << index for index in {*self.runs, *self.storing})

    def claims_to_send(self, now_s: float) -> int:
        """Give the items that others are to leave to this worker: held, or parked here of late."""
        bits = self.items_in_progress()
        for index in self.interrupted_s:
            bits |= 1 << index if self._is_held_for_resume(index, now_s) else 0
        return bits & ~self.done

    def _is_held_for_resume(self, index: int, now_s: float) -> bool:
        """Whether an item gave way here of late and nobody else has taken it since."""
        interrupted_s = self.interrupted_s.get(index)
        if interrupted_s is None or now_s - interrupted_s >= RESUME_HOLD_S:
            return False
        return self.claimed_s.get(index, 0.0) < interrupted_s

    def apply_claim(self, vm: str, running: int, done: int, now_s: float) -> None:
        """Take in what another worker told."""
        self.claims[vm] = (running, now_s)
        self.done |= done
        for index in range(self.header.total):
            if running >> index & 1:
                self.claimed_s[index] = now_s

    def may_start(self, index: int, workers: tuple[str, ...], vm: str, now_s: float) -> bool:
        """Whether a worker may start an open item now."""
        if self._is_held_for_resume(index, now_s):
            return True
        available_s = max(self.loaded_s, self.claimed_s.get(index, 0.0))
        rank = _rank_workers(self.header.job, index, workers).index(vm)
        return now_s - available_s >= rank * START_STAGGER_S

    def startable_items(self, now_s: float) -> Iterator[int]:
        """Give the items that nobody runs and that may be tried now."""
        unavailable = self.done | self.items_claimed_elsewhere(now_s) | self.items_in_progress()
        for index in range(len(self.items)):
            if not unavailable >> index & 1 and now_s >= self.not_before_s.get(index, 0.0):
                yield index

    def runs_at(self, upstream: str) -> Iterator[tuple[int, ItemRun]]:
        """Give the items that run at an upstream."""
        return ((index, run) for index, run in self.runs.items() if run.upstream == upstream)

    def delay_retry(self, index: int, now_s: float) -> None:
        """Keep an item back for a while."""
        self.not_before_s[index] = now_s + RETRY_PAUSE_S


@functools.lru_cache(maxsize=16_384)
def closing_worker(job: str, workers: tuple[str, ...]) -> str | None:
    """Name the worker that closes a job."""
    return ownership.owner(job, workers)


@functools.lru_cache(maxsize=16_384)
def _rank_workers(job: str, index: int, workers: tuple[str, ...]) -> tuple[str, ...]:
    """Give the order in which workers may begin an item."""
    key = f"{job}/{index}"
    return rendezvous.pick(key, workers, len(workers))
