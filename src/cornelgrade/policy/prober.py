"""The SWIM state machine of one member: takes messages and the time, returns typed actions.

It does no I/O and reads no clock; randomness comes from a generator passed in.
"""

import collections
import dataclasses
import random
from collections.abc import Sequence

import msgspec

from cornelgrade.policy import actions, gossip, membership
from cornelgrade.schema import codec, messages
from cornelgrade.services import ports

State = ports.MemberState
_PROBED_STATES = (State.ALIVE, State.SUSPECT, State.LEAVING)
_MAX_RELAYED_PINGS = 512
_MAX_RECHECKS = 64
_RECHECKS_PER_INTERVAL = 4
_REFRESHED_RECORDS_PER_MESSAGE = 2
_MAX_RUMORS = 1024
_LEAVE_FANOUT = 8
_PARTIAL_ROSTER_SIZE = 6
_SYNC_INTERVALS = frozenset({2, 4, 7, 11, 16, 24, 40})


class Prober:
    """The membership as known to one member.

    :param me: this member's own record.
    :param seeds: peer addresses to send join requests to.
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
        self._rumors: gossip.Queue[messages.Rumor] = gossip.Queue(limit=_MAX_RUMORS)
        self._seen_rumors: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._probe_order: list[str] = []
        self._refresh_order: list[str] = []
        self._probe: actions.Probe | None = None
        self._number = rng.getrandbits(32)
        self._relayed: collections.OrderedDict[int, actions.RelayedPing] = collections.OrderedDict()
        self._recheck_queue: collections.deque[str] = collections.deque(maxlen=_MAX_RECHECKS)
        self._suspicion_deadlines: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._rosters_left = self.tuning.full_rosters_per_interval
        self._intervals = 0
        self._interval_at: float | None = None
        self._next_tick_at: float | None = None
        self._updates.put(me.vm, me)

    # Events from the service ------------------------------------------------------------

    def next_tick_at(self) -> float:
        """Return the time of the next :meth:`tick`."""
        return self._next_tick_at if self._next_tick_at is not None else 0.0

    def tick(self, now: float) -> list[actions.Action]:
        """Advance the current probe, the suspicion timeouts and the slow probes."""
        out: list[actions.Action] = []
        self._compensate_for_stall(now)
        if self._probe is not None and self._probe.stage is actions.Stage.DIRECT:
            out += self._request_indirect_probes(now, self._probe)
        if self._interval_at is None or now >= self._interval_at:
            out += self._start_interval(now)
        out += self._expire_members(now)
        self._next_tick_at = self._next_deadline(now)
        return out

    def receive(self, now: float, datagram: messages.Datagram) -> list[actions.Action]:
        """Process a datagram of another member, which starts with that member's own record."""
        out: list[actions.Action] = []
        from_roster = isinstance(datagram.body, messages.Roster)
        for received in datagram.members:
            out += self._receive_record(now, received, from_roster)
        for rumor in datagram.rumors:
            out += self.receive_rumor(rumor)
        sender = self.members.get(datagram.sender)
        if sender is not None and sender.vm != self.me.vm:
            out += self._handle_body(sender, datagram.body)
        return out

    def pending_updates(self) -> int:
        """Return the number of updates still to be sent."""
        return len(self._updates)

    def set_version(self, version: int) -> list[actions.Action]:
        """Publish that a later manifest is in force here, to a few members immediately."""
        self._set_own_record(
            msgspec.structs.replace(self.me, manifest_version=version), urgent=False
        )
        return self.announce(messages.Version(version), self.tuning.indirect_probes + 1)

    def announce(self, body: messages.Body, fanout: int) -> list[actions.Action]:
        """Send a message to ``fanout`` random members."""
        chosen = self._sample_alive(fanout, exclude=self.me.vm)
        return [self._prepare_send(vm, body) for vm in chosen]

    def leave(self) -> list[actions.Action]:
        """Announce that this member is leaving."""
        self._set_own_record(msgspec.structs.replace(self.me, state=State.LEAVING))
        return self.announce(messages.Roster(), _LEAVE_FANOUT)

    def receive_rumor(self, rumor: messages.Rumor) -> list[actions.Action]:
        """Process a message to every gateway: deliver it once and forward it."""
        key = (rumor.origin, rumor.number)
        if key in self._seen_rumors:
            return []
        self._seen_rumors[key] = None
        if len(self._seen_rumors) > _MAX_RUMORS:
            self._seen_rumors.popitem(last=False)
        self._rumors.put(key, rumor)
        return [actions.Deliver(rumor.message)]

    # Records ----------------------------------------------------------------------------

    def _set_own_record(self, me: ports.Member, *, urgent: bool = True) -> None:
        self.me = me
        self.members[me.vm] = me
        self._updates.put(me.vm, me, urgent=urgent)

    def _receive_record(
        self, now: float, received: ports.Member, from_roster: bool
    ) -> list[actions.Action]:
        if received.vm == self.me.vm:
            return self._refute_own_record(received)
        known = self.members.get(received.vm)
        verdict = membership.compare_records(known, received)
        if verdict is membership.Verdict.STALE:
            return []
        if verdict is membership.Verdict.RECHECK:
            if received.vm not in self._recheck_queue:
                self._recheck_queue.append(received.vm)
            return []
        forward = not (from_roster and known is None)
        return self._store_record(now, membership.merge_records(known, received, verdict), forward)

    def _refute_own_record(self, received: ports.Member) -> list[actions.Action]:
        me = membership.refute_record(self.me, received)
        if me is self.me:
            return []
        before = self.me
        self._set_own_record(me)
        return [
            actions.MemberChanged(me, before),
            *self.announce(messages.Roster(), self.tuning.indirect_probes),
        ]

    def _store_record(
        self, now: float, member: ports.Member, forward: bool = True
    ) -> list[actions.Action]:
        vm = member.vm
        before = self.members.get(vm)
        self.members[vm] = member
        if before is None:
            self._probe_order.insert(self._rng.randrange(len(self._probe_order) + 1), vm)
        state_changed = before is None or before.state is not member.state
        newer = before is None or before.incarnation != member.incarnation
        if forward:
            self._updates.put(vm, member, urgent=state_changed or newer)
        if state_changed:
            self._start_state_timers(now, member)
        return [actions.MemberChanged(member, before)]

    def _start_state_timers(self, now: float, member: ports.Member) -> None:
        self._suspicion_deadlines.pop(member.vm, None)
        self._dead_since.pop(member.vm, None)
        if member.state is State.SUSPECT:
            wait_s = membership.suspicion_timeout_s(self.tuning, len(self._list_live()))
            self._suspicion_deadlines[member.vm] = now + wait_s
        elif member.state is State.DEAD:
            self._dead_since[member.vm] = now

    def _list_live(self) -> list[str]:
        return [vm for vm, m in self.members.items() if m.state in _PROBED_STATES]

    def _expire_members(self, now: float) -> list[actions.Action]:
        out: list[actions.Action] = []
        for vm in [vm for vm, at in self._suspicion_deadlines.items() if now >= at]:
            out += self._store_record(
                now, msgspec.structs.replace(self.members[vm], state=State.DEAD)
            )
        retention_s = self.tuning.dead_retention_s
        for vm in [vm for vm, at in self._dead_since.items() if now - at > retention_s]:
            del self._dead_since[vm]
            del self.members[vm]
        return out

    # Probing ----------------------------------------------------------------------------

    def _compensate_for_stall(self, now: float) -> None:
        if self._next_tick_at is None or now - self._next_tick_at < self.tuning.stall_threshold_s:
            return
        late_s = now - self._next_tick_at
        self._suspicion_deadlines = {
            vm: at + late_s for vm, at in self._suspicion_deadlines.items()
        }
        self._probe = None

    def _next_deadline(self, now: float) -> float:
        times = [self._interval_at or now, *self._suspicion_deadlines.values()]
        if self._probe is not None and self._probe.stage is actions.Stage.DIRECT:
            times.append(self._probe.sent_at + self.tuning.ack_timeout_s)
        return min(times)

    def _start_interval(self, now: float) -> list[actions.Action]:
        self._interval_at = now + self.tuning.interval_s
        self._rosters_left = self.tuning.full_rosters_per_interval
        self._intervals += 1
        out = self._finish_probe(now)
        target = self._next_probe_target()
        if target is not None:
            number = self._allocate_number()
            self._probe = actions.Probe(target, number, now, actions.Stage.DIRECT)
            out.append(self._prepare_send(target, messages.Ping(number)))
        for _ in range(min(_RECHECKS_PER_INTERVAL, len(self._recheck_queue))):
            out += self._ping_dead(self._recheck_queue.popleft())
        if self._intervals % self.tuning.slow_probe_intervals == 1 or target is None:
            out += self._probe_unreachable()
        if self._intervals in _SYNC_INTERVALS:
            out += self.announce(messages.Join(), 1)
        return out

    def _finish_probe(self, now: float) -> list[actions.Action]:
        probe, self._probe = self._probe, None
        member = self.members.get(probe.vm) if probe is not None else None
        if probe is None or probe.stage is actions.Stage.DONE or member is None:
            return []
        new_state = {State.ALIVE: State.SUSPECT, State.LEAVING: State.DEAD}.get(member.state)
        return (
            self._store_record(now, msgspec.structs.replace(member, state=new_state))
            if new_state
            else []
        )

    def _next_probe_target(self) -> str | None:
        for refilled in (False, True):
            while self._probe_order:
                vm = self._probe_order.pop()
                if vm in self.members and self.members[vm].state in _PROBED_STATES:
                    return vm
            if not refilled:
                self._probe_order = [vm for vm in self._list_live() if vm != self.me.vm]
                self._rng.shuffle(self._probe_order)
        return None

    def _allocate_number(self) -> int:
        self._number += 1
        return self._number

    def _request_indirect_probes(self, now: float, probe: actions.Probe) -> list[actions.Action]:
        if now < probe.sent_at + self.tuning.ack_timeout_s or probe.vm not in self.members:
            return []
        self._probe = dataclasses.replace(probe, stage=actions.Stage.INDIRECT)
        request = messages.ProbeRequest(probe.number, probe.vm)
        relays = self._sample_alive(self.tuning.indirect_probes, exclude=probe.vm)
        direct_ping = self._prepare_send(probe.vm, messages.Ping(probe.number))
        return [direct_ping, *(self._prepare_send(vm, request) for vm in relays)]

    def _sample_alive(self, count: int, exclude: str) -> list[str]:
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
        return [self._prepare_send(vm, messages.Ping(self._allocate_number()))]

    def _probe_unreachable(self) -> list[actions.Action]:
        out: list[actions.Action] = []
        if self._dead_since:
            out += self._ping_dead(self._rng.choice(list(self._dead_since)))
        live_addresses = {self.members[vm].peer_address for vm in self._list_live()}
        unreachable_seeds = [seed for seed in self._seeds if seed not in live_addresses]
        alone = len(live_addresses) <= 1
        chosen_seeds = self._rng.sample(
            unreachable_seeds, min(2 if alone else 1, len(unreachable_seeds))
        )
        return out + [actions.Send(seed, messages.Join(), (self.me,)) for seed in chosen_seeds]

    # Messages ---------------------------------------------------------------------------

    def _handle_body(self, sender: ports.Member, body: messages.Body) -> list[actions.Action]:
        match body:
            case messages.Ping(number):
                return [self._prepare_send(sender.vm, messages.Ack(number))]
            case messages.Ack(number):
                return self._handle_ack(number)
            case messages.ProbeRequest(number, vm):
                return self._relay_ping(sender, number, vm)
            case messages.Join():
                return self._send_roster(sender)
            case _:
                return []

    def _handle_ack(self, number: int) -> list[actions.Action]:
        if self._probe is not None and self._probe.number == number:
            self._probe = dataclasses.replace(self._probe, stage=actions.Stage.DONE)
        relayed = self._relayed.pop(number, None)
        if relayed is None:
            return []
        return [
            actions.Send(
                relayed.address, messages.Ack(relayed.number), self._select_piggyback("", 0)
            )
        ]

    def _relay_ping(self, origin: ports.Member, number: int, vm: str) -> list[actions.Action]:
        if vm not in self.members:
            return []
        own_number = self._allocate_number()
        self._relayed[own_number] = actions.RelayedPing(origin.peer_address, number)
        if len(self._relayed) > _MAX_RELAYED_PINGS:
            self._relayed.popitem(last=False)
        return [self._prepare_send(vm, messages.Ping(own_number))]

    def _send_roster(self, sender: ports.Member) -> list[actions.Action]:
        out: list[actions.Action] = []
        part: list[ports.Member] = [self.me]
        room = codec.MEMBERS_BUDGET_BYTES - codec.estimate_member_bytes(self.me)
        left = room
        others = list(self.members.values())
        if self._rosters_left > 0:
            self._rosters_left -= 1
        else:
            others = self._rng.sample(others, min(len(others), _PARTIAL_ROSTER_SIZE))
        for member in others:
            if member.state is State.DEAD or member.vm in (self.me.vm, sender.vm):
                continue
            size = codec.estimate_member_bytes(member)
            if size > left:
                out.append(actions.Send(sender.peer_address, messages.Roster(), tuple(part)))
                part, left = [self.me], room
            part.append(member)
            left -= size
        out.append(actions.Send(sender.peer_address, messages.Roster(), tuple(part)))
        return out

    def _prepare_send(self, vm: str, body: messages.Body) -> actions.Send:
        sends = membership.max_transmissions(self.tuning, len(self.members))
        rumors = self._rumors.take(codec.RUMORS_BUDGET_BYTES, codec.estimate_rumor_bytes, 2 * sends)
        taken_bytes = sum(map(codec.estimate_rumor_bytes, rumors))
        return actions.Send(
            self.members[vm].peer_address, body, self._select_piggyback(vm, taken_bytes), rumors
        )

    def _select_piggyback(self, vm: str, taken_bytes: int) -> tuple[ports.Member, ...]:
        """Choose records: own, the receiver's if it is not alive, updates, some to refresh."""
        first = [self.me]
        target = self.members.get(vm)
        if target is not None and target.state not in (State.ALIVE, State.LEAVING):
            first.append(target)
        room = (
            codec.MEMBERS_BUDGET_BYTES - taken_bytes - sum(map(codec.estimate_member_bytes, first))
        )
        sends = membership.max_transmissions(self.tuning, len(self.members))
        updates = self._updates.take(room, codec.estimate_member_bytes, sends)
        room -= sum(map(codec.estimate_member_bytes, updates))
        chosen = {m.vm: m for m in (*first, *updates)}
        for member in self._records_to_refresh():
            room -= codec.estimate_member_bytes(member)
            if room >= 0:
                chosen.setdefault(member.vm, member)
        return tuple(chosen.values())

    def _records_to_refresh(self) -> Sequence[ports.Member]:
        if not self._refresh_order:
            self._refresh_order = self._list_live()
            self._rng.shuffle(self._refresh_order)
        taken = [
            self._refresh_order.pop()
            for _ in range(min(_REFRESHED_RECORDS_PER_MESSAGE, len(self._refresh_order)))
        ]
        return [self.members[vm] for vm in taken if vm in self.members]
