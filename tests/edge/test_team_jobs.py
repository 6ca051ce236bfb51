"""Jobs of several teams: waiting tokens, shares of the slots and items that fail at each run."""

import time

import msgspec
import pytest
import trio

from cornelgrade.platform.standins import edge_system, formats, stream_engine
from cornelgrade.services.edge import job_repository, waiting_tokens

MAX_ATTEMPTS = 3  # of the batch route in edge_system.make_plan
KEYS = {name: edge_system.team_key(name) for name in ("a", "b")}


async def start_teams(system, **terms):
    teams = tuple(edge_system.make_team(name) for name in KEYS)
    await system.plan(edge_system.make_plan(2, teams=teams, **terms))
    await trio.sleep(0.3)


async def submit(system, team, job, count, *, gateway="gateway-0", body=b"note", **more):
    items = {f"{job}-{number}": body for number in range(count)}
    return (await system.submit(gateway, job, items, key=KEYS[team], **more)).status


async def read_ends(system, team, job, count):
    """Return how each item of a job ended and when, once all have."""
    ends = {}
    with trio.fail_after(30):
        while len(ends) < count:
            headers = formats.wait_headers(1.0) | formats.key_headers(KEYS[team])
            target = formats.job_target(job, len(ends))
            got = await system.send("gateway-0", "GET", target, headers)
            for item, end, _ in formats.decode_results(got.body):
                ends[item] = (end, trio.current_time())
    return ends


# Guards against a team whose tokens use up the limit of another one.
async def test_waiting_tokens_are_limited_for_each_team():
    async with edge_system.run_system() as system:
        await start_teams(system, waiting_tokens=250)
        statuses = [await submit(system, "a", f"a-{n}", 1) for n in range(3)]
        other = [await submit(system, "b", f"b-{n}", 1) for n in range(3)]
    assert statuses == other == [202, 202, 429]


# Guards against tokens of finished items that count until their whole job closes.
async def test_tokens_of_finished_items_make_room_while_their_job_is_open():
    # Four slots run the 12 items in three turns of 1.5 s.
    async with edge_system.run_system(workers=2, slots=4, event_s=0.3) as system:
        await start_teams(system, waiting_tokens=1200)
        assert await submit(system, "a", "job", 12) == 202
        assert await submit(system, "a", "next", 3) == 429
        with trio.fail_after(10):
            while await submit(system, "a", "next", 3) != 202:
                await trio.sleep(0.1)
        repository = job_repository.JobRepository(system.store, 100_000)
        assert (await repository.find_job("job")).header.state == "open"


# Guards against submissions at several gateways at once, some of them repeated, that exceed the
# limit by more than a tenth.
@pytest.mark.parametrize("tokens", [20, 100, 300])
@pytest.mark.parametrize("slow_s", [0.0, 0.2])
async def test_concurrent_and_repeated_jobs_stay_within_the_limit(tokens, slow_s):
    limit = 1000
    async with edge_system.run_system(gateways=3) as system:
        await start_teams(system, waiting_tokens=limit)
        system.store.switches = edge_system.platform_store.Switches(
            slow_s=slow_s, writes_per_s=0, reads_per_s=0
        )
        accepted = {}

        async def send(number):
            # Jobs of different sizes, each submitted at two gateways, and again after a refusal.
            job, count = f"job-{number // 2}", 1 + 2 * (number // 2 % 2)
            for attempt in range(2):
                gateway = f"gateway-{(number + attempt) % 3}"
                status = await submit(system, "a", job, count, gateway=gateway, tokens=tokens)
                if status == 202:
                    accepted[job] = count * tokens
                    return

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(send, number)
    assert 0.6 * limit <= sum(accepted.values()) <= 1.1 * limit


# Guards against a position that a second submission of the same job moves, and against a
# reservation that others have ceased to count.
def test_reservations_keep_their_positions_until_they_expire():
    now_ms = int(time.time() * 1000)

    def stored(job, version, state="reserved", age_s=0.0):
        times = (now_ms - 60_000, now_ms, now_ms)
        header = job_repository.JobHeader(job, "r", "h", *times, 1, 100, 0, state, "a")
        reserved_ms = now_ms - int(age_s * 1000)
        return job_repository.StoredHeader(
            msgspec.structs.replace(header, reserved_ms=reserved_ms), version
        )

    mine = stored("mine", 5)
    found = [
        mine,
        stored("earlier", 4),
        stored("later", 6),
        stored("accepted", 7, "open"),
        stored("expired", 3, age_s=waiting_tokens.RESERVATION_TTL_S),
        stored("declined", 2, "declined"),
    ]
    before = waiting_tokens.list_before(found, mine)
    assert waiting_tokens.count_waiting(before, mine.header, now_ms, per_team=True) == 200


# Guards against a team with many jobs whose items go before those of another team's only job.
async def test_team_with_many_jobs_does_not_delay_another_teams_job():
    async with edge_system.run_system(workers=2, engines=2, event_s=0.08) as system:
        await start_teams(system)
        for number in range(12):
            assert await submit(system, "a", f"many-{number}", 10) == 202
        await trio.sleep(0.8)
        assert await submit(system, "b", "few", 4) == 202
        await read_ends(system, "b", "few", 4)
        done = [seen for eng in system.engines.values() for seen in eng.seen if seen.ended]
        others = sum(seen.team == "a" for seen in done)
    # All 120 items of team a would run first in the order of due times.
    assert others < 80


# Guards against an item that fails at each run and takes more runs than its route allows, or slots
# from the other items of its job, from other jobs and teams, and from online requests.
async def test_item_that_always_fails_costs_its_attempts_and_delays_nothing():
    async with edge_system.run_system(workers=2, engines=2, event_s=0.05) as system:
        await start_teams(system)
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults(fail=500, fail_on=b"bad")
        bad = {f"bad-{number}": b"bad" for number in range(6)}
        good = {f"good-{number}": b"note" for number in range(6)}
        started_s = trio.current_time()
        await system.submit("gateway-0", "mixed", bad | good, key=KEYS["a"])
        assert await submit(system, "a", "same-team", 6) == 202
        assert await submit(system, "b", "other-team", 6) == 202
        online = [
            await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{n}", x_key=KEYS["b"])
            for n in range(5)
        ]
        mixed = await read_ends(system, "a", "mixed", 12)
        ends = {
            **mixed,
            **await read_ends(system, "a", "same-team", 6),
            **await read_ends(system, "b", "other-team", 6),
        }
        ran = [req for eng in system.engines.values() for req in eng.seen if req.ran]
        # An item that gives way to an online request has not failed.
        seen = [req.request for req in ran if not req.cancelled]
    assert {got.status for got in online} == {200}
    assert [seen.count(name) for name in bad] == [MAX_ATTEMPTS] * 6
    assert {ends[name][0] for name in bad} == {"dead_letter"}
    assert {end for name, (end, _) in ends.items() if name not in bad} == {"completed"}
    # A run takes 0.25 s; all 18 good items fit into the 16 slots within two of them.
    good_s = max(mixed[name][1] for name in good) - started_s
    bad_s = max(mixed[name][1] for name in bad) - started_s
    assert good_s < bad_s and good_s < 4.0
