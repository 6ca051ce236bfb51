"""Streams that are taken up where nobody says what began them."""

import pytest
import trio

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.policy import software_versions
from cornelgrade.schema import messages
from cornelgrade.services.edge import fleet, peers, stream_origins

OLD, NEW = "v1", "v2"
PATH = edge_system.RESUMABLE_PREFIX
SENT = 2  # events before a stream breaks


@pytest.fixture
def lost_origins(monkeypatch):
    """Lose all datagrams that tell what began a stream."""
    send = peers.Peers.send

    def lose(self, vm, body):
        if not isinstance(body, messages.StreamOrigins):
            send(self, vm, body)

    monkeypatch.setattr(peers.Peers, "send", lose)


async def start_engine(system, name, version, started_ms):
    eng = await system.start_engine(name, "north", version=version)
    eng.tells_version, eng.started_ms = True, started_ms
    await system.register(eng.upstream(edge_system.SERVICE, "north"))
    return eng


async def cut_off(system, gateway):
    """Cut a gateway off from the store, and wait until it knows."""
    node = system.nodes[gateway]
    node.store.silent = True
    origins = node.kern.find("stream_origins", stream_origins.StreamOrigins)
    with trio.fail_after(10):
        while not origins._availability.unavailable:
            await trio.sleep(0.05)


async def take_up_cut_stream(system, old):
    """Begin a stream at the new version, and take it up at another gateway."""
    new = await start_engine(system, "new", NEW, 2000)
    await trio.sleep(0.6)
    new.faults = stream_engine.Faults(cut_after=SENT)
    old.faults = stream_engine.Faults(decline=True)
    got = await system.send_online("gateway-0", PATH, "r1")
    assert stream_engine.split_versions(got.body)[1] == {NEW}
    old.faults = new.faults = stream_engine.Faults()
    return await system.send_online("gateway-1", PATH, "r2", resumes="r1", last_event_id=str(SENT))


# Guards against a gateway that is cut off from the store and takes the only version that it knows
# for the one that began a stream, because the replies of those who know better are lost.
async def test_stream_is_refused_without_store_and_replies(lost_origins):
    async with edge_system.run_system(gateways=2, engines=0) as system:
        old = await start_engine(system, "old", OLD, 1000)
        await trio.sleep(0.6)
        await cut_off(system, "gateway-1")
        got = await take_up_cut_stream(system, old)
    assert (got.status, got.body) == (503, b"")
    assert "retry-after" in got.headers
    assert all(seen.request != "r2" for seen in old.seen)


# Guards against the same at a gateway that was frozen, and reads the registrations that it missed
# only after it has begun to ask others.
async def test_stream_is_refused_if_a_version_appears_while_others_are_asked(
    lost_origins, monkeypatch
):
    ask = stream_origins.StreamOrigins._ask

    async def ask_meanwhile(self, *args, **kwargs):
        found = await ask(self, *args, **kwargs)
        node.store.loses_watches = False
        self._availability.restart_watches()
        with trio.fail_after(5):
            while self._fleet.find_upstream("new") is None:
                await trio.sleep(0.01)
        return found

    monkeypatch.setattr(stream_origins.StreamOrigins, "_ask", ask_meanwhile)
    async with edge_system.run_system(gateways=2, engines=0) as system:
        old = await start_engine(system, "old", OLD, 1000)
        await trio.sleep(0.6)
        node = system.nodes["gateway-1"]
        node.store.loses_watches = True
        got = await take_up_cut_stream(system, old)
    assert got.status == 503
    assert all(seen.request != "r2" for seen in old.seen)


# Guards against refusing all streams that are taken up while the store is away: those that began
# then are known after their gateway is gone.
async def test_stream_goes_on_without_store_and_its_gateway():
    async with edge_system.run_system(gateways=3, engines=0) as system:
        engines = [await start_engine(system, f"old-{n}", OLD, 1000) for n in range(2)]
        await trio.sleep(0.6)
        for name in system.nodes:
            await cut_off(system, name)
        for eng in engines:
            eng.faults = stream_engine.Faults(cut_after=SENT)
        await system.send_online("gateway-0", PATH, "r1")
        system.nodes["gateway-0"].scope.cancel()
        for eng in engines:
            eng.faults = stream_engine.Faults()
        got = await system.send_online(
            "gateway-1", PATH, "r2", resumes="r1", last_event_id=str(SENT)
        )
    assert (got.status, got.complete) == (200, True)


# Guards against refusing streams that began before the store was away, once their gateway is gone.
async def test_stream_from_before_the_outage_goes_on_without_its_gateway():
    async with edge_system.run_system(gateways=3, engines=0) as system:
        engines = [await start_engine(system, f"old-{n}", OLD, 1000) for n in range(2)]
        await trio.sleep(0.6)
        for eng in engines:
            eng.faults = stream_engine.Faults(cut_after=SENT)
        await system.send_online("gateway-0", PATH, "r1")
        for name in system.nodes:
            await cut_off(system, name)
        system.nodes["gateway-0"].scope.cancel()
        for eng in engines:
            eng.faults = stream_engine.Faults()
        got = await system.send_online(
            "gateway-1", PATH, "r2", resumes="r1", last_event_id=str(SENT)
        )
    assert (got.status, got.complete) == (200, True)


# Guards against a stream that is taken up at any version, or ends without an event, because its
# caller names the last event in a way that only the upstream reads.
@pytest.mark.parametrize("last_event", ["-1", "+2", "9" * 16, "2.0"])
async def test_stream_whose_last_event_is_not_a_number_is_refused(last_event):
    async with edge_system.run_system(engines=0) as system:
        engines = [await start_engine(system, v, v, 1000) for v in (OLD, NEW)]
        await trio.sleep(0.6)
        got = await system.send_online("gateway-0", PATH, "r2", last_event_id=last_event)
    assert (got.status, got.body) == (400, b"")
    assert not any(eng.seen for eng in engines)


# Guards against a gateway that knows of a start whose version is not registered, and still takes
# the only registered version for the origin of any stream.
async def test_stream_is_refused_while_a_start_is_not_registered(lost_origins, monkeypatch):
    monkeypatch.setattr(software_versions, "STREAM_LIFETIME_S", 3.0)
    async with edge_system.run_system(gateways=2, engines=0) as system:
        engines = [await start_engine(system, f"old-{n}", OLD, 1000) for n in range(2)]
        # A gateway that has followed registrations for so long knows all versions.
        await trio.sleep(software_versions.STREAM_LIFETIME_S)
        restarted, other = engines
        restarted.crash(0.1)
        restarted.version = NEW
        await trio.sleep(0.2)
        other.faults = stream_engine.Faults(decline=True)
        restarted.faults = stream_engine.Faults(cut_after=SENT)
        got = await system.send_online("gateway-0", PATH, "r1")
        assert stream_engine.split_versions(got.body)[1] == {NEW}
        known = system.nodes["gateway-1"].kern.find("fleet", fleet.Fleet)
        with trio.fail_after(5):
            while not known.find_upstream("old-0").restarted:
                await system.send_online("gateway-1", PATH, "r0")
        other.faults = stream_engine.Faults()
        got = await system.send_online(
            "gateway-1", PATH, "r2", resumes="r1", last_event_id=str(SENT)
        )
    assert got.status == 503
    assert all(seen.request != "r2" for eng in engines for seen in eng.seen)
