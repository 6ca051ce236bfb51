"""Two teams at gateways whose upstreams are busy."""

import itertools

import trio

from cornelgrade.platform.standins import edge_system
from cornelgrade.schema import codec, messages
from cornelgrade.services.edge import team_shares

TEAMS = ("hot", "calm")
GATEWAYS = 3
PLAY_S = 5.0
# A request takes 0.3 s in one of 16 slots, so that the upstreams serve 53 a second.
SERVED_PER_S = 53.0
CALM_PER_S = 13.0
HOT_PER_S = 150.0


async def start_teams(system):
    made = tuple(edge_system.make_team(name) for name in TEAMS)
    await system.plan(edge_system.make_plan(2, teams=made))
    await trio.sleep(0.3)


async def play(system, rates_per_s):
    """Call the gateways in turn for some seconds; return the last statuses by team.

    Callers try once more, at another gateway, after the time that a refusal names.
    """
    statuses = {team: [] for team in rates_per_s}

    async def call(team, number):
        key, path = edge_system.team_key(team), edge_system.RESUMABLE_PREFIX
        for attempt in range(2):
            gateway, request = f"gateway-{(number + attempt) % GATEWAYS}", f"{team}-{number}"
            got = await system.send_online(gateway, path, f"{request}-{attempt}", x_key=key)
            if got.status == 200:
                break
            await trio.sleep(float(got.headers["retry-after"]))
        statuses[team].append(got.status)

    async def call_on(nursery, team, per_s):
        with trio.move_on_after(PLAY_S):
            for number in itertools.count():
                nursery.start_soon(call, team, number)
                await trio.sleep(1 / per_s)

    async with trio.open_nursery() as nursery:
        for team, per_s in rates_per_s.items():
            nursery.start_soon(call_on, nursery, team, per_s)
    return statuses


def served_share(statuses):
    return statuses.count(200) / len(statuses)


# Guards against a team whose queue makes another team's requests wait until they are refused.
async def test_refusals_hit_the_hot_team_and_slots_stay_busy():
    options = {"gateways": GATEWAYS, "workers": 1, "engines": 2, "event_s": 0.06}
    async with edge_system.run_system(**options) as system:
        await start_teams(system)
        statuses = await play(system, {"hot": HOT_PER_S, "calm": CALM_PER_S})
        engines = system.engines.values()
        teams = [seen.team for eng in engines for seen in eng.seen if seen.ended]
    assert served_share(statuses["calm"]) > 0.95
    assert served_share(statuses["hot"]) < 0.6
    assert set(teams) == set(TEAMS)
    assert len(teams) > 0.7 * SERVED_PER_S * PLAY_S


# Guards against a datagram that is too large to be sent, and against teams lost on the way.
def test_uses_of_many_teams_fit_their_datagrams():
    teams = tuple(messages.TeamUse(2**32 - 1 - n, 3) for n in range(16))
    uses = [
        messages.UpstreamUse(f"upstream-{n:03d}", 48, teams=teams if n < 9 else (), over_share=())
        for n in range(24)
    ]
    sent = team_shares.split_uses(uses)
    assert [use for message in sent for use in message.uses] == uses
    for message in sent:
        datagram = messages.Datagram("gateway-1/worker", 1, 2, 3.0, message)
        raw = codec.encode(datagram)
        assert len(raw) < codec.MAX_DATAGRAM_BYTES - 100
        assert codec.decode(raw).body == message
    assert len(team_shares.split_uses(uses[9:])) == 1
