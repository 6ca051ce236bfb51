"""Detection of requests that crash engines.

The evidence on a request is that on its traits: its text, and the parts of its prompt that other
requests share (:mod:`cornelgrade.policy.request_traits`). One rule judges each trait by the crashes
with it in flight and the completions of requests that have it; below, "request" stands for any
trait.

A request in flight on an engine that crashes becomes a suspect and runs alone from then on. A crash
counts against a request if, over all VMs, it was the only request in flight there or the only
suspect among them. The next response clears a request that did not cause the crash, whereas the one
that did is in flight at every crash. A request that was in flight at several crashes in a row is
quarantined even if no crash counts against it, because suspects of several VMs may have met.

Of the traits of one request, a crash counts against the narrowest suspect only: its text, else the
part with the most crashes, else the later part. So a part is blamed if requests of different texts
crash engines, and what they share with requests that complete stays clear. Crashes that a
quarantined part explains no longer count against other traits.

Callers may send the same text, so that their requests can't be told apart. If several of them were
in flight at a crash beside other requests, the crash says little about the text: with many callers,
it is in flight at most upstreams, whichever request crashes them. The same goes for a part of
several requests.

A completion clears a request of all crashes before it. A request that completed recently becomes a
suspect only if a later crash is attributed to it or it was in flight at several later crashes; for
some seconds nothing is attributed to it. A popular text completes again meanwhile, whereas one that
has begun to crash engines does not.
"""

import enum
from collections.abc import Container, Mapping

import msgspec

from cornelgrade.policy import crash_sightings, request_traits

MAX_CRASHES = 2
# The same for a part of prompts, with which many requests are refused. Operators allow it five
# crashes.
MAX_PART_CRASHES = 3
# Crashes with a request in flight, counted or not. Operators allow a request three crashes and
# three retries after them.
MAX_CRASHES_SEEN = 6
# Crashes since a recent completion with the request in flight that make it no suspect yet.
MAX_CRASHES_AFTER_COMPLETION = 3
# Crashes with several copies of a request in flight beside others that weigh as much as one.
SHARED_CRASHES_AS_ONE = 4
# Pause before a quarantined batch item runs again. Engines are back some seconds after a crash.
PROBATION_S = 8.0
MAX_EVIDENCE = MAX_CRASHES_SEEN * SHARED_CRASHES_AS_ONE
MAX_PEER_COUNTS = 8
# Sightings in a report, so that it fits into a datagram beside others.
MAX_SIGHTINGS_SENT = MAX_CRASHES_SEEN
SUSPECT_S = 120.0
QUARANTINE_S = 3_600.0
REPORT_WAIT_S = 0.25
REPORT_MATCH_S = 2.0
UNSTABLE_WINDOW_S = 60.0


class RequestStatus(enum.Enum):
    """Status of a request.

    ``PENDING``: it will be quarantined unless peers' reports change the evidence.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    PENDING = "pending"
    QUARANTINED = "condemned"


class Crash(msgspec.Struct, frozen=True):
    """An upstream's crash as seen by one VM, with the requests that the VM had in flight there.

    :param at_s: monotonic time at which the crash was detected or a peer's report received.
    :param in_flight: number of distinct requests in flight.
    :param suspects: number of them that were suspects before.
    :param fingerprint: the only suspect or the only request; empty if there are several.
    :param own: detected by this process rather than reported by a peer.
    :param source: id of the process that detected it.
    :param started_ms: Unix time of the upstream's start in milliseconds; 0 if unknown.
    """

    upstream: str
    at_s: float
    in_flight: int
    suspects: int
    fingerprint: str = ""
    own: bool = True
    source: str = ""
    started_ms: int = 0


class Evidence(msgspec.Struct, frozen=True):
    """One crash with one request in flight.

    :param was_suspect: the request was a suspect before this crash.
    :param others: other requests in flight there, from all VMs.
    :param other_suspects: suspects among the others.
    :param unstable: the upstream had crashed without this request shortly before.
    :param shared: the request was in flight there more than once; or it is a part, and a narrower
        suspect part was in flight with it.
    :param started_ms: Unix time of the upstream's start in milliseconds; 0 if unknown.
    """

    upstream: str
    at_s: float
    was_suspect: bool
    others: int
    other_suspects: int
    unstable: bool = False
    shared: bool = False
    started_ms: int = 0

    @property
    def weak(self) -> bool:
        """Whether the request of several callers was in flight beside other requests."""
        return self.shared and self.others > 0

    @property
    def counts(self) -> bool:
        """Whether this evidence attributes the crash to the request."""
        alone = self.other_suspects == 0 and (self.was_suspect or self.others == 0)
        return alone and not self.weak

    def sighting(self, *, attributed: bool) -> crash_sightings.Sighting:
        """Return the crash as other processes may have seen it too."""
        return crash_sightings.Sighting(
            crash_sightings.identify_crash(self.upstream, self.started_ms),
            self.at_s,
            exact=bool(self.started_ms),
            attributed=attributed,
            weak=self.weak,
        )


class PeerCount(msgspec.Struct, frozen=True):
    """Crashes that another process reports for a request, from its own evidence.

    :param crashes: crashes that it attributes to the request.
    :param seen: crashes with the request in flight.
    :param sightings: the newest of these crashes; empty if the process tells only numbers.
    """

    source: str
    crashes: int
    seen: int = 0
    sightings: tuple[crash_sightings.Sighting, ...] = ()


class Entry(msgspec.Struct, frozen=True):
    """Evidence on one request.

    :param peer_counts: counts of other processes, one for each.
    :param reported: upstreams whose crash was recorded since the request was last allowed to run; a
        second report of the same crash is not another crash.
    :param last_crash_s: when the last crash was detected or reported by a peer.
    """

    evidence: tuple[Evidence, ...] = ()
    peer_counts: tuple[PeerCount, ...] = ()
    reported: frozenset[str] = frozenset()
    expires_at_s: float = 0.0
    last_crash_s: float = 0.0


def record_crash(
    entry: Entry | None,
    fingerprint: str,
    crash: Crash,
    earlier: tuple[Crash, ...],
    *,
    others: int | None = None,
    shared: bool = False,
    narrowest: bool = True,
    completed: bool = False,
    just_completed: bool = False,
) -> Entry:
    """Record a crash detected by this VM as evidence on a request that was in flight.

    :param others: other requests in flight from this VM, by default all but one.
    :param narrowest: whether no narrower trait of the same request is a suspect.

    :param earlier: recent crashes of the same upstream, including those reported by peers.
    :param shared: whether the request was in flight more than once from this VM.
    :param completed: as in :func:`classify_request`.
    :param just_completed: as in :func:`classify_request`.
    """
    status = classify_request(entry, crash.at_s, completed=completed, just_completed=just_completed)
    was_suspect = narrowest and status is not RequestStatus.CLEAR
    entry = entry or Entry()
    if crash.upstream in entry.reported:
        return entry
    evidence = Evidence(
        upstream=crash.upstream,
        at_s=crash.at_s,
        was_suspect=was_suspect,
        others=crash.in_flight - 1 if others is None else others,
        other_suspects=crash.suspects - was_suspect,
        unstable=_crashed_without_request(entry, crash, earlier),
        shared=shared,
        started_ms=crash.started_ms,
    )
    for peer_crash in earlier:
        if not peer_crash.own and _is_same_crash(peer_crash, crash, earlier):
            evidence = _add_peer_report(evidence, fingerprint, peer_crash)
    return msgspec.structs.replace(
        entry,
        evidence=(*entry.evidence, evidence)[-MAX_EVIDENCE:],
        reported=entry.reported | {crash.upstream},
        expires_at_s=max(entry.expires_at_s, crash.at_s + SUSPECT_S),
        last_crash_s=crash.at_s,
    )


def _is_same_crash(peer_crash: Crash, crash: Crash, earlier: tuple[Crash, ...]) -> bool:
    """Return whether a peer's report is about this crash rather than an earlier one."""
    apart_s = abs(peer_crash.at_s - crash.at_s)
    nearer = (old.own and abs(peer_crash.at_s - old.at_s) < apart_s for old in earlier)
    return apart_s <= REPORT_MATCH_S and not any(nearer)


def _crashed_without_request(entry: Entry, crash: Crash, earlier: tuple[Crash, ...]) -> bool:
    """Return whether the upstream crashed shortly before without the request in flight."""
    known_s = {e.at_s for e in entry.evidence if e.upstream == crash.upstream}
    return any(
        old.own and old.at_s not in known_s and crash.at_s - old.at_s <= UNSTABLE_WINDOW_S
        for old in earlier
    )


def _add_peer_report(evidence: Evidence, fingerprint: str, peer_crash: Crash) -> Evidence:
    """Add the requests that another VM had in flight, except for the same request."""
    same_request = peer_crash.fingerprint == fingerprint
    return msgspec.structs.replace(
        evidence,
        others=evidence.others + peer_crash.in_flight - same_request,
        other_suspects=evidence.other_suspects + max(0, peer_crash.suspects - same_request),
        shared=evidence.shared or same_request,
    )


def add_peer_crash(entry: Entry, fingerprint: str, peer_crash: Crash) -> Entry:
    """Add a peer's report to the evidence of the same crash, the nearest in time."""
    here = [e for e in entry.evidence if e.upstream == peer_crash.upstream]
    nearest = min(here, key=lambda e: abs(e.at_s - peer_crash.at_s), default=None)
    if nearest is None or abs(nearest.at_s - peer_crash.at_s) > REPORT_MATCH_S:
        return entry
    added = _add_peer_report(nearest, fingerprint, peer_crash)
    evidence = tuple(added if e is nearest else e for e in entry.evidence)
    return msgspec.structs.replace(entry, evidence=evidence)


def merge_peer_count(
    entry: Entry | None, peer_count: PeerCount, expires_at_s: float, now_s: float
) -> Entry:
    """Store another process's counts, which never decrease.

    The same counts come again and again; only new crashes move the time of the last one.
    """
    entry = entry or Entry()
    counts = {count.source: count for count in entry.peer_counts}
    known = counts.get(peer_count.source, PeerCount(peer_count.source, 0))
    counts[peer_count.source] = PeerCount(
        peer_count.source,
        max(peer_count.crashes, known.crashes),
        max(peer_count.seen, known.seen),
        max(peer_count.sightings, known.sightings, key=len),
    )
    grew = (
        peer_count.crashes > known.crashes
        or peer_count.seen > known.seen
        or len(peer_count.sightings) > len(known.sightings)
    )
    return msgspec.structs.replace(
        entry,
        peer_counts=tuple(counts.values())[-MAX_PEER_COUNTS:],
        expires_at_s=max(entry.expires_at_s, expires_at_s),
        last_crash_s=now_s if grew else entry.last_crash_s,
    )


def clear_reported(entry: Entry) -> Entry:
    """Clear the reported crashes, so that the next report counts as a new crash."""
    return msgspec.structs.replace(entry, reported=frozenset())


def _own_sightings(entry: Entry) -> tuple[crash_sightings.Sighting, ...]:
    """Return the crashes of this process's evidence, those attributed to the request first.

    On an upstream that also crashes without it, two further crashes count as one.
    """
    counted = [e for e in entry.evidence if e.counts]
    first = list({e.upstream: e for e in reversed(counted)}.values())
    further = [e for e in counted if not any(e is known for known in first)]
    stable = sum(not e.unstable for e in counted)
    attributed = max(len(first), stable + (len(counted) - stable) // 2)
    ranked = (*first, *sorted(further, key=lambda e: e.unstable))
    rest = (*ranked[attributed:], *(e for e in entry.evidence if not e.counts))
    return (
        *(e.sighting(attributed=True) for e in ranked[:attributed]),
        *(e.sighting(attributed=False) for e in rest),
    )


def _all_sightings(entry: Entry) -> tuple[crash_sightings.Sighting, ...]:
    peers = (sighting for count in entry.peer_counts for sighting in count.sightings)
    return crash_sightings.merge_sightings(_own_sightings(entry), peers)


def _count_seen(sightings: tuple[crash_sightings.Sighting, ...]) -> int:
    weak = sum(sighting.weak for sighting in sightings)
    return len(sightings) - weak + weak // SHARED_CRASHES_AS_ONE


def _count_attributed(sightings: tuple[crash_sightings.Sighting, ...]) -> int:
    return sum(sighting.attributed for sighting in sightings)


def count_own_crashes(entry: Entry) -> int:
    """Count the crashes attributed to the request by this process's evidence."""
    return _count_attributed(_own_sightings(entry))


def crashes(entry: Entry) -> int:
    """Count the crashes attributed to the request by the evidence of all processes."""
    counts = [count.crashes for count in entry.peer_counts]
    unnamed = sum(count.crashes for count in entry.peer_counts if not count.sightings)
    return max(_count_attributed(_all_sightings(entry)) + unnamed, *counts, 0)


def count_own_crashes_seen(entry: Entry) -> int:
    """Count the crashes in this process's evidence."""
    return _count_seen(_own_sightings(entry))


def crashes_seen(entry: Entry) -> int:
    """Count the crashes with the request in flight, over all processes."""
    counts = [count.seen for count in entry.peer_counts]
    unnamed = sum(count.seen for count in entry.peer_counts if not count.sightings)
    return max(_count_seen(_all_sightings(entry)) + unnamed, *counts, 0)


def sightings_to_keep(entry: Entry, now_s: float) -> tuple[crash_sightings.Sighting, ...]:
    """Return the crashes that must not be forgotten if all processes restart.

    None if there is a single one and nothing attributes it to the request: every request that is in
    flight at a crash has that much against it, and most complete soon.
    """
    peers = (sighting for count in entry.peer_counts for sighting in count.sightings)
    sightings = crash_sightings.merge_sightings(_settled_sightings(entry, now_s), peers)
    return sightings if len(sightings) > 1 or _count_attributed(sightings) else ()


def sightings_to_send(entry: Entry, now_s: float) -> tuple[crash_sightings.Sighting, ...]:
    """Return this process's newest sightings."""
    return _settled_sightings(entry, now_s)[:MAX_SIGHTINGS_SENT]


def _settled_sightings(entry: Entry, now_s: float) -> tuple[crash_sightings.Sighting, ...]:
    """Return this process's sightings; until peers' reports should have arrived, unattributed."""
    sightings = _own_sightings(entry)
    if decided_at_s(entry) <= now_s:
        return sightings
    return tuple(msgspec.structs.replace(s, attributed=False) for s in sightings)


def pick_suspect(fingerprint: str, entries: Mapping[str, Entry], suspects: Container[str]) -> str:
    """Return the narrowest suspect among a request's traits, empty if none is a suspect."""
    if fingerprint in suspects:
        return str(fingerprint)
    return pick_suspect_part(fingerprint, entries, suspects)


def pick_suspect_part(
    fingerprint: str, entries: Mapping[str, Entry], suspects: Container[str]
) -> str:
    """Return the narrowest suspect among the parts of a request, empty if none is a suspect."""
    parts = [part for part in request_traits.list_parts(fingerprint) if part in suspects]
    # Later parts are shared by fewer requests; of several maxima, max() returns the first.
    return max(reversed(parts), key=lambda part: crashes_seen(entries[part]), default="")


def max_crashes(trait: str) -> int:
    """Return how many attributed crashes quarantine a request or part."""
    return MAX_PART_CRASHES if request_traits.is_part(trait) else MAX_CRASHES


def classify_request(
    entry: Entry | None,
    now_s: float,
    *,
    limit: int = MAX_CRASHES,
    completed: bool = False,
    just_completed: bool = False,
) -> RequestStatus:
    """Return the status of a request.

    :param limit: attributed crashes that quarantine it, see :func:`max_crashes`.
    :param completed: whether the request completed recently, before the crashes of its entry.
    :param just_completed: whether that was moments ago; then no crash is attributed to it.
    """
    if entry is None or entry.expires_at_s <= now_s:
        return RequestStatus.CLEAR
    attributed, seen = 0 if just_completed else crashes(entry), crashes_seen(entry)
    if attributed < limit and seen < MAX_CRASHES_SEEN:
        unlikely = completed and not attributed and seen <= MAX_CRASHES_AFTER_COMPLETION
        return RequestStatus.CLEAR if unlikely else RequestStatus.SUSPECT
    return RequestStatus.PENDING if decided_at_s(entry) > now_s else RequestStatus.QUARANTINED


def is_explained(entry: Entry, by: Entry) -> bool:
    """Return whether a trait was in flight only at crashes that another trait explains better."""
    known = _all_sightings(by)
    return crashes(entry) < crashes(by) and all(
        any(sighting.is_same_crash(other) for other in known) for sighting in _all_sightings(entry)
    )


def decided_at_s(entry: Entry) -> float:
    """Return the time by which peers' reports of the last crash should have arrived."""
    return max((e.at_s + REPORT_WAIT_S for e in entry.evidence), default=0.0)


def probation_ends_at_s(entry: Entry) -> float:
    """Return when a quarantined batch item may run once more.

    An item has no final error before its time to live ends. The pause doesn't grow with the number
    of crashes: an item in flight at many crashes by chance is as much owed as any other.
    """
    return entry.last_crash_s + PROBATION_S
