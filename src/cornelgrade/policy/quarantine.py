"""Which requests crash engines: suspicion, evidence and the final verdict.

A request in flight on a crashed engine becomes a suspect and runs alone from then on. A crash
counts against a request if nothing else was in flight there, or if it was the only suspect among
what was in flight, at any VM: a neighbour that is innocent is cleared by its next answer, while
the culprit is there at every crash.
"""

import dataclasses
import enum
import hashlib
import itertools

MAX_CRASHES = 2
MAX_PEER_COUNTS = 8
SUSPECT_S = 120.0
CONDEMNED_S = 3_600.0
SETTLE_S = 0.25
REPORT_MATCH_S = 2.0
UNSTABLE_WINDOW_S = 60.0


def fingerprint(path: str, body: bytes) -> str:
    """Give the identity of a call, the same online and in batch however often it is sent."""
    return hashlib.blake2b(path.encode() + b"\0" + body, digest_size=16).hexdigest()


class Standing(enum.Enum):
    """How a request stands; ``PENDING`` would be condemned if its last evidence holds."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    PENDING = "pending"
    CONDEMNED = "condemned"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """What one VM had in flight on an upstream when that crashed.

    :param at_s: monotonic time at which the crash was noticed or heard of.
    :param in_flight: number of different requests.
    :param suspects: those among them that were suspects before.
    :param fingerprint: the only suspect or the only request; empty if there are several.
    :param own: noticed by this process, not heard of.
    """

    upstream: str
    at_s: float
    in_flight: int
    suspects: int
    fingerprint: str = ""
    own: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """One crash as it speaks against one request.

    :param was_suspect: the request was a suspect before this crash.
    :param others: other requests in flight there, at any VM.
    :param other_suspects: suspects among the others.
    :param unstable: the upstream had crashed without this request shortly before.
    """

    upstream: str
    at_s: float
    was_suspect: bool
    others: int
    other_suspects: int
    unstable: bool = False

    @property
    def counts(self) -> bool:
        """Whether the request caused the crash, as far as this evidence goes."""
        return self.other_suspects == 0 and (self.was_suspect or self.others == 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """Crashes that one other process counts against a request from its own evidence."""

    source: str
    crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What is known of one request.

    :param heard: one count for each other process.
    :param reported: upstreams whose crash was noted since the request was last let run; a second
        report of the same crash is no second crash.
    """

    evidence: tuple[Evidence, ...] = ()
    heard: tuple[Heard, ...] = ()
    reported: frozenset[str] = frozenset()
    expires_at_s: float = 0.0


def blame(entry: Entry | None, fingerprint: str, crash: Crash, earlier: tuple[Crash, ...]) -> Entry:
    """Note a crash of this VM's own requests against one that was in flight.

    :param earlier: recent crashes of the same upstream, peers' reports included.
    """
    was_suspect = entry is not None
    entry = entry or Entry()
    if crash.upstream in entry.reported:
        return entry
    evidence = Evidence(
        upstream=crash.upstream,
        at_s=crash.at_s,
        was_suspect=was_suspect,
        others=crash.in_flight - 1,
        other_suspects=crash.suspects - was_suspect,
        unstable=_crashed_without_request(entry, crash, earlier),
    )
    for peer_crash in earlier:
        if not peer_crash.own and _is_same_crash(peer_crash, crash, earlier):
            evidence = _add_peer_report(evidence, fingerprint, peer_crash)
    return dataclasses.replace(
        entry,
        evidence=(*entry.evidence, evidence)[-2 * MAX_CRASHES :],
        reported=entry.reported | {crash.upstream},
        expires_at_s=max(entry.expires_at_s, crash.at_s + SUSPECT_S),
    )


def _is_same_crash(peer_crash: Crash, crash: Crash, earlier: tuple[Crash, ...]) -> bool:
    """Tell whether a peer's report is about this crash and no earlier one of the upstream."""
    apart_s = abs(peer_crash.at_s - crash.at_s)
    nearer = (old.own and abs(peer_crash.at_s - old.at_s) < apart_s for old in earlier)
    return apart_s <= REPORT_MATCH_S and not any(nearer)


def _crashed_without_request(entry: Entry, crash: Crash, earlier: tuple[Crash, ...]) -> bool:
    """Tell whether the upstream crashed shortly before without the entry's request."""
    known_s = {e.at_s for e in entry.evidence if e.upstream == crash.upstream}
    return any(
        old.own and old.at_s not in known_s and crash.at_s - old.at_s <= UNSTABLE_WINDOW_S
        for old in earlier
    )


def _add_peer_report(evidence: Evidence, fingerprint: str, peer_crash: Crash) -> Evidence:
    """Add what another VM had in flight; the same request there is no other."""
    same_request = peer_crash.fingerprint == fingerprint
    return dataclasses.replace(
        evidence,
        others=evidence.others + peer_crash.in_flight - same_request,
        other_suspects=evidence.other_suspects + max(0, peer_crash.suspects - same_request),
    )


def hear_crash(entry: Entry, fingerprint: str, peer_crash: Crash) -> Entry:
    """Add a peer's report to the evidence from the same crash, the nearest in time."""
    here = [e for e in entry.evidence if e.upstream == peer_crash.upstream]
    nearest = min(here, key=lambda e: abs(e.at_s - peer_crash.at_s), default=None)
    if nearest is None or abs(nearest.at_s - peer_crash.at_s) > REPORT_MATCH_S:
        return entry
    added = _add_peer_report(nearest, fingerprint, peer_crash)
    evidence = tuple(added if e is nearest else e for e in entry.evidence)
    return dataclasses.replace(entry, evidence=evidence)


def hear_count(entry: Entry | None, peer_count: Heard, expires_at_s: float) -> Entry:
    """Take over what another process counts; its count never falls."""
    entry = entry or Entry()
    counts = {heard.source: heard.crashes for heard in entry.heard}
    counts[peer_count.source] = max(peer_count.crashes, counts.get(peer_count.source, 0))
    newest = list(itertools.starmap(Heard, counts.items()))[-MAX_PEER_COUNTS:]
    return dataclasses.replace(
        entry,
        heard=tuple(newest),
        expires_at_s=max(entry.expires_at_s, expires_at_s),
    )


def let_run(entry: Entry) -> Entry:
    """Note that the request is let run again, so that the next report is a new crash."""
    return dataclasses.replace(entry, reported=frozenset())


def own_crashes(entry: Entry) -> int:
    """Count the crashes that the request caused, from this process's evidence.

    On an upstream that also crashes without it, two further crashes count as one.
    """
    counted = [e for e in entry.evidence if e.counts]
    stable = sum(not e.unstable for e in counted)
    upstreams = len({e.upstream for e in counted})
    return max(upstreams, stable + (len(counted) - stable) // 2)


def crashes(entry: Entry) -> int:
    """Count the crashes that the request caused, from all processes' evidence."""
    return own_crashes(entry) + sum(heard.crashes for heard in entry.heard)


def judge(entry: Entry | None, now_s: float) -> Standing:
    """Say how a request stands."""
    if entry is None or entry.expires_at_s <= now_s:
        return Standing.CLEAR
    if crashes(entry) < MAX_CRASHES:
        return Standing.SUSPECT
    return Standing.PENDING if settles_at_s(entry) > now_s else Standing.CONDEMNED


def settles_at_s(entry: Entry) -> float:
    """Give the time from which peers' reports of the last crash are in."""
    return max((e.at_s + SETTLE_S for e in entry.evidence), default=0.0)
