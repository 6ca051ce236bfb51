"""The service ``upstream_limits``: keeps the rate limits that upstreams name in their responses.

Whatever is sent to an upstream with a limit takes a token first. The upstream's batch owner leases
tokens to the VMs that ask for them (:mod:`cornelgrade.policy.upstream_limit`). Upstreams without a
limit cost nothing: nothing is counted, asked or told for them.
"""

import dataclasses
from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, metrics, routes
from cornelgrade.policy import token_bucket, upstream_limit
from cornelgrade.schema import messages
from cornelgrade.services.edge import _notifier, fleet, peers

# Time after which a leased token lapses. Its VM asked because a request was waiting for it.
LEASE_S = 0.5
# A request for tokens is repeated after this long, because datagrams may be lost.
REPLY_TIMEOUT_S = 0.1
# A VM to which no batch owner has replied for this long uses its fixed part of the rate.
FIXED_PART_AFTER_S = 0.5
# How long a VM that was refused tokens goes before batch items.
DENIAL_TTL_S = 1.0
TICK_S = 0.05
ANNOUNCEMENT_INTERVAL_S = 1.0
# A limit that was learned from a peer lapses after so long without confirmation.
PEER_LIMIT_TTL_S = 5.0
# How long the end of a limit is announced.
END_ANNOUNCED_S = 3.0
# Limits in one datagram, which must stay below the largest size of a datagram.
MAX_LIMITS_PER_MESSAGE = 12
_Key = tuple[str, int]
_log = logs.Logger("upstream_limits")


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of one start of an upstream.

    :ivar bucket: the owner's tokens, or those of a VM's fixed part.
    :ivar leases: when the tokens leased from the owner lapse.
    :ivar asked_s: when the owner was first asked since its last reply, ``None`` if it replied.
    :ivar repeat_s: when the owner may be asked again.
    :ivar expected_s: when it is expected to have a token for this VM.
    :ivar denied: VMs that were refused tokens, and when.
    :ivar confirmed_s: when a peer last confirmed it; ``None`` if a response named it here.
    """

    up: routes.Upstream
    per_s: float
    bucket: token_bucket.Bucket
    leases: list[float] = dataclasses.field(default_factory=list)
    asked_s: float | None = None
    repeat_s: float = 0.0
    expected_s: float = 0.0
    denied: dict[str, float] = dataclasses.field(default_factory=dict)
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
        self.changed = _notifier.Notifier()
        self._limits: dict[_Key, _Limit] = {}
        self._ended: dict[_Key, float] = {}
        self._announced_s = 0.0
        self._active = trio.Event()
        self._counter = metrics.counter(
            "cornelgrade_edge_allowances_total",
            "Requests for permission to send to upstreams with a rate limit, by outcome.",
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Exchange limits and tokens with peers until cancelled."""
        limits = self._peers.subscribe(messages.UpstreamLimits)
        requests = self._peers.subscribe(messages.AllowanceRequest)
        grants = self._peers.subscribe(messages.AllowanceGrant)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_limits, limits)
            nursery.start_soon(self._receive_requests, requests)
            nursery.start_soon(self._receive_grants, grants)
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
        limit = self._limits.get(_key(up))
        return limit is None or self._count_tokens(limit) >= 1

    def may_send_item(self, up: routes.Upstream) -> bool:
        """Return whether a batch item may be sent: online requests go first."""
        limit = self._limits.get(_key(up))
        return limit is None or (self._count_tokens(limit) >= 1 and not self._is_scarce(limit))

    def take(self, up: routes.Upstream) -> None:
        """Take a token for what is sent now; without one it is owed and paid for later."""
        limit = self._limits.get(_key(up))
        if limit is None:
            return
        self._refill(limit)
        if limit.leases and not self._owns(limit):
            limit.leases.pop(0)
        else:
            limit.bucket = limit.bucket.drain(1)

    def try_take(self, up: routes.Upstream) -> bool:
        """Take a token if there is one; else ask for one and return ``False``."""
        if not self.has_allowance(up):
            self.request_allowance(up)
            return False
        self.take(up)
        return True

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
        limit = self._limits.get(_key(up))
        if limit is None or self._owns(limit):
            return False
        now_s = trio.current_time()
        if now_s < limit.repeat_s:
            return limit.asked_s is not None
        owner = self._peers.batch_owner(up.name, up.failure_domain)
        if limit.asked_s is None:
            limit.asked_s = now_s
        limit.repeat_s = now_s + REPLY_TIMEOUT_S
        if owner is not None:
            wanted = upstream_limit.lease_size(limit.per_s, self._peers.count_senders())
            self._peers.send(owner, messages.AllowanceRequest(up.name, up.started_ms, wanted))
        return True

    def shortest_wait_s(self, up: routes.Upstream) -> float:
        """Return the time within which no token can be had, 0 if that is not known."""
        limit = self._limits.get(_key(up))
        if limit is None or self._count_tokens(limit) >= 1:
            return 0.0
        if self._owns(limit) or self._uses_fixed_part(limit):
            return limit.bucket.wait_s
        return max(0.0, limit.repeat_s - trio.current_time()) if limit.asked_s is None else 0.0

    def expected_wait_s(self, up: routes.Upstream) -> float:
        """Return the time until this VM is expected to get a token."""
        limit = self._limits.get(_key(up))
        if limit is None:
            return 0.0
        return max(self.shortest_wait_s(up), limit.expected_s - trio.current_time())

    def _count_tokens(self, limit: _Limit) -> int:
        self._refill(limit)
        leased = 0 if self._owns(limit) else len(limit.leases)
        usable = self._owns(limit) or self._uses_fixed_part(limit)
        return leased + (limit.bucket.whole_tokens if usable else 0)

    def _refill(self, limit: _Limit) -> None:
        now_s = trio.current_time()
        limit.leases = [expires_s for expires_s in limit.leases if expires_s > now_s]
        rate_limit = upstream_limit.rate_limit(self._refill_rate(limit))
        limit.bucket = limit.bucket.refill(now_s, rate_limit)

    def _refill_rate(self, limit: _Limit) -> float:
        """Return the rate of a VM's own bucket: none while an owner leases it tokens."""
        senders = self._peers.count_senders()
        if self._owns(limit):
            return upstream_limit.owner_rate(limit.per_s, senders)
        if self._uses_fixed_part(limit):
            return upstream_limit.fixed_part(limit.per_s, senders)
        return 0.0

    def _uses_fixed_part(self, limit: _Limit) -> bool:
        asked_s = limit.asked_s
        return asked_s is not None and trio.current_time() - asked_s >= FIXED_PART_AFTER_S

    def _owns(self, limit: _Limit) -> bool:
        up = limit.up
        return self._peers.batch_owner(up.name, up.failure_domain) == self._peers.vm

    @staticmethod
    def _is_scarce(limit: _Limit) -> bool:
        """Whether a VM was refused a token lately."""
        now_s = trio.current_time()
        return any(now_s - at_s < DENIAL_TTL_S for at_s in limit.denied.values())

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
        now_s = trio.current_time()
        if per_s is None:
            del self._limits[key]
            self._ended[key] = now_s
        elif known is not None:
            self._refill(known)
            known.per_s = per_s
        else:
            self._ended.pop(key, None)
            bucket = token_bucket.Bucket(upstream_limit.rate_limit(0.0), now_s)
            self._limits[key] = _Limit(up, per_s, bucket)
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

    async def _receive_limits(
        self, received: trio.MemoryReceiveChannel[messages.UpstreamLimits]
    ) -> None:
        async for message in received:
            by_key = {_key(up): up for up in self._fleet.upstreams()}
            for told in message.limits:
                up = by_key.get((told.upstream, told.started_ms))
                if up is not None:
                    self._apply_told_limit(up, told, message.vm)

    def _apply_told_limit(
        self, up: routes.Upstream, told: messages.UpstreamLimit, sender: str
    ) -> None:
        reading = upstream_limit.clamp_rate(told.per_s) if told.per_s > 0 else None
        is_new = self._set_limit(up, reading, sender)
        limit = self._limits.get(_key(up))
        if limit is None or self._owns(limit):
            return
        if is_new or limit.confirmed_s is not None:
            limit.confirmed_s = trio.current_time()
        # The owner counts only VMs that it hears among those to which it leases the whole rate.
        self._peers.send(sender, messages.AllowanceRequest(up.name, up.started_ms, 0))

    def _drop_stale(self) -> None:
        now_s = trio.current_time()
        registered = {_key(up) for up in self._fleet.upstreams()}
        for key, limit in tuple(self._limits.items()):
            confirmed_s = limit.confirmed_s
            lapsed = confirmed_s is not None and now_s - confirmed_s > PEER_LIMIT_TTL_S
            if key not in registered or (lapsed and not self._owns(limit)):
                del self._limits[key]
                reason = "lapsed" if lapsed else "upstream gone"
                _log.info("upstream_limit", upstream=key[0], per_s="", source=reason)
        self._ended = {k: at_s for k, at_s in self._ended.items() if now_s - at_s < END_ANNOUNCED_S}

    def _announce(self) -> None:
        """Tell all VMs the limits of the upstreams that this worker owns."""
        now_s = trio.current_time()
        if now_s - self._announced_s < ANNOUNCEMENT_INTERVAL_S:
            return
        self._announced_s = now_s
        owned = [(key, li.per_s) for key, li in self._limits.items() if self._owns(li)]
        if self._peers.is_worker:
            owned += [(key, 0.0) for key in self._ended]
        told = [_make_message(key, per_s) for key, per_s in owned]
        for first in range(0, len(told), MAX_LIMITS_PER_MESSAGE):
            part = tuple(told[first : first + MAX_LIMITS_PER_MESSAGE])
            for vm in self._peers.other_vms():
                self._peers.send(vm, messages.UpstreamLimits(part))

    # Tokens

    async def _receive_requests(
        self, received: trio.MemoryReceiveChannel[messages.AllowanceRequest]
    ) -> None:
        async for request in received:
            limit = self._limits.get((request.upstream, request.started_ms))
            if limit is not None and request.wanted and self._owns(limit):
                self._reply(limit, request)

    def _reply(self, limit: _Limit, request: messages.AllowanceRequest) -> None:
        now_s = trio.current_time()
        self._refill(limit)
        if not limit.bucket.limit.rate_per_s:
            # Ownership has just moved on; the next request goes to the new owner.
            return
        tokens = min(request.wanted, limit.bucket.whole_tokens)
        limit.bucket = limit.bucket.drain(tokens)
        limit.denied = {v: at for v, at in limit.denied.items() if now_s - at < DENIAL_TTL_S}
        limit.denied.pop(request.vm, None)
        wait_s = expected_s = 0.0
        if not tokens:
            wait_s = limit.bucket.wait_s
            expected_s = limit.bucket.wait_behind_s(len(limit.denied))
            limit.denied[request.vm] = now_s
        self._counter.inc({"outcome": "granted" if tokens else "denied"})
        grant = messages.AllowanceGrant(
            request.upstream, request.started_ms, tokens, wait_s, expected_s
        )
        self._peers.send(request.vm, grant)

    async def _receive_grants(
        self, received: trio.MemoryReceiveChannel[messages.AllowanceGrant]
    ) -> None:
        async for grant in received:
            limit = self._limits.get((grant.upstream, grant.started_ms))
            if limit is None:
                continue
            self._refill(limit)
            now_s = trio.current_time()
            limit.asked_s = None
            limit.repeat_s = now_s + max(0.0, grant.wait_s)
            limit.expected_s = now_s + max(0.0, grant.expected_s)
            owed = min(grant.tokens, max(0, -int(limit.bucket.level // 1)))
            limit.bucket = limit.bucket.drain(-owed)
            limit.leases += [now_s + LEASE_S] * (grant.tokens - owed)
            self.changed.notify_all()


def _key(up: routes.Upstream) -> _Key:
    return (up.name, up.started_ms)


def _make_message(key: _Key, per_s: float) -> messages.UpstreamLimit:
    return messages.UpstreamLimit(key[0], key[1], per_s)
