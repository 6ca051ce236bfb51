"""The service ``upstream_outliers``: ejects upstreams that fail far more often than others.

Each VM reports failed responses to the worker that owns the upstream's service, which judges the
reports of all VMs together, tells all VMs which upstreams are ejected, and hands out their trials.
A VM also judges its own failures, so that it needs no owner. Nothing is sent while none fails.
"""

import collections
import functools
import random
from collections.abc import Callable, Iterable

import msgspec
import trio

from cornelgrade import kernel, logs, metrics, routes, settings
from cornelgrade.policy import ejections, outlier, token_bucket
from cornelgrade.schema import messages
from cornelgrade.services.edge import _notifier, _trial_permits, _upstream_attempts, fleet, peers

TICK_S = 0.1
ANNOUNCEMENT_INTERVAL_S = 1.0
# An ejection that the owner no longer tells lapses after three announcements.
TOLD_TTL_S = 3.0
# How long the end of an ejection is announced.
END_ANNOUNCED_S = 3.0
# Ejections in one datagram, which must stay below the largest size of a datagram.
MAX_EJECTIONS_PER_MESSAGE = 12
# Far more reports than an owner needs to judge, so that a mass failure stays cheap.
REPORT_LIMIT = token_bucket.RateLimit(20.0, 20.0)
_MAX_ITEMS = {outlier.Standing.EJECTED: 0, outlier.Standing.TRIAL: 1}
_log = logs.Logger("upstream_outliers")


class _Told(msgspec.Struct, frozen=True):
    """An ejection that the owner of a service tells."""

    failure_share: float
    failed_trials: int
    heard_s: float


class UpstreamOutliers:
    """Tracks the failures of upstreams, and which of them are ejected.

    :ivar changed: notified when an upstream is ejected, readmitted or due for a trial.
    """

    name = "upstream_outliers"

    def __init__(self, kern: kernel.Kernel, cfg: settings.EdgeSettings) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._rng = random.Random(cfg.vm)
        self.changed = _notifier.Notifier()
        self._successes = _upstream_attempts.SuccessHistory()
        self._report_bucket = token_bucket.Bucket.full(REPORT_LIMIT, 0.0)
        self._judge = ejections.Judge()
        self._trials = _trial_permits.TrialPermits()
        self._told: dict[outlier.Start, _Told] = {}
        self._ended_s: dict[outlier.Start, float] = {}
        self._ejected: frozenset[outlier.Start] = frozenset()
        self._announced_s = 0.0
        self._active = trio.Event()
        self._gauge = metrics.gauge(
            "cornelgrade_edge_ejected_upstreams", "Upstreams that get no requests but trials."
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Exchange outcomes and ejections with peers until cancelled."""
        outcomes = self._peers.subscribe(messages.UpstreamOutcome)
        told = self._peers.subscribe(messages.Ejections)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_outcomes, outcomes)
            nursery.start_soon(self._receive_ejections, told)
            started()
            while True:
                if not (self._judge.ejections or self._told or self._ended_s):
                    self._active = trio.Event()
                    await self._active.wait()
                self._expire()
                self._hand_out_trials()
                self._announce_all()
                await trio.sleep(TICK_S)

    # Choice of upstreams

    def is_ejected(self, up: routes.Upstream) -> bool:
        """Return whether an upstream is to get no requests but trials."""
        return bool(self._ejected) and _start(up) in self._ejected

    def standing(self, up: routes.Upstream, *, repeatable: bool) -> outlier.Standing:
        """Return whether an upstream may get a request.

        :param repeatable: whether the request may run again elsewhere if it fails.
        """
        if not self.is_ejected(up):
            return outlier.Standing.IN_USE
        if self._trials.may_send(_start(up), repeatable, trio.current_time()):
            return outlier.Standing.TRIAL
        return outlier.Standing.EJECTED

    def limit_items(self, up: routes.Upstream, wanted: int) -> int:
        """Return how many batch items may start: at most one if the upstream is ejected.

        :param wanted: how many there is room for; negative if some are to be preempted.
        """
        standing = self.standing(up, repeatable=True)
        return min(wanted, _MAX_ITEMS.get(standing, wanted))

    def take_trial(self, up: routes.Upstream) -> None:
        """Use up a trial, if the upstream is due for one."""
        if self.is_ejected(up) and self._trials.take(_start(up)):
            _log.info("upstream_trial", upstream=up.name, started_ms=up.started_ms)

    # Outcomes

    def start_attempt(self, up: routes.Upstream, fingerprint: str) -> _upstream_attempts.Attempt:
        """Return the record of a request that is sent now.

        :param fingerprint: what the request shares with its repeats, or with requests that are
            likely to fail together with it.
        """
        request = outlier.hash_request(fingerprint)
        record = self._record_trial if self.is_ejected(up) else self._record_outcome
        return _upstream_attempts.Attempt(functools.partial(record, up, request))

    def _record_trial(self, up: routes.Upstream, request: int, failed: bool, broken: bool) -> None:
        start = _start(up)
        if not failed:
            self._successes.record(start, request, trio.current_time())
        self._report(up, messages.UpstreamOutcome(*_key(start), failed=failed, is_trial=True))

    def _record_outcome(
        self, up: routes.Upstream, request: int, failed: bool, broken: bool
    ) -> None:
        start, now_s = _start(up), trio.current_time()
        if not failed:
            self._successes.record(start, request, now_s)
        elif start not in self._ejected:
            outcome = messages.UpstreamOutcome(
                *_key(start),
                request,
                self._successes.count(start, now_s),
                served=self._successes.was_served(request),
                broken=broken,
            )
            self._report(up, outcome)

    def _report(self, up: routes.Upstream, outcome: messages.UpstreamOutcome) -> None:
        """Judge an outcome here, and tell it to the owner and its successor."""
        bucket = self._report_bucket.refill(trio.current_time())
        owners = self._peers.owners_of(up.service) if bucket.whole_tokens else ()
        self._report_bucket = bucket.drain(1) if owners else bucket
        for vm in owners:
            if vm != self._peers.vm:
                self._peers.send(vm, outcome)
        self._apply_outcome(up, outcome, self._peers.vm)

    async def _receive_outcomes(
        self, received: trio.MemoryReceiveChannel[messages.UpstreamOutcome]
    ) -> None:
        async for outcome in received:
            up = self._find_upstream(outlier.Start(outcome.upstream, outcome.started_ms))
            if up is not None:
                self._apply_outcome(up, outcome, outcome.vm)

    def _apply_outcome(
        self, up: routes.Upstream, outcome: messages.UpstreamOutcome, sender: str
    ) -> None:
        start, now_s = _start(up), trio.current_time()
        if outcome.is_trial:
            if start in self._judge.ejections:
                _log.info("upstream_tried", upstream=up.name, failed=outcome.failed, sender=sender)
            change = self._judge.record_trial(start, not outcome.failed, now_s)
            self._apply_changes([change] if change else [])
            self._hand_out_trials()
            return
        failure = outlier.Failure(
            now_s,
            start,
            outcome.request,
            sender,
            outcome.successes,
            outcome.served,
            outcome.broken,
        )
        self._judge.add_failure(failure)
        self._find_changes(up.service)

    # Decisions

    def _owns(self, service: str) -> bool:
        return next(iter(self._peers.owners_of(service)), None) == self._peers.vm

    def _find_changes(self, service: str) -> None:
        """Eject the outliers of a service: by all VMs' failures if owned, else by this VM's."""
        registered = frozenset(
            _start(reg.upstream)
            for reg in self._fleet.usable_registrations()
            if reg.upstream.service == service
        )
        senders, sender = 1, self._peers.vm if not self._owns(service) else None
        if sender is None:
            senders = max(1, len(self._peers.live_vms(peers.Role.GATEWAY)))
        now_s = trio.current_time()
        self._apply_changes(
            self._judge.find_changes(registered, now_s, senders=senders, sender=sender)
        )

    def _apply_changes(self, changes: Iterable[ejections.Change]) -> None:
        """Log what changed, and tell the other VMs if they follow this one."""
        now_s = trio.current_time()
        for change in changes:
            start, ejection = change.start, change.ejection
            if change.ejected:
                _log.warning(
                    "upstream_ejected",
                    upstream=start.upstream,
                    started_ms=start.started_ms,
                    failures=change.failures,
                    failure_share=ejection.failure_share,
                    failed_trials=ejection.failed_trials,
                )
            else:
                ejected_s = now_s - ejection.since_s
                _log_readmission(start, change.reason.value, ejected_s=ejected_s)
                self._told.pop(start, None)
                self._ended_s[start] = now_s
            self._announce((start,))
        self._update_ejected()

    def _update_ejected(self) -> None:
        """Compute which upstreams are ejected, by this VM's judgement and the owners'."""
        shares = {start: told.failure_share for start, told in self._told.items()}
        shares |= {start: ej.failure_share for start, ej in self._judge.ejections.items()}
        by_service = collections.defaultdict(set)
        for reg in self._fleet.usable_registrations() if shares else ():
            by_service[reg.upstream.service].add(_start(reg.upstream))
        ejected: frozenset[outlier.Start] = frozenset()
        for starts in by_service.values():
            known = {start: shares[start] for start in starts & shares.keys()}
            ejected |= outlier.limit_ejected(known, len(starts))
        self._active.set()
        if ejected != self._ejected:
            self._ejected = ejected
            self._gauge.set({}, len(ejected))
            self.changed.notify_all()

    def _expire(self) -> None:
        """Drop the state of upstreams that left, and what has expired."""
        now_s = trio.current_time()
        registered = {_start(up): up for up in self._fleet.upstreams()}
        changes = self._judge.expire(registered, now_s)
        for start, told in tuple(self._told.items()):
            if start not in registered or now_s - told.heard_s > TOLD_TTL_S:
                del self._told[start]
            elif start not in self._judge.ejections and self._owns(registered[start].service):
                # The owner that ejected it no longer responds.
                adopted = ejections.eject(told.failure_share, now_s, told.failed_trials)
                self._judge.ejections[start] = adopted
        self._ended_s = {
            start: at_s for start, at_s in self._ended_s.items() if now_s - at_s < END_ANNOUNCED_S
        }
        self._successes.keep_only(registered)
        self._apply_changes(changes)

    # Trials

    def _hand_out_trials(self) -> None:
        now_s = trio.current_time()
        for start, ejection in tuple(self._judge.ejections.items()):
            due = ejections.trials_due(ejection, now_s)
            up = self._find_upstream(start) if due else None
            testers = self._choose_testers(up, ejection, due) if up else []
            if testers:
                opened = ejections.open_trials(ejection, len(testers), now_s)
                self._judge.ejections[start] = opened
            for vm in testers:
                told = self._make_message(start, trials=1)
                if vm == self._peers.vm:
                    self._accept_trials(start, told)
                else:
                    self._peers.send(vm, messages.Ejections((told,)))

    def _choose_testers(
        self, up: routes.Upstream, ejection: ejections.Ejection, count: int
    ) -> list[str]:
        """Return the VMs that are to send a trial each; an owner chooses among all gateways."""
        if not self._owns(up.service):
            return [self._peers.vm] * count
        vms = list(self._peers.live_vms(peers.Role.GATEWAY))
        if ejection.takes_any_request or not vms:
            vms += self._peers.batch_owners(up.name, up.failure_domain)[:1]
        return self._rng.sample(vms, min(count, len(vms)))

    def _accept_trials(self, start: outlier.Start, told: messages.Ejection) -> None:
        self._trials.add(start, told.trials, told.takes_any, trio.current_time())
        self.changed.notify_all()

    # Announcements

    def _make_message(self, start: outlier.Start, trials: int = 0) -> messages.Ejection:
        ejection = self._judge.ejections.get(start)
        if ejection is None:
            return messages.Ejection(*_key(start), ended=True)
        return messages.Ejection(
            *_key(start),
            ejection.failure_share,
            ejection.failed_trials,
            trials,
            ejection.takes_any_request,
        )

    def _announce_all(self) -> None:
        now_s = trio.current_time()
        if now_s - self._announced_s >= ANNOUNCEMENT_INTERVAL_S:
            self._announced_s = now_s
            self._announce(self._judge.ejections.keys() | self._ended_s.keys())

    def _announce(self, starts: Iterable[outlier.Start]) -> None:
        """Tell all VMs the state of the upstreams whose services this VM owns."""
        found = ((start, self._find_upstream(start)) for start in starts)
        told = [self._make_message(start) for start, up in found if up and self._owns(up.service)]
        for first in range(0, len(told), MAX_EJECTIONS_PER_MESSAGE):
            part = tuple(told[first : first + MAX_EJECTIONS_PER_MESSAGE])
            for vm in self._peers.other_vms():
                self._peers.send(vm, messages.Ejections(part))

    async def _receive_ejections(
        self, received: trio.MemoryReceiveChannel[messages.Ejections]
    ) -> None:
        async for message in received:
            for told in message.ejections:
                self._apply_told(told, message.vm)

    def _apply_told(self, told: messages.Ejection, owner: str) -> None:
        """Follow the owner's decision, also on an upstream that this VM ejected by itself."""
        start, now_s = outlier.Start(told.upstream, told.started_ms), trio.current_time()
        up = self._find_upstream(start)
        if up is None or self._owns(up.service):
            return
        known = self._judge.ejections.pop(start, None) or self._told.pop(start, None)
        if told.ended:
            self._judge.forget_failures(start)
            if known is not None:
                _log_readmission(start, "told", owner=owner)
        else:
            self._told[start] = _Told(told.failure_share, told.failed_trials, now_s)
            if known is None:
                _log.info(
                    "upstream_told_ejected",
                    upstream=start.upstream,
                    started_ms=start.started_ms,
                    failure_share=told.failure_share,
                    owner=owner,
                )
        self._update_ejected()
        if told.trials:
            self._accept_trials(start, told)

    def _find_upstream(self, start: outlier.Start) -> routes.Upstream | None:
        return next((up for up in self._fleet.upstreams() if _start(up) == start), None)


def _start(up: routes.Upstream) -> outlier.Start:
    return outlier.Start(up.name, up.started_ms)


def _key(start: outlier.Start) -> tuple[str, int]:
    return start.upstream, start.started_ms


def _log_readmission(start: outlier.Start, reason: str, **more: logs.Value) -> None:
    _log.info(
        "upstream_readmitted",
        upstream=start.upstream,
        started_ms=start.started_ms,
        reason=reason,
        **more,
    )
