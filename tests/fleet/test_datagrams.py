import contextlib
import socket
import time

import fleet_helpers
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelgrade import addresses
from cornelgrade.adapters import datagrams, peer_key
from cornelgrade.policy import shared_allowance
from cornelgrade.schema import codec, messages
from cornelgrade.services import ports

DropReason = datagrams.DropReason
NOW_S = 1_000_000.0
MEMBER = ports.Member(
    "vm1", "d1", "r", 2**60, ports.MemberState.LEAVING, "10.0.0.1:1", "10.0.0.1:2", "[::1]:3", 7
)
BODIES = [
    messages.Ping(2**63),
    messages.Ack(1),
    messages.ProbeRequest(3, "vm2"),
    messages.Join(),
    messages.Roster(),
    messages.Version(9),
    ports.Load("e1", 4, 2),
    ports.Yield("e1", 3),
    ports.Quarantined("f" * 64, 2, 1.5, "ab12"),
    ports.Quarantined("f", 2, 1.5, "ab12", 3, (ports.CrashSighting(2**64 - 1, 1.5, True, False),)),
    ports.UpstreamCrashed("ab12", "e1", 9, 1, "f" * 64),
    ports.Leaving("e1"),
    messages.Uses((messages.UpstreamUse("e1", 3, 2, took_ms=900), messages.UpstreamUse("e2", 0))),
    messages.ReachQuery(),
    messages.ReachReport(("llm", "embed"), 3),
    messages.UpstreamQuery("e1", 17),
    messages.UpstreamResponds("e1"),
    messages.UpstreamLimits((messages.UpstreamLimit("e1", 17, 2.5),)),
    messages.UpstreamOutcome("e1", 17, 2**64 - 1, 3, served=True, broken=True),
    messages.Ejections((messages.Ejection("e1", 17, 0.5, 2, 1, takes_any=True, ended=True),)),
    messages.AllowanceRequest(shared_allowance.LimitKey("e1", 17), 2),
    messages.AllowanceRequest(shared_allowance.LimitKey("clinic", is_team=True), 2, used=7),
    messages.AllowanceGrant(shared_allowance.LimitKey("e1", 17), 0, 0.25, 1.5),
    messages.StreamOrigins((messages.StreamOrigin(2**64 - 1, "llm", "v1.2"),)),
    messages.StreamOriginQuery(2**64 - 1),
]


def datagram(body=BODIES[0], session=1, sequence=1, sent_s=NOW_S, **rest):
    return messages.Datagram("vm1", session, sequence, sent_s, body, **rest)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_encoding_round_trip(body):
    rumors = (messages.Rumor("vm1:5", 6, ports.Quarantined("a", 1, 2.0)),)
    original = datagram(body, members=(MEMBER,), rumors=rumors)
    assert codec.decode(codec.encode(original)) == original


@settings(max_examples=300, derandomize=True)
@given(raw=st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_malformed(raw):
    with contextlib.suppress(codec.MalformedError):
        assert isinstance(codec.decode(raw), messages.Datagram)


def test_member_size_estimate_is_an_upper_bound():
    one = len(codec.encode(datagram(members=(MEMBER,))))
    two = len(
        codec.encode(datagram(members=(MEMBER, msgspec.structs.replace(MEMBER, vm="x" * 63))))
    )
    estimate = codec.estimate_member_bytes(msgspec.structs.replace(MEMBER, vm="x" * 63))
    assert two - one <= estimate <= (two - one) * 1.5


@pytest.mark.parametrize(
    ("first", "second", "reason"),
    [
        ({}, {}, DropReason.REPLAY),
        ({}, {"sequence": 2}, None),
        ({"sequence": 5}, {"sequence": 4}, None),
        (
            {"sequence": 5000},
            {"sequence": 5000 - datagrams.REPLAY_WINDOW_DATAGRAMS},
            DropReason.REPLAY,
        ),
        ({"session": 2}, {"session": 1, "sequence": 9}, DropReason.REPLAY),
        ({"session": 1, "sequence": 9}, {"session": 2}, None),
        ({}, {"sequence": 2, "sent_s": NOW_S - 61}, DropReason.TOO_OLD),
        ({}, {"sequence": 2, "sent_s": NOW_S + 61}, DropReason.TOO_OLD),
    ],
)
def test_replay_guard_drops_duplicate_stale_and_old_datagrams(first, second, reason):
    guard = datagrams.ReplayGuard()
    assert guard.check(datagram(**first), NOW_S) is None
    assert guard.check(datagram(**second), NOW_S) is reason


@settings(max_examples=100, derandomize=True)
@given(sequences=st.lists(st.integers(1, 3000), max_size=60))
def test_no_sequence_number_is_accepted_twice(sequences):
    guard = datagrams.ReplayGuard()
    accepted = [n for n in sequences if guard.check(datagram(sequence=n), NOW_S) is None]
    assert len(accepted) == len(set(accepted))


async def test_datagram_with_a_wrong_key_or_tag_is_dropped():
    with (
        datagrams.Socket("127.0.0.1:0", fleet_helpers.KEY, "a") as a,
        datagrams.Socket("127.0.0.1:0", fleet_helpers.KEY, "b") as b,
        datagrams.Socket("127.0.0.1:0", peer_key.derive(b"other"), "c") as c,
    ):
        a.send(b.address, messages.Ping(1))
        c.send(b.address, messages.Ping(2))
        a._sock.sendto(b"y" * 32, addresses.split_host_port(b.address))
        got = await b.receive()
        assert [(d.sender, d.body) for d in got] == [("a", messages.Ping(1))]
        assert b.dropped == {DropReason.WRONG_KEY: 2}


async def test_replayed_datagram_is_dropped_and_counted():
    with datagrams.Socket("127.0.0.1:0", fleet_helpers.KEY, "b") as b:
        payload = codec.encode(msgspec.structs.replace(datagram(), sent_s=time.time()))
        raw = fleet_helpers.KEY.tag(b.address.encode(), payload) + payload
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(3):
                sender.sendto(raw, addresses.split_host_port(b.address))
        assert len(await b.receive()) == 1
        assert b.dropped == {DropReason.REPLAY: 2}


async def test_members_that_do_not_fit_are_left_out():
    with (
        datagrams.Socket("127.0.0.1:0", fleet_helpers.KEY, "a") as a,
        datagrams.Socket("127.0.0.1:0", fleet_helpers.KEY, "b") as b,
    ):
        a.send(b.address, messages.Ping(1), (MEMBER,) * 50)
        got = (await b.receive())[0]
        assert 1 <= len(got.members) < 50
        a.send(b.address, ports.Leaving("x" * 1300))
        assert a.dropped == {DropReason.OVERSIZE: 1}
