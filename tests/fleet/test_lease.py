import msgspec
import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.policy import lease as policy
from cornelgrade.services import lease
from cornelgrade.standins import platform_store

RECORD = policy.Record("vm1/a", 3, 10.0)


def seen(first_seen_at=100.0, **changes):
    return policy.ObservedLease(msgspec.structs.replace(RECORD, **changes), 7, first_seen_at)


@pytest.mark.parametrize(
    ("observed", "now", "longest_order_s", "decision"),
    [
        (None, 0.0, 5.0, policy.Decision(policy.DecisionKind.ACQUIRE, epoch=1)),
        (seen(), 100.0, 0.0, policy.Decision(policy.DecisionKind.WAIT, at=110.0)),
        (seen(), 110.0, 0.0, policy.Decision(policy.DecisionKind.ACQUIRE, epoch=4)),
        (seen(), 110.0, 5.0, policy.Decision(policy.DecisionKind.WAIT, at=115.0)),
        (seen(), 115.0, 5.0, policy.Decision(policy.DecisionKind.ACQUIRE, epoch=4)),
        (seen(released=True), 100.0, 5.0, policy.Decision(policy.DecisionKind.ACQUIRE, epoch=4)),
        (seen(lease_s=30.0), 120.0, 0.0, policy.Decision(policy.DecisionKind.WAIT, at=130.0)),
    ],
)
def test_candidate_waits_for_the_lease_and_the_longest_order(
    observed, now, longest_order_s, decision
):
    assert policy.decide(observed, now, longest_order_s) == decision


def stored(version, record=RECORD):
    return platform.StoredObject("lease", "l", version, msgspec.json.encode(record))


def test_first_seen_time_is_kept_until_the_version_changes():
    first = policy.observe(None, stored(7), 100.0)
    assert policy.observe(first, stored(7), 105.0).first_seen_at == 100.0
    assert policy.observe(first, stored(8), 106.0).first_seen_at == 106.0
    assert policy.observe(first, None, 107.0) is None


NEXT = msgspec.structs.replace(RECORD, renewals=1)
OTHER = msgspec.structs.replace(RECORD, holder="vm2/b", epoch=4)


@pytest.mark.parametrize(
    ("found", "expected"),
    [(NEXT, 104.0), (RECORD, 100.0), (OTHER, None), (None, None)],
)
def test_renewal_with_a_lost_response_is_resolved_by_reading_back(found, expected):
    held = policy.HeldLease(RECORD, 7, 100.0)
    observed = policy.ObservedLease(found, 8, 105.0) if found else None
    settled = policy.resolve_renewal(held, NEXT, 104.0, observed)
    assert (settled.requested_at if settled else None) == expected


def test_holder_stops_before_a_successor_may_acquire_the_lease():
    held = policy.HeldLease(RECORD, 7, 100.0)
    assert held.is_valid(107.9) and not held.is_valid(108.0)
    assert policy.decide(seen(100.0), 108.0, 0.0).kind is policy.DecisionKind.WAIT


class LeasePair:
    """Two candidates for one lease on one platform."""

    def __init__(self, nursery, **options):
        self.store = platform_store.MemoryPlatform()
        self.nursery = nursery
        self.a = lease.Lease(self.store, "orders", "vm1", **options)
        self.b = lease.Lease(self.store, "orders", "vm2", **options)

    async def start(self):
        self.a_scope = self._start(self.a)
        await self.a.wait_until_held()
        self.b_scope = self._start(self.b)

    def _start(self, which):
        scope = trio.CancelScope()

        async def run():
            with scope:
                await which.run()

        self.nursery.start_soon(run)
        return scope


async def test_holder_renews_the_lease_and_keeps_it(autojump_clock, nursery):
    pair = LeasePair(nursery)
    await pair.start()
    for _ in range(60):
        await trio.sleep(1)
        assert pair.a.held() is not None and pair.b.held() is None
    assert pair.a.held().record.epoch == 1


async def test_stopping_holder_releases_the_lease_immediately(autojump_clock, nursery):
    pair = LeasePair(nursery, longest_order_s=lambda: 60.0)
    await pair.start()
    pair.a_scope.cancel()
    with trio.fail_after(5):
        assert (await pair.b.wait_until_held()).record.epoch == 2


async def test_holder_with_an_order_of_unknown_outcome_lets_the_lease_expire(
    autojump_clock, nursery
):
    pair = LeasePair(nursery, longest_order_s=lambda: 5.0)
    await pair.start()
    with pytest.raises(trio.TooSlowError), pair.a.guard_order(1):
        raise trio.TooSlowError
    await trio.sleep(1)
    pair.a_scope.cancel()
    began = trio.current_time()
    await pair.b.wait_until_held()
    assert 10.0 <= trio.current_time() - began <= 25.0


class PausablePlatform(platform_store.MemoryPlatform):
    """Delays one holder's calls, as if its process were stopped."""

    def __init__(self):
        super().__init__()
        self.frozen = False

    async def update(self, kind, name, value, version, nonce=""):
        while self.frozen and b"vm1/" in value:
            await trio.sleep(0.5)
        return await super().update(kind, name, value, version, nonce)


async def test_paused_holder_may_not_order_and_its_successor_waits(autojump_clock, nursery):
    pair = LeasePair(nursery, longest_order_s=lambda: 4.0)
    pair.store = pair.a._store = pair.b._store = PausablePlatform()
    await pair.start()
    pair.store.frozen = True
    paused_at = trio.current_time()
    while pair.a.held() is not None:
        await trio.sleep(0.01)
    stopped_at = trio.current_time()
    with pytest.raises(lease.NotHeldError), pair.a.guard_order(1):
        raise AssertionError("ordered without the lease")
    successor = await pair.b.wait_until_held()
    assert successor.record.epoch == 2
    assert trio.current_time() >= paused_at + 10.0 + 4.0 - 10.0 / 3
    assert trio.current_time() >= stopped_at + 4.0
    pair.store.frozen = False
    await trio.sleep(30)
    assert pair.a.held() is None and pair.b.held().record.epoch == 2


@pytest.mark.parametrize("outage_s", [3.0, 30.0])
async def test_holder_stops_if_an_outage_outlasts_its_lease(autojump_clock, nursery, outage_s):
    pair = LeasePair(nursery)
    await pair.start()
    pair.store.switch(platform_store.Switches(down=True))
    await trio.sleep(outage_s)
    assert (pair.a.held() is not None) == (outage_s < 5)
    assert pair.b.held() is None
    pair.store.switch(platform_store.Switches())
    await trio.sleep(20)
    holders = [x.held() for x in (pair.a, pair.b) if x.held()]
    assert len(holders) == 1


async def test_holder_keeps_the_lease_when_responses_are_lost(autojump_clock, nursery):
    pair = LeasePair(nursery)
    pair.store.switch(platform_store.Switches(lose_answers=1))
    await pair.start()
    for _ in range(10):
        pair.store.switch(platform_store.Switches(lose_answers=1))
        await trio.sleep(4)
        assert pair.a.held().record.epoch == 1


async def test_order_in_another_epoch_is_refused(autojump_clock, nursery):
    pair = LeasePair(nursery)
    await pair.start()
    with pytest.raises(lease.NotHeldError), pair.a.guard_order(2):
        raise AssertionError("ordered in a wrong epoch")
