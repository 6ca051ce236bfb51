"""Teams in the stand-ins' plans and calls, which tests and the soak build on."""

from cornelgrade.platform import plans
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.policy import token_bucket


# Guards against stand-ins whose teams, keys or limits the programs would decode differently.
def test_encoded_teams_are_decoded_as_they_were():
    limit = token_bucket.RateLimit(5.0, 3.0)
    teams = (edge_system.make_team("a", rank=2), edge_system.make_team("b", rate_limit=limit))
    keys = {team.name: (edge_system.team_key(team.name),) for team in teams}
    plan = edge_system.make_plan(3, teams=teams)
    assert plans.decode(formats.encode_plan(plan, keys)).teams == teams
    assert plans.decode(formats.encode_plan(edge_system.make_plan(3))).teams is None


# Guards against requests that reach an engine without their team, with the key, or without a key.
async def test_engine_sees_the_team_and_never_the_key():
    async with edge_system.run_system(workers=1) as system:
        await system.plan(edge_system.make_plan(2, teams=(edge_system.make_team("a"),)))
        key = edge_system.team_key("a")
        while (await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r0")).status != 401:
            pass
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1", x_key=key)
        job = await system.submit("gateway-0", "job", {"item": b"note"}, key=key)
        results = []
        while not results:
            results = await system.results("gateway-0", "job", 0, key=key)
        seen = {req.request: req for req in system.engines["engine-0"].seen if req.team}
    assert (got.status, job.status) == (200, 202)
    assert set(seen) == {"r1", "item"} and {req.team for req in seen.values()} == {"a"}
    assert not any("x-key" in req.headers for req in seen.values())
