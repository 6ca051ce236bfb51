import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelgrade.policy import actions, gossip, membership, prober
from cornelgrade.schema import messages
from cornelgrade.services import ports

State = ports.MemberState
Verdict = membership.Verdict
TUNING = membership.Tuning()


def member(vm="b", state=State.ALIVE, incarnation=5, version=0):
    return ports.Member(vm, "d1", "r", incarnation, state, f"p{vm}", f"w{vm}", f"g{vm}", version)


@pytest.mark.parametrize(
    ("known", "received", "verdict"),
    [
        (None, member(), Verdict.NEWER),
        (None, member(state=State.DEAD), Verdict.STALE),
        (member(), member(), Verdict.STALE),
        (member(), member(version=3), Verdict.NEWER),
        (member(version=3), member(version=2), Verdict.STALE),
        (member(), member(state=State.SUSPECT), Verdict.NEWER),
        (member(), member(state=State.DEAD), Verdict.SUSPECT),
        (member(state=State.SUSPECT), member(), Verdict.STALE),
        (member(state=State.SUSPECT), member(incarnation=6), Verdict.NEWER),
        (member(state=State.SUSPECT), member(state=State.DEAD), Verdict.NEWER),
        (member(state=State.LEAVING), member(state=State.SUSPECT), Verdict.STALE),
        (member(state=State.LEAVING), member(incarnation=6), Verdict.NEWER),
        (member(state=State.DEAD), member(), Verdict.RECHECK),
        (member(state=State.DEAD), member(incarnation=4), Verdict.STALE),
        (member(state=State.DEAD), member(incarnation=6), Verdict.NEWER),
        (member(), member(incarnation=6, state=State.DEAD), Verdict.SUSPECT),
    ],
)
def test_received_record_is_compared_with_the_known_one(known, received, verdict):
    assert membership.compare_records(known, received) is verdict


@pytest.mark.parametrize(
    ("mine", "received", "incarnation"),
    [
        (State.ALIVE, member(state=State.SUSPECT), 6),
        (State.ALIVE, member(state=State.DEAD, incarnation=9), 10),
        (State.ALIVE, member(state=State.DEAD, incarnation=4), 5),
        (State.ALIVE, member(), 5),
        (State.ALIVE, member(incarnation=8), 9),
        (State.LEAVING, member(state=State.SUSPECT), 5),
    ],
)
def test_member_refutes_a_record_worse_than_its_state(mine, received, incarnation):
    assert membership.refute_record(member(state=mine), received).incarnation == incarnation


records = st.builds(
    member,
    state=st.sampled_from(State),
    incarnation=st.integers(0, 3),
    version=st.integers(0, 2),
)


@settings(max_examples=200, derandomize=True)
@given(known=records, received=records)
def test_merged_record_is_never_older(known, received):
    verdict = membership.compare_records(known, received)
    if verdict in (Verdict.NEWER, Verdict.SUSPECT):
        kept = membership.merge_records(known, received, verdict)
        assert kept.incarnation >= known.incarnation
        assert membership.compare_records(kept, known) in (Verdict.STALE, Verdict.RECHECK)


def test_suspicion_timeout_and_transmissions_grow_logarithmically():
    assert membership.suspicion_timeout_s(TUNING, 9) == TUNING.min_suspicion_s
    assert 7 < membership.suspicion_timeout_s(TUNING, 390) < 8
    assert membership.max_transmissions(TUNING, 390) == 13


def test_queue_sends_each_update_a_bounded_number_of_times():
    queue = gossip.Queue(limit=2)
    queue.put("a", "old")
    queue.put("a", "new")
    taken = [queue.take(10, len, 3) for _ in range(5)]
    assert taken == [("new",)] * 3 + [()] * 2


def test_queue_takes_urgent_updates_first_and_stays_bounded():
    queue = gossip.Queue(limit=2)
    queue.put("a", "later", urgent=False)
    queue.put("b", "now")
    queue.put("c", "also")
    assert len(queue) == 2
    assert set(queue.take(100, len, 1)) == {"now", "also"}


class SimulatedPeers:
    """A prober and simulated members; only the members in ``answer`` respond to its pings."""

    def __init__(self, seed):
        self.a = prober.Prober(member("a"), (), random.Random(seed))
        self.a.receive(0.0, self.wrap("b", messages.Roster(), (member("b"), member("c"))))

    @staticmethod
    def wrap(sender, body, members=()):
        return messages.Datagram(sender, 1, 1, 0.0, body, members)

    def run(self, seconds, answer=(), start=0.0):
        now, end = start, start + seconds
        sent = []
        while now < end:
            for action in self.a.tick(now):
                if isinstance(action, actions.Send):
                    sent.append(action)
                    self.answer(now, action, answer)
            now = max(self.a.next_tick_at(), now + 0.01)
        return sent

    def answer(self, now, action, responding):
        vm = action.address.removeprefix("p")
        if vm in responding and isinstance(action.body, messages.Ping):
            self.a.receive(now, self.wrap(vm, messages.Ack(action.body.number)))


def test_unresponsive_member_is_probed_indirectly_then_suspect_then_dead():
    pair = SimulatedPeers(1)
    sent = pair.run(2.0, answer=("b",))
    asked = [s for s in sent if isinstance(s.body, messages.ProbeRequest)]
    assert asked and all(s.address == "pb" and s.body.vm == "c" for s in asked)
    assert pair.a.members["c"].state is State.SUSPECT
    pair.run(6.0, answer=("b",), start=2.0)
    assert pair.a.members["c"].state is State.DEAD
    assert pair.a.members["b"].state is State.ALIVE


def test_dead_member_is_probed_slowly_and_sent_its_record():
    pair = SimulatedPeers(1)
    pair.run(10.0, answer=("b",))
    sent = pair.run(10.0, answer=("b",), start=10.0)
    to_dead = [s for s in sent if s.address == "pc"]
    assert 4 <= len(to_dead) <= 6
    assert all(m.state is State.DEAD for s in to_dead for m in s.members if m.vm == "c")


def test_stalled_member_postpones_its_suspicion_timeouts():
    pair = SimulatedPeers(1)
    pair.run(2.0, answer=("b",))
    assert pair.a.members["c"].state is State.SUSPECT
    pair.a.tick(60.0)
    assert pair.a.members["c"].state is State.SUSPECT


def test_indirect_probe_is_forwarded_and_its_ack_returned():
    pair = SimulatedPeers(1)
    relayed = pair.a.receive(1.0, pair.wrap("b", messages.ProbeRequest(77, "c")))
    ping = relayed[0]
    assert (ping.address, type(ping.body)) == ("pc", messages.Ping)
    back = pair.a.receive(1.1, pair.wrap("c", messages.Ack(ping.body.number)))
    assert (back[0].address, back[0].body) == ("pb", messages.Ack(77))


def test_join_is_answered_with_all_members_in_several_datagrams():
    pair = SimulatedPeers(1)
    others = tuple(member(f"m{i}") for i in range(40))
    pair.a.receive(0.0, pair.wrap("b", messages.Roster(), others))
    sent = pair.a.receive(0.1, pair.wrap("b", messages.Join()))
    sent_vms = {m.vm for s in sent for m in s.members}
    assert len(sent) > 1
    assert sent_vms == {"a", "c"} | {m.vm for m in others}


def test_unresponsive_leaving_member_is_dead_without_suspicion():
    pair = SimulatedPeers(1)
    gone = msgspec.structs.replace(member("c"), state=State.LEAVING)
    pair.a.receive(0.0, pair.wrap("c", messages.Roster(), (gone,)))
    pair.run(2.0, answer=("b",))
    assert pair.a.members["c"].state is State.DEAD
