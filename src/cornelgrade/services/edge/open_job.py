"""State of an open job at a worker, and which of its items the worker may start."""

import functools
from collections.abc import Iterator

import msgspec
import trio

from cornelgrade import routes
from cornelgrade.policy import item_claims, rendezvous, software_versions
from cornelgrade.schema import messages
from cornelgrade.services.edge import item_call, job_repository, ports

# How long an interrupted item is reserved for the worker that has its events: busy and calm phases
# alternate within seconds, and any other worker would have to restart the item.
RESUME_HOLD_S = 6.0
# Workers are ranked for each item. Each may start it after it was available for this long times its
# rank, so that higher-ranked workers had time to start it and to broadcast their claim.
START_STAGGER_S = 0.3
# The same for an item that has failed. Workers count its runs by messages, and two that run it at
# the same time count one failure, so the next worker waits until messages must have come.
FAILED_START_STAGGER_S = 1.0
# Two workers that start an item at the same time learn of it from each other's next claim, or, if a
# datagram is lost, from the full state 0.25 s later. One cancels its run if that is not older than
# this and has no events.
DUPLICATE_AGE_S = 0.5
# Workers that load a job's input at once. The others load it only when they have nothing else to
# run, so that the calls for a job don't grow with the fleet.
JOB_WORKERS = 4
# A worker closes a complete job, or gives up the items of an expired one, after this long times its
# rank among those that load it, so that only one does if the first one reaches the store.
CLOSE_STAGGER_S = 1.5
# Workers report their open jobs four times a second; one without a report for this long has none.
REPORT_TTL_S = 1.5
# Pause before a failed item is retried, so that a transient fault can clear.
RETRY_PAUSE_S = 0.3


class ItemRun(msgspec.Struct):
    """A run of an item at this worker.

    :ivar preempted: whether it was cancelled to free its slot for online requests.
    :ivar duplicate: whether it was cancelled because another worker runs or ran the item.
    """

    upstream: str
    started_s: float
    scope: trio.CancelScope
    preempted: bool = False
    duplicate: bool = False


class OpenJob(msgspec.Struct):
    """An open job as known to this worker.

    :ivar version: version of its header in the store.
    :ivar created: revision of the store at which its header was created, 0 if not known.
    :ivar fingerprints: by which the quarantine identifies the items.
    :ivar done: items whose results are stored, as a bit set.
    :ivar ended: results that wait for others, to be stored together.
    :ivar storing: items whose results are being stored or wait for that.
    :ivar partial: events received in earlier runs, by item.
    :ivar failures: number of runs at any worker that an upstream reported as failed, by item.
    :ivar recording: items whose number of failed runs is being stored; they run again after that.
    :ivar not_before_s: when failed items may be retried, on the process's clock.
    :ivar claims: items that each other worker runs, as a bit set, and when it reported them.
    :ivar heard_s: when something was last heard of each other worker.
    :ivar slack_s: time until it is due, without that for a whole run of an item.
    :ivar interrupted_s: when runs that had received events ended here, on the process's clock.
    :ivar ran_s: when items were first started here, and the time for which they have run.
    :ivar claimed_s: when other workers last claimed items.
    :ivar known_s: when this worker learned of it.
    :ivar loading: whether its input was read or is being read.
    :ivar completed_s: since when this worker knows that it is complete.
    :ivar expired_s: since when its items may be given up, ``None`` if they may not.
    :ivar closing: whether its final state is being stored.
    :ivar route_seen_s: when its route was last known not to be removed.
    :ivar recorded_done: items whose tokens were recorded as done, as a bit set.
    :ivar recorded_s: when that was considered last.
    """

    header: job_repository.JobHeader
    version: int
    created: int = 0
    items: tuple[ports.Item, ...] = ()
    fingerprints: tuple[str, ...] = ()
    done: int = 0
    runs: dict[int, ItemRun] = msgspec.field(default_factory=dict)
    ended: dict[int, ports.ItemResult] = msgspec.field(default_factory=dict)
    storing: set[int] = msgspec.field(default_factory=set)
    partial: dict[int, item_call.PartialResult] = msgspec.field(default_factory=dict)
    failures: dict[int, int] = msgspec.field(default_factory=dict)
    recording: set[int] = msgspec.field(default_factory=set)
    not_before_s: dict[int, float] = msgspec.field(default_factory=dict)
    claims: dict[str, tuple[int, float]] = msgspec.field(default_factory=dict)
    heard_s: dict[str, float] = msgspec.field(default_factory=dict)
    slack_s: float = 0.0
    interrupted_s: dict[int, float] = msgspec.field(default_factory=dict)
    claimed_s: dict[int, float] = msgspec.field(default_factory=dict)
    ran_s: dict[int, tuple[float, float]] = msgspec.field(default_factory=dict)
    known_s: float = 0.0
    loading: bool = False
    completed_s: float | None = None
    expired_s: float | None = None
    closing: bool = False
    route_seen_s: float = 0.0
    recorded_done: int = 0
    recorded_s: float = -1e9

    @property
    def complete(self) -> bool:
        """Whether all results are stored."""
        return self.done == (1 << self.header.total) - 1

    def apply_header(self, stored: job_repository.StoredHeader) -> None:
        """Take in a newer header of the open job."""
        if stored.version > self.version:
            self.header, self.version = stored.header, stored.version

    def items_claimed_elsewhere(self, now_s: float) -> int:
        """Return the items that other workers run, as a bit set."""
        bits = 0
        for vm, (running, at_s) in self.claims.items():
            unreported_s = self.heard_s.get(vm, at_s) - at_s
            if item_claims.holds(now_s - at_s, unreported_s=unreported_s, slack_s=self.slack_s):
                bits |= running
        return bits

    def items_in_progress(self) -> int:
        """Return the items that run here or of which something is being stored, as a bit set."""
        return sum(1 << index for index in {*self.runs, *self.storing, *self.recording})

    def count_in_progress(self, now_s: float) -> int:
        """Return the number of items in progress at any worker."""
        running = self.items_in_progress() | self.items_claimed_elsewhere(now_s)
        return (running & ~self.done).bit_count()

    def _unavailable_to_others(self, now_s: float) -> int:
        """Return the items that other workers must leave alone: in progress or held here."""
        bits = self.items_in_progress()
        for index in self.interrupted_s:
            bits |= 1 << index if self._is_held_for_resume(index, now_s) else 0
        return bits & ~self.done

    def _is_held_for_resume(self, index: int, now_s: float) -> bool:
        """Whether an item was interrupted here recently and nobody has claimed it since."""
        interrupted_s = self.interrupted_s.get(index)
        if interrupted_s is None or now_s - interrupted_s >= RESUME_HOLD_S:
            return False
        return self.claimed_s.get(index, 0.0) < interrupted_s

    def is_reported_by(self, vm: str, now_s: float) -> bool:
        """Whether another worker has just reported that it has the job open and its items."""
        reported = self.claims.get(vm)
        return reported is not None and now_s - reported[1] < REPORT_TTL_S

    def claim_to_send(self, now_s: float) -> messages.JobClaim:
        """Return what the other workers need to know about this job."""
        failed = tuple(
            messages.ItemFailures(index, count)
            for index, count in self.failures.items()
            if not self.done >> index & 1
        )
        return messages.JobClaim(
            self.header.job,
            self._unavailable_to_others(now_s),
            self.done,
            failed,
            self.header.received_ms,
        )

    def is_claimed_by(self, claim: messages.JobClaim) -> bool:
        """Whether a claim is on this job, not on an earlier one of the same id."""
        return claim.job == self.header.job and claim.received_ms in (0, self.header.received_ms)

    def apply_claim(self, vm: str, claim: messages.JobClaim, now_s: float) -> None:
        """Record what another worker reported."""
        self.claims[vm] = (claim.running, now_s)
        self.done |= claim.done
        for index in range(self.header.total):
            if claim.running >> index & 1:
                self.claimed_s[index] = now_s
        self.apply_failures({entry.item: entry.failures for entry in claim.failed}, now_s)

    def cancel_duplicates(
        self, own_vm: str, vm: str, claim: messages.JobClaim, now_s: float
    ) -> None:
        """Cancel runs of items that are done, or that another worker started at the same time.

        :param own_vm: this worker.
        :param vm: the worker that reported the claim, which was applied before.
        """
        for index, run in self.runs.items():
            done = self.done >> index & 1
            claimed = claim.running >> index & 1
            if done or (claimed and self._yields(index, run, own_vm, vm, now_s)):
                run.duplicate = True
                run.scope.cancel()

    def _yields(self, index: int, run: ItemRun, own_vm: str, vm: str, now_s: float) -> bool:
        """Whether a run has just started and that of another worker is to go on instead.

        The hash order of two workers is the same for both, whichever others they know, so that
        never both of them yield.
        """
        if now_s - run.started_s >= DUPLICATE_AGE_S or self.partial[index].events:
            return False
        return rendezvous.pick_members(_item_key(self.header.job, index), (own_vm, vm), 1) == (vm,)

    def apply_failures(self, failures: dict[int, int], now_s: float) -> None:
        """Record the numbers of failed runs that another worker reported."""
        for index, count in failures.items():
            if count > self.failures.get(index, 0):
                # A run may end before its claim is sent; its failure shows that there was one.
                self.claimed_s[index] = now_s
        # One worker at a time runs an item and counts on from what it knows, so the highest count
        # is the number of failed runs.
        self.merge_failures(failures)

    def merge_failures(self, failures: dict[int, int]) -> None:
        """Take into account what others know of failed runs."""
        for index, count in failures.items():
            self.failures[index] = max(count, self.failures.get(index, 0))

    def may_start(self, index: int, workers: tuple[str, ...], vm: str, now_s: float) -> bool:
        """Whether a worker may start an open item now."""
        if self._is_held_for_resume(index, now_s):
            return True
        # After a failure all workers wait for the same pause and then in the order of their ranks,
        # or the one that ran the item and the next one would start it at the same time.
        failed = bool(self.failures.get(index))
        pause_s = RETRY_PAUSE_S if failed else 0.0
        available_s = max(
            self.known_s,
            self.claimed_s.get(index, 0.0) + pause_s,
            self.not_before_s.get(index, 0.0),
        )
        rank = _rank_workers(self.header.job, index, workers).index(vm)
        stagger_s = FAILED_START_STAGGER_S if failed else START_STAGGER_S
        return now_s - available_s >= rank * stagger_s

    def may_load(self, workers: tuple[str, ...], vm: str, now_s: float) -> bool:
        """Whether a worker that has nothing else to run may load an open job that waits."""
        if self.loading or not self._has_unclaimed_items(now_s):
            return False
        rank = _rank_job_workers(self.header.job, workers).index(vm)
        return now_s - self.known_s >= rank * START_STAGGER_S

    def _has_unclaimed_items(self, now_s: float) -> bool:
        taken = (self.done | self.items_claimed_elsewhere(now_s)).bit_count()
        return taken < self.header.total

    def startable_items(self, now_s: float) -> Iterator[int]:
        """Yield the items that nobody runs and that are not waiting for a retry."""
        unavailable = self.done | self.items_claimed_elsewhere(now_s) | self.items_in_progress()
        for index in range(len(self.items)):
            if not unavailable >> index & 1 and now_s >= self.not_before_s.get(index, 0.0):
                yield index

    def may_run_at(
        self,
        index: int,
        up: routes.Upstream,
        available: frozenset[software_versions.StreamOrigin],
        now_s: float,
    ) -> bool:
        """Whether an item may run at an upstream now.

        An item with events waits a while for an upstream of the version that made them. After that,
        or if there is none, it may run anywhere from its beginning.

        :param available: what serves at the upstreams of this worker.
        """
        partial = self.partial.get(index)
        if partial is None or partial.origin in (None, software_versions.origin_at(up)):
            return True
        return partial.origin not in available or not self._is_held_for_resume(index, now_s)

    def partial_for_run(self, index: int, up: routes.Upstream) -> item_call.PartialResult:
        """Return the events with which an item goes on at an upstream: none of another version."""
        partial = self.partial.setdefault(index, item_call.PartialResult())
        if partial.origin not in (None, software_versions.origin_at(up)):
            partial = self.partial[index] = item_call.PartialResult()
        return partial

    def record_run(self, index: int, started_s: float, took_s: float) -> float:
        """Record a run of an item; return the time since its first start for which it didn't run.

        :param started_s: when the run started, on the process's clock.
        """
        first_s, ran_s = self.ran_s.get(index, (started_s, 0.0))
        self.ran_s[index] = (first_s, ran_s + took_s)
        return max(0.0, started_s + took_s - first_s - ran_s - took_s)

    def runs_at(self, upstream: str) -> Iterator[tuple[int, ItemRun]]:
        """Return the items that run at an upstream, with their runs."""
        return ((index, run) for index, run in self.runs.items() if run.upstream == upstream)

    def delay_retry(self, index: int, now_s: float) -> None:
        """Delay the next run of an item."""
        self.not_before_s[index] = now_s + RETRY_PAUSE_S


@functools.lru_cache(maxsize=16_384)
def _rank_job_workers(job: str, workers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the workers in the order in which they load a job."""
    return rendezvous.pick_members(job, workers, len(workers))


def job_workers(job: str, workers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the workers that load a job at once, in the order in which they may close it."""
    return _rank_job_workers(job, workers)[:JOB_WORKERS]


def closing_worker(job: str, workers: tuple[str, ...]) -> str | None:
    """Return the worker that closes a job as long as it reaches the store."""
    return next(iter(job_workers(job, workers)), None)


def closing_rank(job: str, workers: tuple[str, ...], vm: str) -> int | None:
    """Return the position of a worker among those that may close a job, ``None`` if it may not."""
    first = job_workers(job, workers)
    return first.index(vm) if vm in first else None


@functools.lru_cache(maxsize=16_384)
def _rank_workers(job: str, index: int, workers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the workers in the order in which they may start an item."""
    first = job_workers(job, workers)
    others = _rank_job_workers(job, workers)[JOB_WORKERS:]
    return rendezvous.pick_members(_item_key(job, index), first, len(first)) + others


def start_order(job: str, index: int, workers: tuple[str, ...], vm: str) -> tuple[int, int]:
    """Return an item's place among those of its job at a worker, ascending.

    Those for which it ranks highest come first. It takes those of another worker in the reverse of
    that worker's order, so that the two meet only at the last one.
    """
    ranked = _rank_workers(job, index, workers)
    score = rendezvous.score(_item_key(job, index), ranked[0])
    return ranked.index(vm), -score if ranked[0] == vm else score


def _item_key(job: str, index: int) -> str:
    return f"{job}/{index}"
