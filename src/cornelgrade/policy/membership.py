"""Rules of SWIM-like membership: which record of a member wins, and how long things take.

Source: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.
"""

import dataclasses
import enum
import math

from cornelgrade.services import ports

State = ports.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Bounds of the protocol.

    :param interval_s: one member is probed each interval.
    :param ack_timeout_s: after it, others are asked to probe too.
    :param relays: how many others are asked.
    :param suspicion_factor: intervals of suspicion for each decade of members.
    :param min_suspicion_s: shortest suspicion.
    :param min_retransmits: sends of one update by each member that has it, in any fleet.
    :param retransmit_factor: further sends for each doubling of members.
    :param rosters: whole rosters given in an interval; further askers get a part of one.
    :param slow_every: intervals between probes of a dead member or a silent seed.
    :param stall_s: a tick later than this judges nobody: this process stood still or is
        overloaded, and answers may lie unread.
    :param forget_dead_s: a dead member is kept and slowly probed for so long.
    """

    interval_s: float = 0.5
    ack_timeout_s: float = 0.2
    indirect_probes: int = 3
    suspicion_intervals_per_decade: float = 6.0
    min_suspicion_s: float = 4.0
    min_transmissions: int = 4
    transmissions_per_doubling: float = 1.0
    full_rosters_per_interval: int = 8
    slow_probe_intervals: int = 4
    stall_threshold_s: float = 0.1
    dead_retention_s: float = 86_400.0


def suspicion_s(tuning: Tuning, members: int) -> float:
    """Give how long a suspect may refute; grows with the logarithm of the members."""
    decades = math.log10(max(members, 1) + 1)
    return max(
        tuning.min_suspicion_s, tuning.suspicion_intervals_per_decade * tuning.interval_s * decades
    )


def retransmits(tuning: Tuning, members: int) -> int:
    """Give how often one update is sent by each member that has it."""
    doublings = math.log2(max(members, 1) + 1)
    return tuning.min_transmissions + math.ceil(tuning.transmissions_per_doubling * doublings)


class Verdict(enum.Enum):
    """What to do with a record that was heard."""

    OLD = "old"
    NEWS = "news"
    SUSPECT = "suspect"
    RECHECK = "recheck"


_SAME_INCARNATION: dict[tuple[State, State], Verdict] = {
    (State.ALIVE, State.SUSPECT): Verdict.NEWS,
    (State.ALIVE, State.LEAVING): Verdict.NEWS,
    (State.ALIVE, State.DEAD): Verdict.SUSPECT,
    (State.SUSPECT, State.LEAVING): Verdict.NEWS,
    (State.SUSPECT, State.DEAD): Verdict.NEWS,
    (State.LEAVING, State.DEAD): Verdict.NEWS,
    (State.DEAD, State.ALIVE): Verdict.RECHECK,
}


def judge(known: ports.Member | None, received: ports.Member) -> Verdict:
    """Compare a record that was heard with the known one.

    A death that was found elsewhere only makes a suspect of a member that is alive here, so
    that the two sides of a healed cut do not bury each other. A member that is dead here and
    alive elsewhere is probed again. An unknown dead member is not taken in.
    """
    if known is None:
        return Verdict.OLD if received.state is State.DEAD else Verdict.NEWS
    if received.incarnation < known.incarnation:
        return Verdict.OLD
    if received.incarnation > known.incarnation:
        return Verdict.SUSPECT if received.state is State.DEAD else Verdict.NEWS
    if received.state is known.state:
        newer = received.manifest_version > known.manifest_version
        return Verdict.NEWS if newer else Verdict.OLD
    return _SAME_INCARNATION.get((known.state, received.state), Verdict.OLD)


def merged(known: ports.Member | None, received: ports.Member, verdict: Verdict) -> ports.Member:
    """Give the record to keep after a verdict of NEWS or SUSPECT."""
    state = State.SUSPECT if verdict is Verdict.SUSPECT else received.state
    version = received.manifest_version
    if known is not None and known.incarnation == received.incarnation:
        version = max(version, known.manifest_version)
    return dataclasses.replace(received, state=state, manifest_version=version)


def refuted(me: ports.Member, received: ports.Member) -> ports.Member:
    """Answer a record about oneself: a new incarnation if it says anything worse than true."""
    worse = received.state is not me.state and received.state is not State.ALIVE
    if received.incarnation < me.incarnation or (
        received.incarnation == me.incarnation and not worse
    ):
        return me
    if received.incarnation == me.incarnation and me.state is State.LEAVING:
        return me
    return dataclasses.replace(me, incarnation=received.incarnation + 1)
