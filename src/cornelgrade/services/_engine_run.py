"""Runs batch items on one engine that this worker owns, within the engine's batch window."""

import collections
import math
from collections.abc import Callable

import trio

from cornelgrade import logs, metrics
from cornelgrade.adapters import engine
from cornelgrade.policy import batch, window
from cornelgrade.services import _chunk_run, _item_call, _item_queue, ports

_LOAD_POLL_INTERVAL_S = 0.5
_POLL_LOAD_AFTER_S = window.REPORT_TIMEOUT_S / 2
_BATCH_COUNT_HISTORY_S = 5.0
_BATCH_COUNT_SAMPLES = int(_BATCH_COUNT_HISTORY_S / window.TICK_S)
_START_PAUSE_S = 0.5
_GATEWAY_LOAD_EXPIRY_S = 5.0

_items = metrics.counter("cornelgrade_batch_items_total", "Batch item runs by how they went.")
_cancels = metrics.counter("cornelgrade_batch_cancels_total", "Batch calls cancelled to give way.")
_lost_calls = metrics.counter(
    "cornelgrade_batch_unkept_total", "Cancelled calls whose work was lost."
)


class EngineRun:
    """Runs batch items on one engine.

    :param slots: number of requests that the engine runs concurrently.
    :param software_version: the engine's own version as the manifest names it.
    :param lean: returns the trade-off between tail latency (0) and throughput (1).
    :param quarantine: the ``quarantine`` service, if the process has one.
    """

    def __init__(
        self,
        upstream: engine.Upstream,
        slots: int,
        queue: _item_queue.ItemQueue,
        lean: Callable[[], float],
        quarantine: ports.Quarantine | None = None,
        software_version: str = "",
    ) -> None:
        self.upstream = upstream
        self.window = window.Window()
        self.ended = 0
        self._slots = slots
        self._queue = queue
        self._lean = lean
        self._quarantine = quarantine
        self._software_version = software_version
        self._named_version = ""
        self._log = logs.Logger("batch")
        self._calls: list[_item_call.ItemCall] = []
        self._loads: dict[str, tuple[ports.Load, float]] = {}
        self._load_received_at_s = -math.inf
        self._engine_load: engine.Load | None = None
        self._engine_load_at_s = 0.0
        self._batch_counts: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_BATCH_COUNT_SAMPLES
        )
        self._paused_until_s = 0.0
        self._nursery: trio.Nursery | None = None
        self._draining = False

    @property
    def running(self) -> int:
        """Number of batch items on the engine."""
        return len(self._calls)

    async def run(self) -> None:
        """Run items until :meth:`drain` is called and the last call has ended."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._poll_engine_load)
                while self._calls or not self._draining:
                    self._batch_counts.append((self._now(), len(self._calls)))
                    self._apply_decision(
                        window.on_tick(self.window, self._observe(), self._now(), self._lean())
                    )
                    self._start_items()
                    await trio.sleep(window.TICK_S)
                nursery.cancel_scope.cancel()
        finally:
            self._nursery = None

    def update_load(self, load: ports.Load) -> None:
        """Record a gateway's load; close the window if online requests exceed the free slots."""
        now_s = self._now()
        self._loads[load.vm] = (load, now_s)
        self._load_received_at_s = now_s
        observed = self._observe()
        excess = observed.online + observed.batch - observed.slots
        if excess > 0 and observed.batch:
            self._apply_decision(window.preempt_batch(observed, excess, now_s, self._lean()))

    def preempt_items(self, slots: int) -> None:
        """Preempt batch items to free slots for online requests immediately."""
        self._load_received_at_s = self._now()
        self._apply_decision(
            window.preempt_batch(self._observe(), slots, self._now(), self._lean())
        )

    def drain(self) -> None:
        """Start no more items and cancel the running ones that may be retried."""
        self._draining = True
        self._cancel_youngest(len(self._calls))

    def cancel_job(self, job: str) -> None:
        """Cancel the running items of one job."""
        for call in list(self._calls):
            if call.work.run.header.job == job:
                self._cancel_call(call)

    def _now(self) -> float:
        return trio.current_time()

    def _observe(self) -> window.EngineLoad:
        now_s = self._now()
        recent = [load for load, at in self._loads.values() if now_s - at < _GATEWAY_LOAD_EXPIRY_S]
        report = self._engine_load
        return window.EngineLoad(
            slots=self._slots,
            online=sum(load.outstanding + load.queued for load in recent),
            batch=sum(not call.cancelling for call in self._calls),
            report_age_s=now_s - self._load_received_at_s,
            reported=report.running + report.waiting if report else None,
            reported_waiting=report.waiting if report else 0,
            batch_at_report=self._batch_count_at(self._engine_load_at_s),
        )

    def _batch_count_at(self, at_s: float) -> int:
        """Return how many batch items were running at an earlier time."""
        return next(
            (count for sampled_s, count in reversed(self._batch_counts) if sampled_s <= at_s), 0
        )

    def _apply_decision(self, decision: window.Decision) -> None:
        self.window = decision.window
        if decision.cancel:
            self._cancel_youngest(decision.cancel)

    def _cancel_youngest(self, count: int) -> None:
        """Cancel the newest items, which lose the least work; at-most-once items keep running."""
        running = [call for call in self._calls if not call.cancelling]
        for call in reversed([call for call in running if call.work.item.idempotent][-count:]):
            _cancels.inc({"upstream": self.upstream.name})
            self._cancel_call(call)

    def _cancel_call(self, call: _item_call.ItemCall) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(call.cancel)

    def _start_items(self) -> None:
        """Start items until the window is full."""
        if self._nursery is None or self._draining or self._now() < self._paused_until_s:
            return
        while len(self._calls) < self.window.limit and not any(c.alone for c in self._calls):
            work = self._queue.pop()
            if work is None:
                return
            if not self._start_item(work):
                return

    def _start_item(self, work: _chunk_run.Work) -> bool:
        """Start one item; return ``False`` if it must wait until the engine is idle."""
        verdict = self._get_verdict(work)
        if verdict is ports.Verdict.CONDEMNED:
            work.run.report(work, _quarantined_report(self.upstream.name))
            return True
        alone = work.alone or verdict is ports.Verdict.ALONE
        if alone and self._calls:
            work.run.requeue(work)
            return False
        call = _item_call.ItemCall(
            self.upstream,
            work,
            alone=alone,
            software_version=self._software_version,
            named_version=self._named_version,
        )
        call.shared = bool(self._calls) or bool(self._observe().online)
        for other in self._calls:
            other.shared = True
        self._calls.append(call)
        assert self._nursery is not None
        self._nursery.start_soon(self._run_call, call)
        return True

    def _get_verdict(self, work: _chunk_run.Work) -> ports.Verdict:
        if self._quarantine is None:
            return ports.Verdict.CLEAR
        return self._quarantine.verdict(_item_call.fingerprint(work.item))

    async def _run_call(self, call: _item_call.ItemCall) -> None:
        try:
            report = await call.run()
        except BaseException:
            self._calls.remove(call)
            call.work.run.abandon(call.work)
            raise
        if call.named_version is not None:
            self._named_version = call.named_version
        self._report_to_quarantine(call, report)
        self._calls.remove(call)
        action = call.work.run.report(call.work, report)
        self._record_outcome(call, report, action)
        self._start_items()

    def _report_to_quarantine(self, call: _item_call.ItemCall, report: _chunk_run.Report) -> None:
        if self._quarantine is None:
            return
        if report.event is batch.Event.BROKEN and not call.crash_reported:
            for other in self._calls:
                other.crash_reported = True
            in_flight = tuple(_item_call.fingerprint(other.work.item) for other in self._calls)
            self._quarantine.report_crash(self.upstream.name, in_flight)
        if report.event is batch.Event.ANSWERED:
            self._quarantine.report_completion(_item_call.fingerprint(call.work.item))

    def _record_outcome(
        self, call: _item_call.ItemCall, report: _chunk_run.Report, action: batch.Action
    ) -> None:
        _items.inc({"upstream": self.upstream.name, "event": report.event.value})
        if call.wasted:
            _lost_calls.inc({"upstream": self.upstream.name})
        if action in (batch.Action.KEEP_RESULT, batch.Action.FINAL_ERROR):
            self.ended += 1
        if report.event in (batch.Event.BUSY, batch.Event.NOT_SENT, batch.Event.BROKEN):
            self._paused_until_s = self._now() + _START_PAUSE_S
            self._log.warning(
                "item_requeued", item=call.work.name, upstream=self.upstream.name,
                reason=report.event.value,
            )  # fmt: skip

    async def _poll_engine_load(self) -> None:
        """Poll the engine's own load report while no gateway sends its load."""
        while True:
            if self._now() - self._load_received_at_s > _POLL_LOAD_AFTER_S:
                try:
                    self._engine_load = await self.upstream.load()
                    self._engine_load_at_s = self._now() - self._engine_load.age_s
                except engine.CallError:
                    self._engine_load = None
            await trio.sleep(_LOAD_POLL_INTERVAL_S)


def _quarantined_report(upstream: str) -> _chunk_run.Report:
    message = b"quarantined: it crashed the engines that ran it"
    return _chunk_run.Report(batch.Event.QUARANTINED, upstream, body=message)
