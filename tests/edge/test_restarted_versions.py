"""Engines that start again under their ids with another version, before they register again.

A stream or an item must not go on there with the events of the version that is registered.
"""

import dataclasses

import msgspec
import pytest
import trio
from tests.edge import stranded

from cornelgrade.adapters import engine
from cornelgrade.platform import calls
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.policy import software_versions
from cornelgrade.services.edge import (
    _response_relay,
    fleet,
    outage_checks,
    serving_start,
    stream_origins,
    upstream_loads,
)

EVENTS = 20
EVENT_S = 0.05
PATH = edge_system.RESUMABLE_PREFIX
DOWN_S = 0.1


async def start_engines(system):
    """Register the engines as version v1."""
    for number, eng in enumerate(system.engines.values()):
        eng.version, eng.tells_version, eng.started_ms = "v1", True, 1000
        await system.register(eng.upstream(edge_system.SERVICE, edge_system.DOMAINS[number % 3]))
    await trio.sleep(0.6)


async def restart_as(eng, version):
    """Let an engine come back under its id and address without a new registration."""
    eng.crash(DOWN_S)
    eng.version = version
    await trio.sleep(2 * DOWN_S)


async def wait_until_run(system, request):
    """Wait until an engine has written some events; return it and the others."""
    with trio.fail_after(5):
        while True:
            for eng in system.engines.values():
                if any(s.request == request and s.ran and not s.ended for s in eng.seen):
                    await trio.sleep(2 * EVENT_S)
                    return eng, [e for e in system.engines.values() if e is not eng]
            await trio.sleep(0.01)


async def run_stream(system, *, restarted, down_s=5.0):
    """Send a stream; within it, restart some other engines and then crash its own.

    :param restarted: number of the engines that come back as version v2 before.
    """
    received = []

    async def receive():
        received.append(await system.send_online("gateway-0", PATH, "r1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        running, others = await wait_until_run(system, "r1")
        for eng in others[:restarted]:
            await restart_as(eng, "v2")
        running.crash(down_s)
    return received[0]


def versions_of(got):
    return stream_engine.split_versions(got.body)[1]


def usable(system, node):
    found = system.nodes[node].kern.find("fleet", fleet.Fleet).usable_registrations()
    return {reg.upstream.name: reg.upstream for reg in found}


def run_engines(**options):
    return edge_system.run_system(events=EVENTS, event_s=EVENT_S, **options)


# Guards against a stream that goes on at an engine whose registration is of an earlier start.
async def test_stream_does_not_go_on_at_another_version():
    async with run_engines(engines=3) as system:
        await start_engines(system)
        got = await run_stream(system, restarted=2)
    assert versions_of(got) == {"v1"}
    assert not got.complete


# Guards against a load report without a start that confirms the registered one.
async def test_report_without_a_start_confirms_none(monkeypatch):
    parse_load = calls.CallFormat.parse_load

    def parse_without_start(self, body):
        return msgspec.structs.replace(parse_load(self, body), started_ms=0)

    monkeypatch.setattr(calls.CallFormat, "parse_load", parse_without_start)
    async with run_engines(engines=2) as system:
        await start_engines(system)
        got = await run_stream(system, restarted=1)
        up = usable(system, "gateway-0")["engine-0"]
        kern = system.nodes["gateway-0"].kern
        assert not await kern.find("outage_checks", outage_checks.OutageChecks).is_running(up)
        seen = [s for eng in system.engines.values() for s in eng.seen]
        assert not any(s.ran for s in seen if s.resumed_after)
    assert (got.complete, versions_of(got), up.restarted) == (False, {"v1"}, False)


# Guards against breaking off a stream that an engine of its version can go on with.
async def test_stream_goes_on_at_its_version():
    async with run_engines(engines=3) as system:
        await start_engines(system)
        got = await run_stream(system, restarted=1)
    body, versions = stream_engine.split_versions(got.body)
    assert (got.complete, versions) == (True, {"v1"})
    assert body == stream_engine.response_body("r1", EVENTS)


# Guards against the same where the caller takes its stream up, at its gateway or at another one.
@pytest.mark.parametrize("gateway", ["gateway-0", "gateway-1"])
async def test_stream_that_is_taken_up_does_not_go_on_at_another_version(gateway):
    async with run_engines(gateways=2, engines=2) as system:
        await start_engines(system)
        await system.send_online("gateway-0", PATH, "r1")
        for eng in system.engines.values():
            await restart_as(eng, "v2")
        got = await system.send_online(gateway, PATH, "r2", resumes="r1", last_event_id="5")
    assert got.status != 200


# Guards against counting a check that failed as a run of the stream.
async def test_stream_whose_version_cannot_be_checked_is_refused_as_not_run(monkeypatch):
    async with run_engines(engines=1) as system:
        await start_engines(system)
        await system.send_online("gateway-0", PATH, "r1")

        async def fail(*args):
            raise engine.CallError("lost", step="", peer="", progress=engine.Progress.SENT)

        monkeypatch.setattr(upstream_loads, "fetch_load", fail)
        got = await system.send_online("gateway-0", PATH, "r2", resumes="r1", last_event_id="5")
        assert not [s for eng in system.engines.values() for s in eng.seen if s.request == "r2"]
    assert got.status == 503


# Guards against the same through a peer.
async def test_stream_through_a_peer_does_not_go_on_at_another_version(monkeypatch):
    async with run_engines(gateways=2, engines=3) as system:
        await start_engines(system)
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            with trio.fail_after(10):
                while (await system.send_online("gateway-0", PATH, "before")).status != 200:
                    await trio.sleep(0.05)
            got = await run_stream(system, restarted=2)
    assert versions_of(got) == {"v1"}
    assert not got.complete


# Guards against results that hold events of two versions.
async def test_item_does_not_go_on_at_another_version():
    async with run_engines(workers=1, engines=2) as system:
        await start_engines(system)
        await system.submit("gateway-0", "job", {"item-0": b"note"})
        running, others = await wait_until_run(system, "item-0")
        for eng in (*others, running):
            await restart_as(eng, "v2")
        results = []
        with trio.fail_after(20):
            while not results:
                results = await system.results("gateway-0", "job", 0)
        runs = [
            seen.resumed_after
            for eng in system.engines.values()
            for seen in eng.seen
            if seen.request == "item-0"
        ]
    assert results == [("item-0", stream_engine.result_text("item-0", EVENTS))]
    assert runs.count(None) == len(runs) == 2


# A stream that begins before the new version is registered goes on once it is.
async def test_stream_of_a_version_that_was_unknown_goes_on_when_it_is_registered():
    async with run_engines(engines=1) as system:
        await start_engines(system)
        eng = system.engines["engine-0"]
        eng.version = "v2"
        assert not (await run_stream(system, restarted=0, down_s=DOWN_S)).complete
        with trio.fail_after(5):
            while not usable(system, "gateway-0")["engine-0"].restarted:
                await trio.sleep(0.02)
        assert (await system.send_online("gateway-0", PATH, "r2")).complete
        await system.register(eng.upstream(edge_system.SERVICE, "north"))
        with trio.fail_after(5):
            while usable(system, "gateway-0")["engine-0"].restarted:
                await trio.sleep(0.02)
        got = await system.send_online("gateway-0", PATH, "r3", resumes="r2", last_event_id="5")
    assert (got.status, versions_of(got)) == (200, {"v2"})


# Guards against the events of two versions in a stream that began at a restart which no call of
# its gateway met.
async def test_stream_that_began_after_an_unnoticed_restart_does_not_go_on_elsewhere():
    async with run_engines(engines=2) as system:
        await start_engines(system)
        restarted, other = system.engines.values()
        await restart_as(restarted, "v2")
        other.faults = stream_engine.Faults(decline=True)
        received = []

        async def receive():
            received.append(await system.send_online("gateway-0", PATH, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            running, _ = await wait_until_run(system, "r1")
            other.faults = stream_engine.Faults()
            running.crash(5.0)
    (got,) = received
    assert versions_of(got) == {"v2"}


# Guards against a gateway that takes the only registered version for the origin of a stream, though
# the gateway at which it began knows that another start served it.
@pytest.mark.parametrize("stopped", [False, True])
async def test_stream_of_an_unregistered_start_is_not_taken_up_at_another_gateway(
    monkeypatch, stopped
):
    # A gateway that has followed registrations for so long knows all versions.
    monkeypatch.setattr(software_versions, "STREAM_LIFETIME_S", 3.0)
    async with run_engines(engines=2, gateways=3) as system:
        await start_engines(system)
        await trio.sleep(3.0)
        # News, upon which versions of longer ago are forgotten.
        await start_engines(system)
        restarted, other = system.engines.values()
        await restart_as(restarted, "v2")
        other.faults = stream_engine.Faults(decline=True)
        got = await system.send_online("gateway-0", PATH, "r1")
        other.faults = stream_engine.Faults()
        restarted.crash(5.0)
        if stopped:
            system.nodes["gateway-0"].scope.cancel()
        taken = await system.send_online("gateway-1", PATH, "r2", resumes="r1", last_event_id="5")
    assert versions_of(got) == {"v2"}
    assert taken.status != 200 or versions_of(taken) <= {"v2"}


# Guards against the same after the gateway was killed before the upstream had confirmed its start.
async def test_stream_of_an_unconfirmed_start_is_not_taken_up_after_its_gateway(monkeypatch):
    monkeypatch.setattr(software_versions, "STREAM_LIFETIME_S", 3.0)
    async with run_engines(engines=2, gateways=3) as system:
        await start_engines(system)
        await trio.sleep(3.0)
        await start_engines(system)
        restarted, other = system.engines.values()
        await restart_as(restarted, "v2")
        other.faults = stream_engine.Faults(decline=True)
        killed = trio.Event()
        fetch_load = upstream_loads.fetch_load

        async def fetch_late(*args):
            await killed.wait()
            return await fetch_load(*args)

        monkeypatch.setattr(upstream_loads, "fetch_load", fetch_late)
        received = []

        async def receive():
            received.append(await system.send_online("gateway-0", PATH, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await wait_until_run(system, "r1")
            await trio.sleep(serving_start.CONFIRM_WAIT_S + 2 * EVENT_S)
            system.nodes["gateway-0"].scope.cancel()
        killed.set()
        other.faults = stream_engine.Faults()
        restarted.crash(5.0)
        (got,) = received
        taken = await system.send_online("gateway-1", PATH, "r2", resumes="r1", last_event_id="2")
    assert versions_of(got) == {"v2"}
    assert taken.status != 200 or versions_of(taken) <= {"v2"}


# Guards against a stream that can't be taken up because the datagram that confirmed its origin was
# lost on the way to a holder, though the gateway at which it began knows it.
async def test_stream_is_taken_up_where_its_origin_is_known_as_unconfirmed():
    async with run_engines(engines=2, gateways=2) as system:
        await start_engines(system)
        await system.send_online("gateway-0", PATH, "r1")
        holder = system.nodes["gateway-1"].kern.find("stream_origins", stream_origins.StreamOrigins)
        unconfirmed = software_versions.unconfirmed_origin(usable(system, "gateway-0")["engine-0"])
        holder._remember(stream_origins.hash_request_id("r1"), unconfirmed, own=False)
        taken = await system.send_online("gateway-1", PATH, "r2", resumes="r1", last_event_id="5")
    assert taken.status == 200


# Guards against a stream that ends although its start was confirmed while it ran, because the next
# start reports itself before the gateway has handled the break, as behind a slow caller.
@pytest.mark.parametrize("version", ["v1", "v2"])
async def test_stream_whose_start_was_confirmed_goes_on_after_a_late_break(monkeypatch, version):
    slow = trio.Event()
    write_part = _response_relay.ResponseRelay._write_part

    async def write_slowly(req, progress, head, part):
        await write_part(req, progress, head, part)
        if progress.last_event == 6:
            await slow.wait()

    monkeypatch.setattr(_response_relay.ResponseRelay, "_write_part", staticmethod(write_slowly))
    async with run_engines(engines=2) as system:
        await start_engines(system)
        received = []

        async def receive():
            received.append(await system.send_online("gateway-0", PATH, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            running, _ = await wait_until_run(system, "r1")
            await trio.sleep(8 * EVENT_S)
            kern = system.nodes["gateway-0"].kern
            registered = kern.find("fleet", fleet.Fleet)
            running.crash(0.05)
            running.version = version
            await trio.sleep(0.2)
            checks = kern.find("outage_checks", outage_checks.OutageChecks)
            await checks.find_outage(registered.find_upstream(running.name))
            slow.set()
    (got,) = received
    body, versions = stream_engine.split_versions(got.body)
    assert (got.complete, versions) == (True, {"v1"})
    assert body == stream_engine.response_body("r1", EVENTS)


async def run_stream_from_unnoticed_start(system, *, register_s):
    """Send a stream to an engine that came back as version v2, and crash the engine in the end.

    :param register_s: how long after the first events the engine registers its version.
    """
    restarted, other = system.engines.values()
    await restart_as(restarted, "v2")
    other.faults = stream_engine.Faults(decline=True)
    received = []

    async def receive():
        received.append(await system.send_online("gateway-0", PATH, "r1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive)
        running, _ = await wait_until_run(system, "r1")
        await trio.sleep(register_s)
        await system.register(running.upstream(edge_system.SERVICE, "north"))
        with trio.fail_after(5):
            while usable(system, "gateway-0")[running.name].version != "v2":
                await trio.sleep(0.01)
        await trio.sleep(2 * EVENT_S)
        other.faults = stream_engine.Faults()
        running.crash(5.0)
    return received[0]


# Guards against a stream that goes on at the version that its upstream had when it was chosen,
# although the registration of its next start arrived while the stream ran.
async def test_stream_that_ran_when_its_version_was_registered_does_not_go_on_at_another():
    async with run_engines(engines=2) as system:
        await start_engines(system)
        got = await run_stream_from_unnoticed_start(system, register_s=0.05)
    assert versions_of(got) == {"v2"}


# Guards against the same where the caller takes the stream up.
@pytest.mark.parametrize("gateway", ["gateway-0", "gateway-1"])
async def test_stream_that_ran_when_its_version_was_registered_is_not_taken_up_at_another(gateway):
    async with run_engines(engines=2, gateways=2) as system:
        await start_engines(system)
        got = await run_stream_from_unnoticed_start(system, register_s=0.05)
        last_event = len(stream_engine.split_versions(got.body)[0].split(b"\n\n")) - 1
        taken = await system.send_online(
            gateway, PATH, "r2", resumes="r1", last_event_id=str(last_event)
        )
    assert versions_of(got) == {"v2"}
    assert taken.status != 200 or versions_of(taken) <= {"v2"}


# Guards against a gateway that takes a stream up at the version which its peer had registered when
# the response began, although the next start of the upstream served it.
async def test_gateway_learns_which_start_served_a_stream_that_it_forwarded(monkeypatch):
    async with run_engines(gateways=2, engines=2) as system:
        await start_engines(system)
        restarted, other = system.engines.values()
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            with trio.fail_after(10):
                while (await system.send_online("gateway-0", PATH, "before")).status != 200:
                    await trio.sleep(0.05)
            await restart_as(restarted, "v2")
            other.faults = stream_engine.Faults(decline=True)
            got = await system.send_online("gateway-0", PATH, "r1")
            kern = system.nodes["gateway-0"].kern
            origins = kern.find("stream_origins", stream_origins.StreamOrigins)
            route = edge_system.make_plan().routes[1]
            origin = await origins.find("r1", route)
    assert versions_of(got) == {"v2"}
    assert origin.version == f"{restarted.name} started {restarted.started_ms}"


# Guards against items that hold events of two versions for the same reason.
async def test_item_that_ran_when_its_version_was_registered_does_not_go_on_at_another():
    async with run_engines(workers=1, engines=2) as system:
        await start_engines(system)
        restarted, other = system.engines.values()
        other.faults = stream_engine.Faults(decline=True)
        await restart_as(restarted, "v2")
        await system.submit("gateway-0", "job", {"item-0": b"note"})
        running, _ = await wait_until_run(system, "item-0")
        await system.register(running.upstream(edge_system.SERVICE, "north"))
        with trio.fail_after(5):
            while usable(system, "worker-0")[running.name].version != "v2":
                await trio.sleep(0.01)
        other.faults = stream_engine.Faults()
        running.crash(5.0)
        with trio.fail_after(20):
            while not await system.results("gateway-0", "job", 0):
                await trio.sleep(0.05)
        runs = [s.resumed_after for s in other.seen if s.request == "item-0" and s.ran]
    assert runs == [None]


# Guards against events of a start that came up between the check of its upstream and the run there.
async def test_run_that_goes_on_passes_nothing_of_a_start_that_was_not_checked(monkeypatch):
    async def pass_check(self, up):
        pass

    monkeypatch.setattr(outage_checks.OutageChecks, "check_version", pass_check)
    async with run_engines(engines=2) as system:
        await start_engines(system)
        got = await run_stream(system, restarted=1)
    assert versions_of(got) == {"v1"}
    assert not got.complete


# Guards against ending a run that goes on with a stream because one load report is lost.
@pytest.mark.parametrize("lost", [1, 2])
async def test_run_goes_on_after_a_lost_report(monkeypatch, lost):
    asked = []
    fetch_load = outage_checks.OutageChecks._fetch_load

    async def lose_one(self, up):
        asked.append(up)
        if len(asked) == lost:
            raise engine.CallError("lost", step="", peer="", progress=engine.Progress.SENT)
        return await fetch_load(self, up)

    async with run_engines(engines=1) as system:
        await start_engines(system)
        await system.send_online("gateway-0", PATH, "r1")
        monkeypatch.setattr(outage_checks.OutageChecks, "_fetch_load", lose_one)
        got = await system.send_online("gateway-0", PATH, "r2", resumes="r1", last_event_id="5")
    runs = [s for s in system.engines["engine-0"].seen if s.request == "r2" and s.ran]
    assert (got.status, got.complete, len(runs)) == (200, True, 1)
    assert len(asked) > lost


# Guards against a question that ends before the newest connection to an upstream is confirmed,
# since a task with an older one, or one to another start, has asked meanwhile.
async def test_each_connection_is_confirmed_by_a_report_of_its_own_time(monkeypatch):
    async with run_engines(engines=1) as system:
        await start_engines(system)
        kern = system.nodes["gateway-0"].kern
        checks = kern.find("outage_checks", outage_checks.OutageChecks)
        registered = kern.find("fleet", fleet.Fleet)
        up = usable(system, "gateway-0")["engine-0"]
        fetch_load = upstream_loads.fetch_load

        async def fetch_late(call_format, up, recorder):
            load = await fetch_load(call_format, up, recorder)
            await trio.sleep(0.05)
            return load

        monkeypatch.setattr(outage_checks.upstream_loads, "fetch_load", fetch_late)
        since_s = trio.current_time()
        checks.confirm_soon(up, since_s)
        await trio.sleep(0.03)
        latest_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checks.confirm, up, latest_s, 1.0)
            await trio.sleep(0.01)
            checks.confirm_soon(dataclasses.replace(up, started_ms=999), since_s)
            checks.confirm_soon(up, since_s)
        assert registered.has_reported(up, latest_s)


# Guards against believing a reply to a question for the last events from an upstream that was
# restarted before it, and whose stream there ends at the same event.
async def test_reply_of_another_start_does_not_end_a_stream():
    async with run_engines(engines=1) as system:
        await start_engines(system)
        (eng,) = system.engines.values()
        answer = eng._answer

        async def restart_before_question(req, seen):
            earlier = [s for s in eng.seen if s.request == seen.request and s is not seen]
            if earlier and seen.resumed_after is None:
                eng.started_ms, eng.version, eng.events = 2000, "v2", 2
            eng.faults = stream_engine.Faults(
                unframed=not earlier,
                close_after=None if earlier else 2,
                end_before_events_if_resumed=True,
            )
            await answer(req, seen)

        eng._answer = restart_before_question
        got = await system.send_online("gateway-0", PATH, "r1")
        asked = [seen.resumed_after for seen in eng.seen if seen.request == "r1"]
    assert asked[:3] == [None, 2, None]
    assert not got.complete
    assert versions_of(got) == {"v1"}


# Guards against an item that goes on at the registered version of an upstream whose start nobody
# has confirmed.
async def test_item_of_a_start_that_was_not_confirmed_starts_anew(monkeypatch):
    async with run_engines(workers=1, engines=2) as system:
        await start_engines(system)
        restarted, other = system.engines.values()
        fetch_load = upstream_loads.fetch_load

        async def fetch_of_other(call_format, up, recorder):
            if up.name == restarted.name:
                raise engine.CallError("lost", step="", peer="", progress=engine.Progress.NOT_SENT)
            return await fetch_load(call_format, up, recorder)

        monkeypatch.setattr(upstream_loads, "fetch_load", fetch_of_other)
        other.faults = stream_engine.Faults(decline=True)
        await restart_as(restarted, "v2")
        await system.submit("gateway-0", "job", {"item-0": b"note"})
        running, _ = await wait_until_run(system, "item-0")
        other.faults = stream_engine.Faults()
        running.crash(5.0)
        with trio.fail_after(20):
            while not await system.results("gateway-0", "job", 0):
                await trio.sleep(0.05)
        runs = [s.resumed_after for s in other.seen if s.request == "item-0" and s.ran]
    assert running is restarted
    assert runs == [None]
