"""The service ``allowances``: leases tokens of limits that all VMs keep to together.

The owner of a limit is a worker: the batch owner of an upstream, or for a team any worker by the
team's name. It leases tokens to the VMs that ask (:mod:`cornelgrade.policy.shared_allowance`).
Limits under which nothing is sent cost nothing: nothing is counted, requested or announced.
"""

from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, metrics
from cornelgrade.policy import shared_allowance, token_bucket
from cornelgrade.schema import messages
from cornelgrade.services.edge import _notifier, peers

# Time after which a leased token lapses. Its VM asked because a request was waiting for it.
LEASE_S = 0.5
# A request for tokens is repeated after this long, because datagrams may be lost.
REPLY_TIMEOUT_S = 0.1
# A VM to which no owner has replied for this long uses its fixed part of the rate, unless a limit
# has terms of its own.
FIXED_PART_AFTER_S = 0.5
# How long a VM that was refused tokens goes before batch items.
DENIAL_TTL_S = 1.0
# A VM that was refused a token asks again after this long at the latest. It bounds the messages of
# callers that send far more than their limit, whose requests are refused at once meanwhile.
MAX_REPEAT_S = 0.25


class Terms(msgspec.Struct, frozen=True):
    """A limit and who owns it.

    :param pick_owner: returns the VM that owns it now, ``None`` if no worker is known.
    :param starts_full: whether the whole burst may be used when the limit becomes known.
    :param fixed_part_after_s: a VM to which no owner has replied for so long uses its fixed part.
    :param spares_messages: whether a VM that was refused asks again only when its turn is near.
    """

    limit: token_bucket.RateLimit
    pick_owner: Callable[[], str | None]
    starts_full: bool = False
    fixed_part_after_s: float = FIXED_PART_AFTER_S
    spares_messages: bool = False


class _Allowance(msgspec.Struct):
    """The tokens of one limit.

    :ivar bucket: the owner's tokens, or those of a VM's fixed part.
    :ivar leases: when the tokens leased from the owner lapse.
    :ivar used: tokens that this VM used recently.
    :ivar ledger: at the owner, what other VMs used; ``None`` elsewhere.
    :ivar asked_s: when the owner was first asked since its last reply, ``None`` if it replied.
    :ivar repeat_s: when the owner may be asked again.
    :ivar expected_s: when it is expected to have a token for this VM.
    :ivar denied: VMs that were refused tokens, and when.
    """

    terms: Terms
    bucket: token_bucket.Bucket
    leases: list[float] = msgspec.field(default_factory=list)
    used: shared_allowance.RecentTimes = msgspec.field(
        default_factory=lambda: shared_allowance.RecentTimes(shared_allowance.USE_MEMORY_S)
    )
    ledger: shared_allowance.GrantLedger | None = None
    asked_s: float | None = None
    repeat_s: float = 0.0
    expected_s: float = 0.0
    denied: dict[str, float] = msgspec.field(default_factory=dict)


class Allowances:
    """Keeps the tokens of all limits that are in use at this VM.

    :ivar changed: notified when tokens may have become available.
    """

    name = "allowances"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self.changed = _notifier.Notifier()
        self._by_key: dict[shared_allowance.LimitKey, _Allowance] = {}
        self._find_terms: Callable[[shared_allowance.LimitKey], Terms | None] = lambda key: None
        self._counter = metrics.counter(
            "cornelgrade_edge_allowances_total",
            "Requests of VMs for permission to send under a shared rate limit, by outcome.",
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Exchange tokens with peers until cancelled."""
        requests = self._peers.subscribe(messages.AllowanceRequest)
        grants = self._peers.subscribe(messages.AllowanceGrant)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_requests, requests)
            nursery.start_soon(self._receive_grants, grants)
            started()

    def set_source(self, find_terms: Callable[[shared_allowance.LimitKey], Terms | None]) -> None:
        """Set what returns the terms of limits that other VMs ask for first, such as teams'."""
        self._find_terms = find_terms

    # Limits

    def set_terms(self, key: shared_allowance.LimitKey, terms: Terms) -> None:
        """Set or change a limit."""
        known = self._by_key.get(key)
        if known is not None:
            self._refill(known)
            known.terms = terms
            return
        now_s = trio.current_time()
        bucket = token_bucket.Bucket(terms.limit.scale(0), now_s)
        if terms.starts_full and terms.pick_owner() == self._peers.vm:
            bucket = token_bucket.Bucket.full(self._owner_limit(terms), now_s)
        self._by_key[key] = _Allowance(terms, bucket)

    def discard(self, key: shared_allowance.LimitKey) -> None:
        """Forget a limit that has ended."""
        self._by_key.pop(key, None)

    def is_limited(self, key: shared_allowance.LimitKey) -> bool:
        """Whether there is a limit for something."""
        return key in self._by_key

    def known_keys(self) -> tuple[shared_allowance.LimitKey, ...]:
        """Return what there are limits for."""
        return tuple(self._by_key)

    def owns(self, key: shared_allowance.LimitKey) -> bool:
        """Whether this VM owns a limit."""
        known = self._by_key.get(key)
        return known is not None and self._owns(known)

    # Tokens

    def has_token(self, key: shared_allowance.LimitKey) -> bool:
        """Whether a request may be sent now."""
        known = self._by_key.get(key)
        return known is None or self._count_tokens(known) >= 1

    def is_scarce(self, key: shared_allowance.LimitKey) -> bool:
        """Whether a VM was refused a token lately."""
        known = self._by_key.get(key)
        now_s = trio.current_time()
        return known is not None and any(
            now_s - at_s < DENIAL_TTL_S for at_s in known.denied.values()
        )

    def take(self, key: shared_allowance.LimitKey) -> None:
        """Take a token for what is sent now; without one it is owed and paid for later."""
        known = self._by_key.get(key)
        if known is None:
            return
        self._refill(known)
        known.used.add(trio.current_time())
        if known.leases and not self._owns(known):
            known.leases.pop(0)
        else:
            known.bucket = known.bucket.drain(1)

    def try_take(self, key: shared_allowance.LimitKey, wanted: int = 1) -> bool:
        """Take a token if there is one; else ask for some and return ``False``.

        :param wanted: requests that wait for a token here.
        """
        if not self.has_token(key):
            self.request(key, wanted)
            return False
        self.take(key)
        return True

    def give_back(self, key: shared_allowance.LimitKey) -> None:
        """Return a token whose request was not sent, for the next request at this VM."""
        known = self._by_key.get(key)
        if known is None:
            return
        known.used.discard_last()
        if self._owns(known):
            known.bucket = known.bucket.drain(-1)
        else:
            known.leases.append(trio.current_time() + LEASE_S)
        self.changed.notify_all()

    def request(self, key: shared_allowance.LimitKey, wanted: int = 1) -> bool:
        """Ask the owner for tokens; return whether a reply is due.

        :param wanted: requests that wait for a token here.
        """
        known = self._by_key.get(key)
        if known is None or self._owns(known):
            return False
        now_s = trio.current_time()
        if now_s < known.repeat_s:
            return known.asked_s is not None
        if known.asked_s is None:
            known.asked_s = now_s
        known.repeat_s = now_s + REPLY_TIMEOUT_S
        owner = known.terms.pick_owner()
        if owner is not None:
            lease = shared_allowance.lease_size(known.terms.limit, self._peers.count_senders())
            self._send_request(owner, key, known, max(wanted, lease))
        return True

    def report_alive(self, key: shared_allowance.LimitKey, owner: str) -> None:
        """Report this VM as live to an owner, so that it reserves no part of the rate."""
        known = self._by_key.get(key)
        if known is not None and not self._owns(known):
            self._send_request(owner, key, known, 0)

    def _send_request(
        self, owner: str, key: shared_allowance.LimitKey, known: _Allowance, wanted: int
    ) -> None:
        used = known.used.count(trio.current_time())
        self._peers.send(owner, messages.AllowanceRequest(key, wanted, used))

    def shortest_wait_s(self, key: shared_allowance.LimitKey) -> float:
        """Return the time within which no token can be had, 0 if that is not known."""
        known = self._by_key.get(key)
        if known is None or self._count_tokens(known) >= 1:
            return 0.0
        if self._owns(known) or self._uses_fixed_part(known):
            return known.bucket.wait_s
        return max(0.0, known.repeat_s - trio.current_time()) if known.asked_s is None else 0.0

    def expected_wait_s(self, key: shared_allowance.LimitKey) -> float:
        """Return the time until this VM is expected to get a token."""
        known = self._by_key.get(key)
        if known is None:
            return 0.0
        return max(self.shortest_wait_s(key), known.expected_s - trio.current_time())

    def _count_tokens(self, known: _Allowance) -> int:
        self._refill(known)
        owns = self._owns(known)
        leased = 0 if owns else len(known.leases)
        usable = owns or self._uses_fixed_part(known)
        return leased + (known.bucket.whole_tokens if usable else 0)

    def _refill(self, known: _Allowance) -> None:
        now_s = trio.current_time()
        known.leases = [expires_s for expires_s in known.leases if expires_s > now_s]
        before = known.bucket
        known.bucket = before.refill(now_s, self._bucket_limit(known))
        if known.ledger is not None:
            refilled = (now_s - before.at_s) * before.limit.rate_per_s
            known.ledger.add_overflow(max(0.0, before.level + refilled - known.bucket.level))

    def _bucket_limit(self, known: _Allowance) -> token_bucket.RateLimit:
        """Return the limit of a VM's own bucket: no rate while an owner leases it tokens."""
        if self._owns(known):
            return self._owner_limit(known.terms)
        if self._uses_fixed_part(known):
            return shared_allowance.fixed_part(known.terms.limit, self._peers.count_senders())
        return known.terms.limit.scale(0)

    def _owner_limit(self, terms: Terms) -> token_bucket.RateLimit:
        return shared_allowance.owner_limit(terms.limit, self._peers.count_senders())

    def _uses_fixed_part(self, known: _Allowance) -> bool:
        """Whether no owner responds; the part is known once all other VMs are."""
        asked_s = known.asked_s
        if asked_s is None or not self._peers.knows_others:
            return False
        return trio.current_time() - asked_s >= known.terms.fixed_part_after_s

    def _owns(self, known: _Allowance) -> bool:
        return known.terms.pick_owner() == self._peers.vm

    # Messages

    async def _receive_requests(
        self, received: trio.MemoryReceiveChannel[messages.AllowanceRequest]
    ) -> None:
        async for request in received:
            if request.key not in self._by_key:
                terms = self._find_terms(request.key)
                if terms is not None:
                    self.set_terms(request.key, terms)
            known = self._by_key.get(request.key)
            if known is None:
                continue
            if not self._owns(known):
                known.ledger = None
            elif request.wanted:
                self._reply(known, request)

    def _reply(self, known: _Allowance, request: messages.AllowanceRequest) -> None:
        now_s = trio.current_time()
        self._refill(known)
        ledger = known.ledger
        if ledger is None:
            ledger = shared_allowance.GrantLedger(known.terms.limit.rate_per_s)
            known.ledger = ledger
            if known.terms.starts_full:
                known.bucket = token_bucket.Bucket.full(known.bucket.limit, now_s)
        if not known.bucket.limit.rate_per_s:
            # Ownership has just moved on; the next request goes to the new owner.
            return
        known.bucket = known.bucket.drain(ledger.settle(request.vm, request.used, now_s))
        tokens = min(request.wanted, known.bucket.whole_tokens)
        known.bucket = known.bucket.drain(tokens)
        ledger.record_grant(request.vm, tokens, now_s)
        known.denied = {v: at for v, at in known.denied.items() if now_s - at < DENIAL_TTL_S}
        known.denied.pop(request.vm, None)
        wait_s = expected_s = 0.0
        if not tokens:
            wait_s = known.bucket.wait_s
            expected_s = known.bucket.wait_behind_s(len(known.denied))
            known.denied[request.vm] = now_s
        self._counter.inc({"outcome": "granted" if tokens else "denied"})
        self._peers.send(
            request.vm, messages.AllowanceGrant(request.key, tokens, wait_s, expected_s)
        )

    async def _receive_grants(
        self, received: trio.MemoryReceiveChannel[messages.AllowanceGrant]
    ) -> None:
        async for grant in received:
            known = self._by_key.get(grant.key)
            if known is None:
                continue
            self._refill(known)
            now_s = trio.current_time()
            known.asked_s = None
            wait_s, expected_s = max(0.0, grant.wait_s), max(0.0, grant.expected_s)
            if known.terms.spares_messages:
                wait_s = max(wait_s, min(expected_s, MAX_REPEAT_S))
            known.repeat_s = now_s + wait_s
            known.expected_s = now_s + expected_s
            owed = min(grant.tokens, max(0, -int(known.bucket.level // 1)))
            known.bucket = known.bucket.drain(-owed)
            known.leases += [now_s + LEASE_S] * (grant.tokens - owed)
            self.changed.notify_all()
