"""Evidence on the parts of prompts that requests share, on both sides of the rule."""

import random

import pytest
import trio
from tests.services import test_quarantine

from cornelgrade.adapters import engine
from cornelgrade.policy import quarantine as rules
from cornelgrade.policy import request_traits
from cornelgrade.services import _item_call, job_records, ports

alone, fleet = test_quarantine.alone, test_quarantine.fleet
VMS = ("one", "two", "three")
FIRST, PART, LAST = b"first", b"crashing", b"last"
# The operators' limit: three runs later than 3 s after the fifth crash.
CRASHES, SPREAD_S, MAX_LATE_RUNS = 5, 3, 3
CONDEMNED = ports.Verdict.CONDEMNED


def make_request(number, *parts):
    return request_traits.fingerprint("/x", f"text {number}".encode(), parts)


async def crash(service, number, *requests):
    for request in requests:
        await service.wait_verdict(request)
    service.report_crash(f"engine-{number}", requests)
    await trio.sleep(1.0)


# Guards against a part that is never blamed because no two requests with it are alike.
async def test_part_is_quarantined_within_five_crashes_of_different_texts(autojump_clock, alone):
    for number in range(4):
        request = make_request(number, FIRST, PART)
        assert await alone.wait_verdict(request) is not CONDEMNED
        await crash(alone, number, request)
        alone.report_completion(make_request(f"sound {number}", FIRST))
    assert await alone.wait_verdict(make_request("next", FIRST, PART)) is CONDEMNED
    assert await alone.wait_verdict(make_request("sound", FIRST)) is ports.Verdict.CLEAR


# Guards against blaming what more requests share, if nothing has completed yet.
async def test_of_parts_that_always_come_together_the_later_one_is_blamed(autojump_clock, alone):
    for number in range(8):
        request = make_request(number, FIRST, PART)
        if await alone.wait_verdict(request) is not CONDEMNED:
            await crash(alone, number, request)
    assert await alone.wait_verdict(make_request("next", FIRST, PART)) is CONDEMNED
    assert await alone.wait_verdict(make_request("sound", FIRST)) is not CONDEMNED


# Guards against blaming parts for a text that crashes engines by itself.
async def test_parts_of_a_crashing_text_stay_usable(autojump_clock, alone):
    text = make_request("bad", FIRST, PART)
    for number in range(8):
        if await alone.wait_verdict(text) is not CONDEMNED:
            await crash(alone, number, text)
    assert await alone.wait_verdict(text) is CONDEMNED
    assert await alone.wait_verdict(make_request("sound", FIRST, PART)) is not CONDEMNED


# Guards against a popular part that is in flight at each crash, whichever request causes it.
async def test_popular_part_stays_clear_while_its_requests_complete(autojump_clock, alone):
    for number in range(40):
        requests = [make_request(f"{number} {n}", FIRST, PART) for n in range(3)]
        await crash(alone, number, *requests)
        if number % 3 == 0:
            alone.report_completion(make_request(f"done {number}", FIRST, PART))
        assert await alone.wait_verdict(make_request("next", FIRST, PART)) is not CONDEMNED


# Guards against a blamed part that its own completions don't clear, at each VM.
async def test_completion_of_any_request_with_a_part_releases_it(autojump_clock, fleet):
    for number in range(6):
        await crash(fleet["one"], number, make_request(number, FIRST, PART))
    request = make_request("next", FIRST, PART)
    assert [await fleet[vm].wait_verdict(request) for vm in VMS] == [CONDEMNED] * 3
    fleet["three"].report_completion(make_request("was in flight", FIRST, PART))
    await trio.sleep(0.5)
    assert CONDEMNED not in [await fleet[vm].wait_verdict(request) for vm in VMS]


# Guards against neighbours that stay suspects of crashes which a quarantined part explains.
async def test_neighbours_of_explained_crashes_are_clear(autojump_clock, alone):
    neighbour = make_request("neighbour", FIRST)
    await crash(alone, 0, make_request(0, FIRST, PART), neighbour)
    assert alone.is_suspect(neighbour)
    for number in range(1, 6):
        await crash(alone, number, make_request(number, FIRST, PART))
    assert await alone.wait_verdict(make_request("next", FIRST, PART)) is CONDEMNED
    assert not alone.is_suspect(neighbour)


# Guards against items that all start at the end of the pause of a part that they share.
async def test_items_with_a_quarantined_part_run_one_at_a_time(autojump_clock, alone):
    for number in range(6):
        await crash(alone, number, make_request(number, FIRST, PART))
    items = [make_request(f"item {number}", FIRST, PART) for number in range(4)]
    assert not any(alone.item_may_run(item) for item in items)
    await trio.sleep(rules.PROBATION_S)
    assert all(alone.item_may_run(item) for item in items)
    alone.start_item(items[0])
    assert not any(alone.item_may_run(item) for item in items[1:])


# Guards against evidence that several VMs hold in pieces, and against blame for neighbours.
@pytest.mark.parametrize("seed", range(20))
async def test_crashing_part_is_stopped_and_sound_requests_are_served(autojump_clock, fleet, seed):
    """Requests of three VMs come to six engines; those with one part crash each engine."""
    rng = random.Random(seed)
    run_at, refused = [], []
    for second in range(20):
        placed = {f"engine-{number}": [] for number in range(6)}
        for number in range(12):
            rare = b"rare %d" % rng.randrange(8)
            bad = number < 2
            parts = (FIRST, PART, rare) if bad else (FIRST, rare)
            request = make_request(f"{second} {number}", *parts)
            vm = rng.choice(VMS)
            if await fleet[vm].wait_verdict(request) is CONDEMNED:
                refused.append(bad)
                continue
            run_at += [second] if bad else []
            placed[rng.choice(sorted(placed))].append((vm, request, bad))
        for engine_name, running in placed.items():
            crashed = any(bad for _, _, bad in running)
            for vm in VMS:
                requests = tuple(request for at, request, _ in running if at == vm)
                if crashed and requests:
                    fleet[vm].report_crash(f"{engine_name} {second}", requests)
                for request in () if crashed else requests:
                    fleet[vm].report_completion(request)
        await trio.sleep(1.0)
    assert sum(at > run_at[CRASHES - 1] + SPREAD_S for at in run_at[CRASHES:]) <= MAX_LATE_RUNS
    assert refused.count(False) <= 12


def test_messages_but_the_last_are_the_parts_of_a_chat():
    bodies = [
        b'{"messages": [{"content": "you help nurses"}, {"content": "%s"}]}' % text
        for text in (b"one", b"two")
    ]
    online, item = (
        request_traits.fingerprint("/v1/chat", body, engine.list_shared_messages(body))
        for body in bodies
    )
    assert online != item
    assert online.parts == item.parts != ()
    job_item = job_records.Item("i", "/v1/chat", bodies[0])
    assert _item_call.fingerprint(job_item).parts == online.parts
    assert engine.list_shared_messages(b'{"prompt": "x"}') == ()
    assert engine.list_shared_messages(b"no json") == ()


# Guards against shared parts that hide a text which crashes engines, alone or beside a bad part.
@pytest.mark.parametrize("bad_part", [False, True])
@pytest.mark.parametrize("seed", range(20))
async def test_crashing_text_is_stopped_beside_shared_parts(autojump_clock, fleet, seed, bad_part):
    """One text comes each second and crashes engines, in some cases beside the crashing part."""
    rng = random.Random(seed)
    text = make_request("bad", FIRST, b"rare 0")
    run_at = []
    for second in range(20):
        placed = {f"engine-{number}": [] for number in range(6)}
        requests = [text] if second % 2 else [text, text]
        requests += [make_request(f"p {second}", FIRST, PART)] if bad_part else []
        requests += [make_request(f"{second} {n}", FIRST, b"rare %d" % n) for n in range(8)]
        for request in requests:
            vm = rng.choice(VMS)
            if await fleet[vm].wait_verdict(request) is CONDEMNED:
                continue
            run_at += [second] if request == text else []
            placed[rng.choice(sorted(placed))].append((vm, request))
        for engine_name, running in placed.items():
            bad = (text, make_request(f"p {second}", FIRST, PART))
            crashed = any(request in bad for _, request in running)
            for vm in VMS:
                requests = tuple(request for at, request in running if at == vm)
                if crashed and requests:
                    fleet[vm].report_crash(f"{engine_name} {second}", requests)
                for request in () if crashed else requests:
                    fleet[vm].report_completion(request)
        await trio.sleep(1.0)
    assert sum(at > run_at[2] + SPREAD_S for at in run_at[3:]) <= MAX_LATE_RUNS
