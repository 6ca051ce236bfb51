"""The SWIM state machine of one member: takes messages and the time, gives typed actions.

No I/O and no clock; randomness comes from a generator that is passed in.
"""

import collections
import dataclasses
import random
from collections.abc import Sequence

from cornelgrade.policy import actions, gossip, membership
from cornelgrade.schema import codec, messages
from cornelgrade.services import ports

State = ports.MemberState
_PROBED = (State.ALIVE, State.SUSPECT, State.LEAVING)
_PAIRS_KEPT = 512
_RECHECKS = 64
_RECHECKS_EACH_INTERVAL = 4
_REFRESHED_RECORDS = 2
_RUMORS_KEPT = 1024
_LEAVE_FANOUT = 8
_PART_OF_ROSTER = 6
_SYNC_INTERVALS = frozenset({2, 4, 7, 11, 16, 24, 40})


class Prober:
    """One member's knowledge of the others.

    :param me: this member's own record.
    :param seeds: peer addresses to join by.
    """

    def __init__(
        self,
        me: ports.Member,
        seeds: tuple[str, ...],
        rng: random.Random,
        tuning: membership.Tuning | None = None,
    ) -> None:
        self.tuning = tuning or membership.Tuning()
        self.me = me
        self.members: dict[str, ports.Member] = {me.vm: me}
        self._seeds = tuple(seed for seed in seeds if seed != me.peer_address)
        self._rng = rng
        self._updates: gossip.Queue[ports.Member] = gossip.Queue(limit=4096)
        self._rumors: gossip.Queue[messages.Rumor] = gossip.Queue(limit=_RUMORS_KEPT)
        self._heard_rumors: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._ring: list[str] = []
        self._refresh: list[str] = []
        self._probe: actions.Probe | None = None
        self._number = rng.getrandbits(32)
        self._relayed: collections.OrderedDict[int, actions.Relayed] = collections.OrderedDict()
        self._recheck: collections.deque[str] = collections.deque(maxlen=_RECHECKS)
        self._deadlines: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._rosters_left = self.tuning.rosters
        self._intervals = 0
        self._interval_at: float | None = None
        self._due: float | None = None
        self._updates.put(me.vm, me)

    # Outside events ---------------------------------------------------------------------

    def due(self) -> float:
        """Give the time of the next :meth:`tick`."""
        return self._due if self._due is not None else 0.0

    def tick(self, now: float) -> list[actions.Action]:
        """Carry on with the probe of this interval, the suspicions and the slow probes."""
        out: list[actions.Action] = []
        self._survive_stall(now)
        if self._probe is not None and self._probe.stage is actions.Stage.DIRECT:
            out += self._ask_relays(now, self._probe)
        if self._interval_at is None or now >= self._interval_at:
            out += self._next_interval(now)
        out += self._bury(now)
        self._due = self._next_due(now)
        return out

    def receive(self, now: float, got: messages.Datagram) -> list[actions.Action]:
        """Take a datagram of another member in; its own record comes first in it."""
        out: list[actions.Action] = []
        known = isinstance(got.body, messages.Roster)
        for heard in got.members:
            out += self._hear(now, heard, known)
        for rumor in got.rumors:
            out += self.hear_rumor(rumor)
        sender = self.members.get(got.sender)
        if sender is not None and sender.vm != self.me.vm:
            out += self._answer(sender, got.body)
        return out

    def pending(self) -> int:
        """Give the number of updates that still ride along."""
        return len(self._updates)

    def set_version(self, version: int) -> list[actions.Action]:
        """Say that a later manifest is in force here, also to a few members at once."""
        self._set_me(dataclasses.replace(self.me, manifest_version=version), urgent=False)
        return self.announce(messages.Version(version), self.tuning.relays + 1)

    def announce(self, body: messages.Body, fanout: int) -> list[actions.Action]:
        """Send a message to some random members."""
        chosen = self._some(fanout, exclude=self.me.vm)
        return [self._send(vm, body) for vm in chosen]

    def leave(self) -> list[actions.Action]:
        """Announce that this member stops."""
        self._set_me(dataclasses.replace(self.me, state=State.LEAVING))
        return self.announce(messages.Roster(), _LEAVE_FANOUT)

    def hear_rumor(self, rumor: messages.Rumor) -> list[actions.Action]:
        """Take a message that goes to every gateway: deliver it once and pass it on."""
        key = (rumor.origin, rumor.number)
        if key in self._heard_rumors:
            return []
        self._heard_rumors[key] = None
        if len(self._heard_rumors) > _RUMORS_KEPT:
            self._heard_rumors.popitem(last=False)
        self._rumors.put(key, rumor)
        return [actions.Deliver(rumor.message)]

    # Records ----------------------------------------------------------------------------

    def _set_me(self, me: ports.Member, *, urgent: bool = True) -> None:
        self.me = me
        self.members[me.vm] = me
        self._updates.put(me.vm, me, urgent=urgent)

    def _hear(self, now: float, heard: ports.Member, known_elsewhere: bool) -> list[actions.Action]:
        if heard.vm == self.me.vm:
            return self._hear_of_me(heard)
        known = self.members.get(heard.vm)
        verdict = membership.judge(known, heard)
        if verdict is membership.Verdict.OLD:
            return []
        if verdict is membership.Verdict.RECHECK:
            if heard.vm not in self._recheck:
                self._recheck.append(heard.vm)
            return []
        pass_on = not (known_elsewhere and known is None)
        return self._record(now, membership.merged(known, heard, verdict), pass_on)

    def _hear_of_me(self, heard: ports.Member) -> list[actions.Action]:
        me = membership.refuted(self.me, heard)
        if me is self.me:
            return []
        before = self.me
        self._set_me(me)
        return [actions.Changed(me, before), *self.announce(messages.Roster(), self.tuning.relays)]

    def _record(
        self, now: float, member: ports.Member, pass_on: bool = True
    ) -> list[actions.Action]:
        vm = member.vm
        before = self.members.get(vm)
        self.members[vm] = member
        if before is None:
            self._ring.insert(self._rng.randrange(len(self._ring) + 1), vm)
        moved = before is None or before.state is not member.state
        newer = before is None or before.incarnation != member.incarnation
        if pass_on:
            self._updates.put(vm, member, urgent=moved or newer)
        if moved:
            self._enter(now, member)
        return [actions.Changed(member, before)]

    def _enter(self, now: float, member: ports.Member) -> None:
        self._deadlines.pop(member.vm, None)
        self._dead_since.pop(member.vm, None)
        if member.state is State.SUSPECT:
            wait_s = membership.suspicion_s(self.tuning, len(self._living()))
            self._deadlines[member.vm] = now + wait_s
        elif member.state is State.DEAD:
            self._dead_since[member.vm] = now

    def _living(self) -> list[str]:
        return [vm for vm, m in self.members.items() if m.state in _PROBED]

    def _bury(self, now: float) -> list[actions.Action]:
        out: list[actions.Action] = []
        for vm in [vm for vm, at in self._deadlines.items() if now >= at]:
            out += self._record(now, dataclasses.replace(self.members[vm], state=State.DEAD))
        keep_s = self.tuning.forget_dead_s
        for vm in [vm for vm, at in self._dead_since.items() if now - at > keep_s]:
            del self._dead_since[vm]
            del self.members[vm]
        return out

    # Probing ----------------------------------------------------------------------------

    def _survive_stall(self, now: float) -> None:
        if self._due is None or now - self._due < self.tuning.stall_s:
            return
        late_s = now - self._due
        self._deadlines = {vm: at + late_s for vm, at in self._deadlines.items()}
        self._probe = None

    def _next_due(self, now: float) -> float:
        times = [self._interval_at or now, *self._deadlines.values()]
        if self._probe is not None and self._probe.stage is actions.Stage.DIRECT:
            times.append(self._probe.sent_at + self.tuning.ack_timeout_s)
        return min(times)

    def _next_interval(self, now: float) -> list[actions.Action]:
        self._interval_at = now + self.tuning.interval_s
        self._rosters_left = self.tuning.rosters
        self._intervals += 1
        out = self._fail_probe(now)
        target = self._next_target()
        if target is not None:
            number = self._next_number()
            self._probe = actions.Probe(target, number, now, actions.Stage.DIRECT)
            out.append(self._send(target, messages.Ping(number)))
        for _ in range(min(_RECHECKS_EACH_INTERVAL, len(self._recheck))):
            out += self._ping_dead(self._recheck.popleft())
        if self._intervals % self.tuning.slow_every == 1 or target is None:
            out += self._slow_probe()
        if self._intervals in _SYNC_INTERVALS:
            out += self.announce(messages.Join(), 1)
        return out

    def _fail_probe(self, now: float) -> list[actions.Action]:
        probe, self._probe = self._probe, None
        member = self.members.get(probe.vm) if probe is not None else None
        if probe is None or probe.stage is actions.Stage.DONE or member is None:
            return []
        found = {State.ALIVE: State.SUSPECT, State.LEAVING: State.DEAD}.get(member.state)
        return self._record(now, dataclasses.replace(member, state=found)) if found else []

    def _next_target(self) -> str | None:
        for refilled in (False, True):
            while self._ring:
                vm = self._ring.pop()
                if vm in self.members and self.members[vm].state in _PROBED:
                    return vm
            if not refilled:
                self._ring = [vm for vm in self._living() if vm != self.me.vm]
                self._rng.shuffle(self._ring)
        return None

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _ask_relays(self, now: float, probe: actions.Probe) -> list[actions.Action]:
        if now < probe.sent_at + self.tuning.ack_timeout_s or probe.vm not in self.members:
            return []
        self._probe = dataclasses.replace(probe, stage=actions.Stage.INDIRECT)
        request = messages.ProbeRequest(probe.number, probe.vm)
        relays = self._some(self.tuning.relays, exclude=probe.vm)
        again = self._send(probe.vm, messages.Ping(probe.number))
        return [again, *(self._send(vm, request) for vm in relays)]

    def _some(self, count: int, exclude: str) -> list[str]:
        usable = [
            vm
            for vm, m in self.members.items()
            if m.state is State.ALIVE and vm not in (exclude, self.me.vm)
        ]
        return self._rng.sample(usable, min(count, len(usable)))

    def _ping_dead(self, vm: str) -> list[actions.Action]:
        known = self.members.get(vm)
        if known is None or known.state is not State.DEAD:
            return []
        return [self._send(vm, messages.Ping(self._next_number()))]

    def _slow_probe(self) -> list[actions.Action]:
        out: list[actions.Action] = []
        if self._dead_since:
            out += self._ping_dead(self._rng.choice(list(self._dead_since)))
        living = {self.members[vm].peer_address for vm in self._living()}
        silent = [seed for seed in self._seeds if seed not in living]
        alone = len(living) <= 1
        asked = self._rng.sample(silent, min(2 if alone else 1, len(silent)))
        return out + [actions.Send(seed, messages.Join(), (self.me,)) for seed in asked]

    # Messages ---------------------------------------------------------------------------

    def _answer(self, sender: ports.Member, body: messages.Body) -> list[actions.Action]:
        match body:
            case messages.Ping(number):
                return [self._send(sender.vm, messages.Ack(number))]
            case messages.Ack(number):
                return self._acked(number)
            case messages.ProbeRequest(number, vm):
                return self._relay(sender, number, vm)
            case messages.Join():
                return self._roster(sender)
            case _:
                return []

    def _acked(self, number: int) -> list[actions.Action]:
        if self._probe is not None and self._probe.number == number:
            self._probe = dataclasses.replace(self._probe, stage=actions.Stage.DONE)
        asked = self._relayed.pop(number, None)
        if asked is None:
            return []
        return [actions.Send(asked.address, messages.Ack(asked.number), self._riders("", 0))]

    def _relay(self, origin: ports.Member, number: int, vm: str) -> list[actions.Action]:
        if vm not in self.members:
            return []
        own = self._next_number()
        self._relayed[own] = actions.Relayed(origin.peer_address, number)
        if len(self._relayed) > _PAIRS_KEPT:
            self._relayed.popitem(last=False)
        return [self._send(vm, messages.Ping(own))]

    def _roster(self, sender: ports.Member) -> list[actions.Action]:
        out: list[actions.Action] = []
        part: list[ports.Member] = [self.me]
        room = codec.MEMBERS_ROOM_BYTES - codec.member_bytes(self.me)
        left = room
        others = list(self.members.values())
        if self._rosters_left > 0:
            self._rosters_left -= 1
        else:
            others = self._rng.sample(others, min(len(others), _PART_OF_ROSTER))
        for member in others:
            if member.state is State.DEAD or member.vm in (self.me.vm, sender.vm):
                continue
            size = codec.member_bytes(member)
            if size > left:
                out.append(actions.Send(sender.peer_address, messages.Roster(), tuple(part)))
                part, left = [self.me], room
            part.append(member)
            left -= size
        out.append(actions.Send(sender.peer_address, messages.Roster(), tuple(part)))
        return out

    def _send(self, vm: str, body: messages.Body) -> actions.Send:
        sends = membership.retransmits(self.tuning, len(self.members))
        rumors = self._rumors.take(codec.RUMORS_ROOM_BYTES, codec.rumor_bytes, 2 * sends)
        taken_bytes = sum(map(codec.rumor_bytes, rumors))
        return actions.Send(
            self.members[vm].peer_address, body, self._riders(vm, taken_bytes), rumors
        )

    def _riders(self, vm: str, taken_bytes: int) -> tuple[ports.Member, ...]:
        """Choose records: own, the receiver's if it is not alive, updates, two to refresh."""
        first = [self.me]
        target = self.members.get(vm)
        if target is not None and target.state not in (State.ALIVE, State.LEAVING):
            first.append(target)
        room = codec.MEMBERS_ROOM_BYTES - taken_bytes - sum(map(codec.member_bytes, first))
        sends = membership.retransmits(self.tuning, len(self.members))
        updates = self._updates.take(room, codec.member_bytes, sends)
        room -= sum(map(codec.member_bytes, updates))
        chosen = {m.vm: m for m in (*first, *updates)}
        for member in self._to_refresh():
            room -= codec.member_bytes(member)
            if room >= 0:
                chosen.setdefault(member.vm, member)
        return tuple(chosen.values())

    def _to_refresh(self) -> Sequence[ports.Member]:
        if not self._refresh:
            self._refresh = self._living()
            self._rng.shuffle(self._refresh)
        taken = [self._refresh.pop() for _ in range(min(_REFRESHED_RECORDS, len(self._refresh)))]
        return [self.members[vm] for vm in taken if vm in self.members]
