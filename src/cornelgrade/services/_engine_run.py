"""One engine that this worker owns: keeps its batch window and the calls inside it."""

import collections
import math
from collections.abc import Callable

import trio

from cornelgrade import logs, metrics
from cornelgrade.adapters import engine
from cornelgrade.policy import batch, window
from cornelgrade.services import _chunk_run, _item_call, _item_queue, ports

_REPORT_INTERVAL_S = 0.5
_REPORT_WANTED_AFTER_S = window.SILENT_AFTER_S / 2
_OWN_KEPT_S = 5.0
_OWN_SAMPLES = int(_OWN_KEPT_S / window.TICK_S)
_RETRY_PAUSE_S = 0.5
_FORGET_GATEWAY_S = 5.0

_items = metrics.counter("cornelgrade_batch_items_total", "Batch item runs by how they went.")
_cancels = metrics.counter("cornelgrade_batch_cancels_total", "Batch calls cancelled to give way.")
_unkept = metrics.counter("cornelgrade_batch_unkept_total", "Cancelled calls whose work was lost.")


class EngineRun:
    """Runs batch items on one engine.

    :param slots: requests that the engine runs at once.
    :param lean: gives the setting between tail latency (0) and throughput (1).
    :param quarantine: the service, if the process has one.
    """

    def __init__(
        self,
        upstream: engine.Upstream,
        slots: int,
        feed: _item_queue.ItemQueue,
        lean: Callable[[], float],
        quarantine: ports.Quarantine | None = None,
    ) -> None:
        self.upstream = upstream
        self.window = window.Window()
        self.ended = 0
        self._slots = slots
        self._feed = feed
        self._lean = lean
        self._quarantine = quarantine
        self._log = logs.Logger("batch")
        self._calls: list[_item_call.ItemCall] = []
        self._loads: dict[str, tuple[ports.Load, float]] = {}
        self._heard_at_s = -math.inf
        self._reported: engine.Load | None = None
        self._reported_at_s = 0.0
        self._own: collections.deque[tuple[float, int]] = collections.deque(maxlen=_OWN_SAMPLES)
        self._paused_until_s = 0.0
        self._nursery: trio.Nursery | None = None
        self._leaving = False

    @property
    def running(self) -> int:
        """Number of batch items on the engine."""
        return len(self._calls)

    async def run(self) -> None:
        """Run items until :meth:`drain` and until the last call has ended."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._follow_report)
                while self._calls or not self._leaving:
                    self._own.append((self._now(), len(self._calls)))
                    self._apply(
                        window.on_tick(self.window, self._seen(), self._now(), self._lean())
                    )
                    self._fill()
                    await trio.sleep(window.TICK_S)
                nursery.cancel_scope.cancel()
        finally:
            self._nursery = None

    def update_load(self, load: ports.Load) -> None:
        """Take in a gateway's outstanding requests; close the window if they find no slot."""
        now_s = self._now()
        self._loads[load.vm] = (load, now_s)
        self._heard_at_s = now_s
        seen = self._seen()
        over = seen.online + seen.batch - seen.slots
        if over > 0 and seen.batch:
            self._apply(window.give_way(seen, over, now_s, self._lean()))

    def preempt_items(self, slots: int) -> None:
        """Free slots for online requests at once."""
        self._heard_at_s = self._now()
        self._apply(window.give_way(self._seen(), slots, self._now(), self._lean()))

    def drain(self) -> None:
        """Give the engine up: start no more items and cancel those that may run again."""
        self._leaving = True
        self._shed(len(self._calls))

    def cancel_job(self, job: str) -> None:
        """Cancel the running items of one job."""
        for call in list(self._calls):
            if call.work.run.header.job == job:
                self._cancel(call)

    def _now(self) -> float:
        return trio.current_time()

    def _seen(self) -> window.Seen:
        now_s = self._now()
        fresh = [load for load, at in self._loads.values() if now_s - at < _FORGET_GATEWAY_S]
        report = self._reported
        return window.Seen(
            slots=self._slots,
            online=sum(load.outstanding + load.queued for load in fresh),
            batch=sum(not call.cancelling for call in self._calls),
            heard_age_s=now_s - self._heard_at_s,
            reported=report.running + report.waiting if report else None,
            reported_waiting=report.waiting if report else 0,
            batch_then=self._own_at(self._reported_at_s),
        )

    def _own_at(self, at_s: float) -> int:
        """Give how many batch items ran here at an earlier time."""
        return next((count for sampled_s, count in reversed(self._own) if sampled_s <= at_s), 0)

    def _apply(self, decision: window.Decision) -> None:
        self.window = decision.window
        if decision.cancel:
            self._shed(decision.cancel)

    def _shed(self, count: int) -> None:
        """Cancel the youngest items, which have least to lose; at-most-once items run on."""
        running = [call for call in self._calls if not call.cancelling]
        for call in reversed([call for call in running if call.work.item.idempotent][-count:]):
            _cancels.inc({"upstream": self.upstream.name})
            self._cancel(call)

    def _cancel(self, call: _item_call.ItemCall) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(call.cancel)

    def _fill(self) -> None:
        """Start items up to the window."""
        if self._nursery is None or self._leaving or self._now() < self._paused_until_s:
            return
        while len(self._calls) < self.window.limit and not any(c.alone for c in self._calls):
            work = self._feed.take()
            if work is None:
                return
            if not self._start(work):
                return

    def _start(self, work: _chunk_run.Work) -> bool:
        """Start one item; false if it has to wait for the engine to be empty."""
        verdict = self._verdict(work)
        if verdict is ports.Verdict.CONDEMNED:
            work.run.report(work, _condemned(self.upstream.name))
            return True
        alone = work.alone or verdict is ports.Verdict.ALONE
        if alone and self._calls:
            work.run.put_back(work)
            return False
        call = _item_call.ItemCall(self.upstream, work, alone=alone)
        call.shared = bool(self._calls) or bool(self._seen().online)
        for other in self._calls:
            other.shared = True
        self._calls.append(call)
        assert self._nursery is not None
        self._nursery.start_soon(self._run_call, call)
        return True

    def _verdict(self, work: _chunk_run.Work) -> ports.Verdict:
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
        self._tell_quarantine(call, report)
        self._calls.remove(call)
        action = call.work.run.report(call.work, report)
        self._note(call, report, action)
        self._fill()

    def _tell_quarantine(self, call: _item_call.ItemCall, report: _chunk_run.Report) -> None:
        if self._quarantine is None:
            return
        if report.event is batch.Event.BROKEN and not call.crash_reported:
            for other in self._calls:
                other.crash_reported = True
            in_flight = tuple(_item_call.fingerprint(other.work.item) for other in self._calls)
            self._quarantine.report_crash(self.upstream.name, in_flight)
        if report.event is batch.Event.ANSWERED:
            self._quarantine.report_completion(_item_call.fingerprint(call.work.item))

    def _note(
        self, call: _item_call.ItemCall, report: _chunk_run.Report, action: batch.Action
    ) -> None:
        _items.inc({"upstream": self.upstream.name, "event": report.event.value})
        if call.wasted:
            _unkept.inc({"upstream": self.upstream.name})
        if action in (batch.Action.KEEP_RESULT, batch.Action.FINAL_ERROR):
            self.ended += 1
        if report.event in (batch.Event.BUSY, batch.Event.NOT_SENT, batch.Event.BROKEN):
            self._paused_until_s = self._now() + _RETRY_PAUSE_S
            self._log.warning(
                "item_put_back", item=call.work.name, upstream=self.upstream.name,
                reason=report.event.value,
            )  # fmt: skip

    async def _follow_report(self) -> None:
        """Read the engine's own load report while no gateway is heard."""
        while True:
            if self._now() - self._heard_at_s > _REPORT_WANTED_AFTER_S:
                try:
                    self._reported = await self.upstream.load()
                    self._reported_at_s = self._now() - self._reported.age_s
                except engine.CallError:
                    self._reported = None
            await trio.sleep(_REPORT_INTERVAL_S)


def _condemned(upstream: str) -> _chunk_run.Report:
    message = b"quarantined: it crashed the engines that ran it"
    return _chunk_run.Report(batch.Event.CONDEMNED, upstream, body=message)
