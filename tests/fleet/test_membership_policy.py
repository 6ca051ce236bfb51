import dataclasses
import random

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
    ("known", "heard", "verdict"),
    [
        (None, member(), Verdict.NEWS),
        (None, member(state=State.DEAD), Verdict.OLD),
        (member(), member(), Verdict.OLD),
        (member(), member(version=3), Verdict.NEWS),
        (member(version=3), member(version=2), Verdict.OLD),
        (member(), member(state=State.SUSPECT), Verdict.NEWS),
        (member(), member(state=State.DEAD), Verdict.SUSPECT),
        (member(state=State.SUSPECT), member(), Verdict.OLD),
        (member(state=State.SUSPECT), member(incarnation=6), Verdict.NEWS),
        (member(state=State.SUSPECT), member(state=State.DEAD), Verdict.NEWS),
        (member(state=State.LEAVING), member(state=State.SUSPECT), Verdict.OLD),
        (member(state=State.LEAVING), member(incarnation=6), Verdict.NEWS),
        (member(state=State.DEAD), member(), Verdict.RECHECK),
        (member(state=State.DEAD), member(incarnation=4), Verdict.OLD),
        (member(state=State.DEAD), member(incarnation=6), Verdict.NEWS),
        (member(), member(incarnation=6, state=State.DEAD), Verdict.SUSPECT),
    ],
)
def test_record_that_wins(known, heard, verdict):
    assert membership.judge(known, heard) is verdict


@pytest.mark.parametrize(
    ("mine", "heard", "incarnation"),
    [
        (State.ALIVE, member(state=State.SUSPECT), 6),
        (State.ALIVE, member(state=State.DEAD, incarnation=9), 10),
        (State.ALIVE, member(state=State.DEAD, incarnation=4), 5),
        (State.ALIVE, member(), 5),
        (State.ALIVE, member(incarnation=8), 9),
        (State.LEAVING, member(state=State.SUSPECT), 5),
    ],
)
def test_member_refutes_what_is_worse_than_true(mine, heard, incarnation):
    assert membership.refuted(member(state=mine), heard).incarnation == incarnation


records = st.builds(
    member,
    state=st.sampled_from(State),
    incarnation=st.integers(0, 3),
    version=st.integers(0, 2),
)


@settings(max_examples=200, derandomize=True)
@given(known=records, heard=records)
def test_record_never_goes_back(known, heard):
    verdict = membership.judge(known, heard)
    if verdict in (Verdict.NEWS, Verdict.SUSPECT):
        kept = membership.merged(known, heard, verdict)
        assert kept.incarnation >= known.incarnation
        assert membership.judge(kept, known) in (Verdict.OLD, Verdict.RECHECK)


def test_suspicion_and_retransmits_grow_with_the_logarithm():
    assert membership.suspicion_s(TUNING, 9) == TUNING.min_suspicion_s
    assert 7 < membership.suspicion_s(TUNING, 390) < 8
    assert membership.retransmits(TUNING, 390) == 13


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


class Pair:
    """Two probers whose messages reach each other when the test says so."""

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
            now = max(self.a.due(), now + 0.01)
        return sent

    def answer(self, now, action, answering):
        vm = action.address.removeprefix("p")
        if vm in answering and isinstance(action.body, messages.Ping):
            self.a.receive(now, self.wrap(vm, messages.Ack(action.body.number)))


def test_silent_member_is_asked_through_others_then_suspected_then_dead():
    pair = Pair(1)
    sent = pair.run(2.0, answer=("b",))
    asked = [s for s in sent if isinstance(s.body, messages.ProbeRequest)]
    assert asked and all(s.address == "pb" and s.body.vm == "c" for s in asked)
    assert pair.a.members["c"].state is State.SUSPECT
    pair.run(6.0, answer=("b",), start=2.0)
    assert pair.a.members["c"].state is State.DEAD
    assert pair.a.members["b"].state is State.ALIVE


def test_dead_member_is_probed_slowly_and_told_what_is_held_of_it():
    pair = Pair(1)
    pair.run(10.0, answer=("b",))
    sent = pair.run(10.0, answer=("b",), start=10.0)
    to_dead = [s for s in sent if s.address == "pc"]
    assert 4 <= len(to_dead) <= 6
    assert all(m.state is State.DEAD for s in to_dead for m in s.members if m.vm == "c")


def test_member_that_stood_still_postpones_its_own_suspicions():
    pair = Pair(1)
    pair.run(2.0, answer=("b",))
    assert pair.a.members["c"].state is State.SUSPECT
    pair.a.tick(60.0)
    assert pair.a.members["c"].state is State.SUSPECT


def test_ping_for_another_member_is_passed_on_and_its_ack_comes_back():
    pair = Pair(1)
    relayed = pair.a.receive(1.0, pair.wrap("b", messages.ProbeRequest(77, "c")))
    ping = relayed[0]
    assert (ping.address, type(ping.body)) == ("pc", messages.Ping)
    back = pair.a.receive(1.1, pair.wrap("c", messages.Ack(ping.body.number)))
    assert (back[0].address, back[0].body) == ("pb", messages.Ack(77))


def test_join_is_answered_by_all_members_over_several_datagrams():
    pair = Pair(1)
    others = tuple(member(f"m{i}") for i in range(40))
    pair.a.receive(0.0, pair.wrap("b", messages.Roster(), others))
    sent = pair.a.receive(0.1, pair.wrap("b", messages.Join()))
    told = {m.vm for s in sent for m in s.members}
    assert len(sent) > 1
    assert told == {"a", "c"} | {m.vm for m in others}


def test_leaving_member_that_is_silent_is_dead_without_suspicion():
    pair = Pair(1)
    gone = dataclasses.replace(member("c"), state=State.LEAVING)
    pair.a.receive(0.0, pair.wrap("c", messages.Roster(), (gone,)))
    pair.run(2.0, answer=("b",))
    assert pair.a.members["c"].state is State.DEAD
