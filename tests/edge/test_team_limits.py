"""Rate limits of teams, kept to by 70 VMs together, without a network."""

import limit_fleet
import pytest
import trio
import trio.testing

from cornelgrade import errors, routes
from cornelgrade.policy import token_bucket
from cornelgrade.services.edge import peers

WINDOW_S = 5.0
LIMIT = token_bucket.RateLimit(20.0, 20.0)
TEAM = routes.Team("clinic", (), None, LIMIT)
GATEWAYS, WORKERS = 64, 6


def allowed(limit, window_s=WINDOW_S):
    """What the operator's rule allows in any window."""
    return (limit.rate_per_s * window_s + limit.burst) * 1.1 + 20


@pytest.fixture
def clock():
    """Run each test on a virtual clock, which jumps to the next timer."""
    return trio.testing.MockClock(autojump_threshold=0)


async def play(disturb=None, *, per_s, for_s=16.0, loss=0.0, team=TEAM):
    async with trio.open_nursery() as nursery:
        network = limit_fleet.Network(nursery, GATEWAYS, WORKERS, loss)
        await network.start(limit_fleet.make_plan(team))
        if disturb is not None:
            nursery.start_soon(disturb, network)
        outcome = await limit_fleet.send_requests(network, team.name, per_s, for_s)
        nursery.cancel_scope.cancel()
    return outcome, network


async def kill_owners(network):
    """Cut each owner off in turn, as kills do."""
    for _ in range(3):
        await trio.sleep(2.0)
        owner = network.vms["gateway-0"].peers.limit_owner(TEAM.name)
        network.cut({owner})
        await trio.sleep(peers.PEER_TIMEOUT_S + 1.0)
        network.cut(set())


async def cut_domain(network):
    """Cut a third of the gateways and workers off."""
    await trio.sleep(4.0)
    network.cut({vm for n, vm in enumerate(network.vms) if n % 3 == 0})
    await trio.sleep(5.5)
    network.cut(set())


# Guards against a team below its limit that is refused until a lost owner is replaced.
async def test_team_below_its_limit_is_served_while_owners_are_lost(clock):
    outcome, _ = await play(kill_owners, per_s=0.8 * LIMIT.rate_per_s)
    assert outcome.refused <= 0.1 * len(outcome.admitted_s)


# Guards against a team that exceeds its limit at 70 VMs: sending seven times its rate, while owners
# of the limit are lost or a failure domain is cut off, or datagrams are lost.
@pytest.mark.parametrize("disturb", [None, kill_owners, cut_domain])
@pytest.mark.parametrize("loss", [0.0, 0.05])
async def test_hot_team_keeps_to_its_limit(clock, disturb, loss):
    outcome, _ = await play(disturb, per_s=7 * LIMIT.rate_per_s, loss=loss)
    assert outcome.most_in(WINDOW_S) <= allowed(LIMIT)
    assert len(outcome.admitted_s) >= 0.6 * LIMIT.rate_per_s * 16


# Guards against requests that are refused although their team is below its limit.
async def test_team_below_its_limit_is_not_refused(clock):
    outcome, _ = await play(per_s=0.8 * LIMIT.rate_per_s, loss=0.01)
    assert outcome.refused <= 0.01 * len(outcome.admitted_s)


# Guards against allowance that lies unused while requests are refused: a team over its limit whose
# callers reach few of the gateways.
async def test_whole_limit_is_used_by_few_gateways(clock):
    async with trio.open_nursery() as nursery:
        network = limit_fleet.Network(nursery, GATEWAYS, WORKERS)
        await network.start(limit_fleet.make_plan(TEAM))
        outcome = await limit_fleet.send_requests(
            network, TEAM.name, 3 * LIMIT.rate_per_s, 10.0, gateways=network.gateways[:2]
        )
        nursery.cancel_scope.cancel()
    assert len(outcome.admitted_s) >= 0.95 * (LIMIT.rate_per_s * 10.0 + LIMIT.burst)


# Guards against limits that operators lower far below what a team sends, and that bind late.
async def test_lowered_limit_binds_at_once(clock):
    low = token_bucket.RateLimit(2.0, 2.0)

    async def lower(network):
        await trio.sleep(6.0)
        network.set_plan(limit_fleet.make_plan(routes.Team("clinic", (), None, low), version=2))

    outcome, _ = await play(lower, per_s=30.0)
    late = limit_fleet.Outcome([at_s for at_s in outcome.admitted_s if at_s >= 6.5])
    assert late.most_in(WINDOW_S) <= allowed(low)


# Guards against refusals without a usable time after which to come back.
async def test_refusal_is_immediate_and_says_when_to_retry(clock):
    async with trio.open_nursery() as nursery:
        network = limit_fleet.Network(nursery, 2, 1)
        team = routes.Team("clinic", (), None, token_bucket.RateLimit(0.5, 1.0))
        await network.start(limit_fleet.make_plan(team))
        limits = network.vms["gateway-0"].limits
        await limits.admit(team)
        started_s = trio.current_time()
        with pytest.raises(errors.Refusal) as caught:
            await limits.admit(team)
        assert trio.current_time() - started_s < 0.05
        assert caught.value.code is errors.Code.RATE_LIMITED
        assert caught.value.retry_after_s == pytest.approx(2.0, abs=0.2)
        nursery.cancel_scope.cancel()


# Guards against a token that is lost with each request that no upstream could take.
async def test_token_of_a_request_that_was_not_sent_is_used_again(clock):
    async with trio.open_nursery() as nursery:
        network = limit_fleet.Network(nursery, 2, 1)
        team = routes.Team("clinic", (), None, token_bucket.RateLimit(0.1, 1.0))
        await network.start(limit_fleet.make_plan(team))
        limits = network.vms["gateway-0"].limits
        for _ in range(3):
            await limits.admit(team)
            limits.give_back(team)
        nursery.cancel_scope.cancel()


# Guards against messages that grow with teams x VMs: 85 teams that send about 110 requests/s.
async def test_messages_for_limits_stay_small(clock):
    async with trio.open_nursery() as nursery:
        network = limit_fleet.Network(nursery, GATEWAYS, WORKERS)
        names = [f"team-{n}" for n in range(85)]
        await network.start(
            limit_fleet.make_plan(*(routes.Team(name, (), None, LIMIT) for name in names))
        )
        async with trio.open_nursery() as senders:
            for seed, name in enumerate(names):
                senders.start_soon(limit_fleet.send_requests, network, name, 110 / 85, 10.0, seed)
        nursery.cancel_scope.cancel()
    assert max(network.sent_bytes.values()) / 10.0 < 2_000
