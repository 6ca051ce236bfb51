"""The service ``upstream_limits``: keeps the rate limits that upstreams name in their responses.

Whatever is sent to an upstream with a limit takes a token first, which the upstream's batch owner
leases (:mod:`cornelgrade.services.edge.allowances`). Upstreams without a limit cost nothing.
"""

from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.policy import shared_allowance, upstream_limit
from cornelgrade.schema import messages
from cornelgrade.services.edge import _notifier, allowances, fleet, peers

TICK_S = 0.05
ANNOUNCEMENT_INTERVAL_S = 1.0
# A limit that was learned from a peer lapses after so long without confirmation.
PEER_LIMIT_TTL_S = 5.0
# How long the end of a limit is announced.
END_ANNOUNCED_S = 3.0
# Limits in one datagram, which must stay below the largest size of a datagram.
MAX_LIMITS_PER_MESSAGE = 12
_log = logs.Logger("upstream_limits")


class _Limit(msgspec.Struct):
    """The limit of one start of an upstream.

    :ivar polled_s: when its load was last polled.
    :ivar confirmed_s: when a peer last confirmed it; ``None`` if a response named it here.
    """

    up: routes.Upstream
    per_s: float
    polled_s: float = -1e9
    confirmed_s: float | None = None


class UpstreamLimits:
    """Tracks the limit of each start of an upstream, and the tokens to send requests to it.

    :ivar changed: notified when tokens may have become available, and when a limit changes.
    """

    name = "upstream_limits"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._allowances = kern.find("allowances", allowances.Allowances)
        self.changed: _notifier.Notifier = self._allowances.changed
        self._limits: dict[shared_allowance.LimitKey, _Limit] = {}
        self._ended: dict[shared_allowance.LimitKey, float] = {}
        self._announced_s = 0.0
        self._active = trio.Event()

    async def run(self, started: Callable[[], None]) -> None:
        """Exchange limits with peers until cancelled."""
        limits = self._peers.subscribe(messages.UpstreamLimits)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_limits, limits)
            started()
            while True:
                if not self._limits and not self._ended:
                    self._active = trio.Event()
                    await self._active.wait()
                self._drop_stale()
                self._announce()
                self.changed.notify_all()
                await trio.sleep(TICK_S)

    # Sending

    def has_allowance(self, up: routes.Upstream) -> bool:
        """Return whether a request may be sent to an upstream now."""
        return self._allowances.has_token(_key(up))

    def may_send_item(self, up: routes.Upstream) -> bool:
        """Return whether a batch item may be sent: online requests go first."""
        key = _key(up)
        return self._allowances.has_token(key) and not self._allowances.is_scarce(key)

    def take(self, up: routes.Upstream) -> None:
        """Take a token for what is sent now; without one it is owed and paid for later."""
        self._allowances.take(_key(up))

    def try_take(self, up: routes.Upstream) -> bool:
        """Take a token if there is one; else ask for one and return ``False``."""
        return self._allowances.try_take(_key(up))

    def try_take_for_poll(self, up: routes.Upstream) -> bool:
        """Take a token for a load poll; these are rarer at an upstream with a limit."""
        limit = self._limits.get(_key(up))
        if limit is None:
            return True
        now_s = trio.current_time()
        if now_s - limit.polled_s < upstream_limit.poll_interval_s(limit.per_s):
            return False
        if not self.try_take(up):
            return False
        limit.polled_s = now_s
        return True

    def request_allowance(self, up: routes.Upstream) -> bool:
        """Ask the batch owner for tokens; return whether a reply is due."""
        return self._allowances.request(_key(up))

    def shortest_wait_s(self, up: routes.Upstream) -> float:
        """Return the time within which no token can be had, 0 if that is not known."""
        return self._allowances.shortest_wait_s(_key(up))

    def expected_wait_s(self, up: routes.Upstream) -> float:
        """Return the time until this VM is expected to get a token."""
        return self._allowances.expected_wait_s(_key(up))

    def _owns(self, key: shared_allowance.LimitKey) -> bool:
        return self._allowances.owns(key)

    # Limits

    def limit_of(self, up: routes.Upstream) -> float | None:
        """Return the limit that an upstream named, in requests a second, if it did."""
        limit = self._limits.get(_key(up))
        return limit.per_s if limit else None

    def record_reading(self, up: routes.Upstream, reading: upstream_limit.Reading) -> None:
        """Record what a response says of its upstream's limit."""
        if reading.rejected:
            _log.warning("limit_unreadable", upstream=up.name, text=",".join(reading.rejected))
        if not reading.is_readable:
            return
        known = self._limits.get(_key(up))
        if known is not None and reading.per_s is not None:
            known.confirmed_s = None
        if self._set_limit(up, reading.per_s, "response"):
            told = messages.UpstreamLimits((_make_message(_key(up), reading.per_s or 0.0),))
            for owner in self._peers.batch_owners(up.name, up.failure_domain):
                if owner != self._peers.vm:
                    self._peers.send(owner, told)

    def _set_limit(self, up: routes.Upstream, per_s: float | None, source: str) -> bool:
        """Set, change or end a limit; return ``False`` if it is as known."""
        key, known = _key(up), self._limits.get(_key(up))
        if per_s == (known.per_s if known else None):
            return False
        if per_s is None:
            del self._limits[key]
            self._allowances.discard(key)
            self._ended[key] = trio.current_time()
        else:
            self._ended.pop(key, None)
            if known is None:
                self._limits[key] = _Limit(up, per_s)
            else:
                known.per_s = per_s
            self._allowances.set_terms(key, self._make_terms(up, per_s))
        _log.info(
            "upstream_limit",
            upstream=up.name,
            per_s=per_s if per_s is not None else "",
            source=source,
        )
        self._announced_s = 0.0
        self._active.set()
        self.changed.notify_all()
        return True

    def _make_terms(self, up: routes.Upstream, per_s: float) -> allowances.Terms:
        return allowances.Terms(
            upstream_limit.rate_limit(per_s),
            lambda: self._peers.batch_owner(up.name, up.failure_domain),
        )

    async def _receive_limits(
        self, received: trio.MemoryReceiveChannel[messages.UpstreamLimits]
    ) -> None:
        async for message in received:
            by_key = {_key(up): up for up in self._fleet.upstreams()}
            for told in message.limits:
                up = by_key.get(shared_allowance.LimitKey(told.upstream, told.started_ms))
                if up is not None:
                    self._apply_told_limit(up, told, message.vm)

    def _apply_told_limit(
        self, up: routes.Upstream, told: messages.UpstreamLimit, sender: str
    ) -> None:
        reading = upstream_limit.clamp_rate(told.per_s) if told.per_s > 0 else None
        is_new = self._set_limit(up, reading, sender)
        key = _key(up)
        limit = self._limits.get(key)
        if limit is None or self._owns(key):
            return
        if is_new or limit.confirmed_s is not None:
            limit.confirmed_s = trio.current_time()
        # The owner counts only VMs that it hears among those to which it leases the whole rate.
        self._allowances.report_alive(key, sender)

    def _drop_stale(self) -> None:
        now_s = trio.current_time()
        registered = {_key(up) for up in self._fleet.upstreams()}
        for key, limit in tuple(self._limits.items()):
            confirmed_s = limit.confirmed_s
            lapsed = confirmed_s is not None and now_s - confirmed_s > PEER_LIMIT_TTL_S
            if key not in registered or (lapsed and not self._owns(key)):
                del self._limits[key]
                self._allowances.discard(key)
                reason = "lapsed" if lapsed else "upstream gone"
                _log.info("upstream_limit", upstream=key.name, per_s="", source=reason)
        self._ended = {k: at_s for k, at_s in self._ended.items() if now_s - at_s < END_ANNOUNCED_S}

    def _announce(self) -> None:
        """Tell all VMs the limits of the upstreams that this worker owns."""
        now_s = trio.current_time()
        if now_s - self._announced_s < ANNOUNCEMENT_INTERVAL_S:
            return
        self._announced_s = now_s
        owned = [(key, li.per_s) for key, li in self._limits.items() if self._owns(key)]
        if self._peers.is_worker:
            owned += [(key, 0.0) for key in self._ended]
        told = [_make_message(key, per_s) for key, per_s in owned]
        for first in range(0, len(told), MAX_LIMITS_PER_MESSAGE):
            part = tuple(told[first : first + MAX_LIMITS_PER_MESSAGE])
            for vm in self._peers.other_vms():
                self._peers.send(vm, messages.UpstreamLimits(part))


def _key(up: routes.Upstream) -> shared_allowance.LimitKey:
    return shared_allowance.LimitKey(up.name, up.started_ms)


def _make_message(key: shared_allowance.LimitKey, per_s: float) -> messages.UpstreamLimit:
    return messages.UpstreamLimit(key.name, key.started_ms, per_s)
