"""Rules of SWIM-like membership: which record of a member takes precedence, and timeouts.

Source: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.
"""

import dataclasses
import enum
import math

import msgspec

from cornelgrade.services import ports

State = ports.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of the protocol.

    :param interval_s: one member is probed per interval.
    :param ack_timeout_s: time without an ack after which other members are asked to probe too.
    :param indirect_probes: number of other members asked.
    :param suspicion_intervals_per_decade: suspicion timeout, in intervals, for each tenfold number
        of members.
    :param min_suspicion_s: shortest suspicion timeout.
    :param min_transmissions: how often each member sends an update, in a fleet of any size.
    :param transmissions_per_doubling: additional sends for each doubling of the members.
    :param full_rosters_per_interval: full rosters sent per interval; further requests get a sample.
    :param slow_probe_intervals: intervals between probes of a dead member or a seed without a live
        member.
    :param stall_threshold_s: a tick that is later than this suspects no member, since this process
        was stopped or overloaded and acks may be unread.
    :param dead_retention_s: how long a dead member is kept and probed at the slow rate.
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


def suspicion_timeout_s(tuning: Tuning, members: int) -> float:
    """Return how long a suspect has to refute; grows with the logarithm of the members."""
    decades = math.log10(max(members, 1) + 1)
    return max(
        tuning.min_suspicion_s, tuning.suspicion_intervals_per_decade * tuning.interval_s * decades
    )


def max_transmissions(tuning: Tuning, members: int) -> int:
    """Return how often each member sends one update."""
    doublings = math.log2(max(members, 1) + 1)
    return tuning.min_transmissions + math.ceil(tuning.transmissions_per_doubling * doublings)


class Verdict(enum.Enum):
    """What to do with a received record."""

    STALE = "old"
    NEWER = "news"
    SUSPECT = "suspect"
    RECHECK = "recheck"


_SAME_INCARNATION: dict[tuple[State, State], Verdict] = {
    (State.ALIVE, State.SUSPECT): Verdict.NEWER,
    (State.ALIVE, State.LEAVING): Verdict.NEWER,
    (State.ALIVE, State.DEAD): Verdict.SUSPECT,
    (State.SUSPECT, State.LEAVING): Verdict.NEWER,
    (State.SUSPECT, State.DEAD): Verdict.NEWER,
    (State.LEAVING, State.DEAD): Verdict.NEWER,
    (State.DEAD, State.ALIVE): Verdict.RECHECK,
}


def compare_records(known: ports.Member | None, received: ports.Member) -> Verdict:
    """Compare a received record with the known one.

    A member that is alive here and reported dead only becomes suspect, so that the two sides of a
    healed partition do not declare each other dead. A member that is dead here and reported alive
    is probed again. A dead member that is not known is ignored.
    """
    if known is None:
        return Verdict.STALE if received.state is State.DEAD else Verdict.NEWER
    if received.incarnation < known.incarnation:
        return Verdict.STALE
    if received.incarnation > known.incarnation:
        return Verdict.SUSPECT if received.state is State.DEAD else Verdict.NEWER
    if received.state is known.state:
        newer = received.manifest_version > known.manifest_version
        return Verdict.NEWER if newer else Verdict.STALE
    return _SAME_INCARNATION.get((known.state, received.state), Verdict.STALE)


def merge_records(
    known: ports.Member | None, received: ports.Member, verdict: Verdict
) -> ports.Member:
    """Return the record to keep after a verdict of ``NEWER`` or ``SUSPECT``."""
    state = State.SUSPECT if verdict is Verdict.SUSPECT else received.state
    version = received.manifest_version
    if known is not None and known.incarnation == received.incarnation:
        version = max(version, known.manifest_version)
    return msgspec.structs.replace(received, state=state, manifest_version=version)


def refute_record(me: ports.Member, received: ports.Member) -> ports.Member:
    """Return the own record, with a new incarnation if a received one must be refuted."""
    worse = received.state is not me.state and received.state is not State.ALIVE
    if received.incarnation < me.incarnation or (
        received.incarnation == me.incarnation and not worse
    ):
        return me
    if received.incarnation == me.incarnation and me.state is State.LEAVING:
        return me
    return msgspec.structs.replace(me, incarnation=received.incarnation + 1)
