"""The service ``quarantine``: isolates requests that crash engines.

The rules are in :mod:`cornelgrade.policy.quarantine`. This service stores a bounded number of
entries and exchanges them between VMs. It runs in every gateway and worker.
"""

import collections
import secrets
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec
import trio

from cornelgrade import kernel, logs
from cornelgrade.policy import crash_sightings, quarantine, request_traits
from cornelgrade.services import _subscriptions, ports

NAME = "quarantine"
MAX_ENTRIES = 2_048
MAX_CRASHES_KEPT = 256
MAX_COMPLETED = 2_048
# How long a completion speaks for a request. Callers often send the same short text.
COMPLETED_TTL_S = 120.0
# How long nothing is attributed to a request after a completion: reports of what else was in flight
# at a crash may come late, and a popular text completes again within this time.
JUST_COMPLETED_S = 3.0
MAX_ANNOUNCED_PER_CRASH = 16
MAX_DIRECT_PEERS = 16
# Source of the counts of requests that were quarantined before this process started.
RESTORED_SOURCE = "restored"
# Source of crashes that were stored before this process started.
STORED_SOURCE = "stored"
_NOT_RESENT = frozenset((RESTORED_SOURCE, STORED_SOURCE))
T = TypeVar("T")

_CLEAR = ports.Verdict.CLEAR
# The first status that one of a request's traits has decides.
_VERDICTS = (
    (quarantine.RequestStatus.QUARANTINED, ports.Verdict.CONDEMNED),
    (quarantine.RequestStatus.PENDING, ports.Verdict.ALONE),
    (quarantine.RequestStatus.SUSPECT, ports.Verdict.ALONE),
    (quarantine.RequestStatus.CLEAR, _CLEAR),
)
_HELD = (quarantine.RequestStatus.PENDING, quarantine.RequestStatus.QUARANTINED)
# How long after its last crash an entry is sent again, by status. A quarantined one should outlast
# a short partition; a suspect matters only while its caller may repeat it.
_RESEND_S = {
    quarantine.RequestStatus.SUSPECT: 5.0,
    quarantine.RequestStatus.PENDING: 5.0,
    quarantine.RequestStatus.QUARANTINED: 30.0,
}


class MembershipReports:
    """Implements :class:`ports.CrashReports` by the ``membership`` service."""

    def __init__(self, members: ports.Membership) -> None:
        self._members = members

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Subscribe to one type of report."""
        return self._members.subscribe(kind)

    def publish(self, report: ports.Quarantined | ports.UpstreamCrashed) -> None:
        """Broadcast a report; in a small fleet, also send a crash directly, which is faster."""
        if isinstance(report, ports.UpstreamCrashed):
            view = self._members.view()
            peers = [m.vm for m in view.usable() if m.vm != view.self_vm]
            for vm in peers if len(peers) <= MAX_DIRECT_PEERS else ():
                self._members.send(vm, report)
        self._members.broadcast(report)


class Quarantine:
    """Implements :class:`ports.Quarantine`.

    :param kern: provides ``membership``, if the process has one.
    :param crash_reports: the exchange with other processes; by default that of ``membership``.
    """

    name = NAME

    def __init__(
        self, kern: kernel.Kernel, crash_reports: ports.CrashReports | None = None
    ) -> None:
        self._kern = kern
        self._crash_reports = crash_reports
        self._decisions = _subscriptions.Subscriptions()
        self._suspect_records = _subscriptions.Subscriptions()
        self._log = logs.Logger(NAME)
        self._entries: collections.OrderedDict[str, quarantine.Entry] = collections.OrderedDict()
        self._crashes: collections.deque[quarantine.Crash] = collections.deque(
            maxlen=MAX_CRASHES_KEPT
        )
        self._completed_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._source = secrets.token_hex(4)
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Receive peers' reports until cancelled."""
        if self._crash_reports is None and self._kern.has("membership"):
            members = self._kern.find("membership", ports.Membership)
            self._crash_reports = MembershipReports(members)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._crash_reports is not None:
                counts = self._crash_reports.subscribe(ports.Quarantined)
                nursery.start_soon(self._receive_counts, counts)
                crashes = self._crash_reports.subscribe(ports.UpstreamCrashed)
                nursery.start_soon(self._receive_crashes, crashes)
            started()
            await trio.sleep_forever()

    def subscribe_decisions(self) -> trio.MemoryReceiveChannel[ports.QuarantineDecision]:
        """Subscribe to the requests that this process quarantines by its own evidence."""
        return self._decisions.subscribe(ports.QuarantineDecision)

    def restore(self, decision: ports.QuarantineDecision) -> None:
        """Quarantine a request again after a restart, unless it already is."""
        now_s = trio.current_time()
        entry = self._entries.get(decision.fingerprint)
        if quarantine.classify_request(entry, now_s) is quarantine.RequestStatus.QUARANTINED:
            return
        count = quarantine.PeerCount(
            RESTORED_SOURCE, quarantine.MAX_CRASHES, quarantine.MAX_CRASHES_SEEN
        )
        expires_at_s = now_s + min(decision.expires_s, quarantine.QUARANTINE_S)
        self._store_entry(
            decision.fingerprint,
            quarantine.merge_peer_count(entry, count, expires_at_s, now_s),
        )

    def subscribe_suspects(self) -> trio.MemoryReceiveChannel[ports.SuspectRecord]:
        """Subscribe to the crashes that have to outlast this process."""
        return self._suspect_records.subscribe(ports.SuspectRecord)

    def restore_suspect(self, record: ports.SuspectRecord) -> None:
        """Take stored crashes into account."""
        now_s = trio.current_time()
        sightings = _decode_sightings(record.sightings, now_s)
        count = quarantine.PeerCount(STORED_SOURCE, 0, 0, sightings)
        entry = self._entries.get(record.fingerprint)
        expires_at_s = now_s + min(record.expires_s, quarantine.SUSPECT_S)
        self._store_entry(
            record.fingerprint, quarantine.merge_peer_count(entry, count, expires_at_s, now_s)
        )

    def recent_reports(self) -> tuple[ports.Quarantined, ...]:
        """Return reports to send again, because some may be lost.

        These are own ones and, once a request is quarantined, those of the other processes too.
        """
        now_s = trio.current_time()
        return tuple(
            report
            for fingerprint, entry in reversed(self._entries.items())
            for report in self._list_reports(fingerprint, entry, now_s)
        )

    def _list_reports(
        self, fingerprint: str, entry: quarantine.Entry, now_s: float
    ) -> list[ports.Quarantined]:
        status = self._classify(fingerprint, now_s)
        if now_s - entry.last_crash_s > _RESEND_S.get(status, 0.0):
            return []
        own = [self._make_report(fingerprint, entry, now_s)] if entry.evidence else []
        if status is not quarantine.RequestStatus.QUARANTINED:
            return own
        remaining_s = entry.expires_at_s - now_s
        return own + [
            ports.Quarantined(
                fingerprint,
                count.crashes,
                remaining_s,
                count.source,
                count.seen,
                _encode_sightings(count.sightings[: quarantine.MAX_SIGHTINGS_SENT], now_s),
            )
            for count in entry.peer_counts
            if count.source not in _NOT_RESENT
        ]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may have crashed an engine."""
        now_s = trio.current_time()
        return any(self._is_suspect(t, now_s) for t in request_traits.list_traits(fingerprint))

    def item_may_run(self, fingerprint: str) -> bool:
        """Return whether a batch item may run now: a quarantined one does so only now and then."""
        now_s = trio.current_time()
        return all(
            self._classify(trait, now_s) not in _HELD
            or now_s >= quarantine.probation_ends_at_s(entry)
            for trait, entry in self._find_entries(fingerprint)
        )

    def start_item(self, fingerprint: str) -> None:
        """Record that a batch item starts to run, which begins another pause if it is quarantined.

        So the items that share a quarantined part run one at a time.
        """
        now_s = trio.current_time()
        for trait, entry in self._find_entries(fingerprint):
            held = self._classify(trait, now_s) in _HELD
            started = msgspec.structs.replace(entry, last_crash_s=now_s) if held else entry
            self._store_entry(trait, quarantine.clear_reported(started))

    def verdict(self, fingerprint: str) -> ports.Verdict:
        """Return how a request may run, and record that it is allowed to run."""
        now_s = trio.current_time()
        entries = self._find_entries(fingerprint)
        statuses = {self._classify(trait, now_s) for trait, _ in entries}
        for trait, entry in entries:
            self._store_entry(trait, quarantine.clear_reported(entry))
        return next((verdict for status, verdict in _VERDICTS if status in statuses), _CLEAR)

    async def wait_verdict(self, fingerprint: str) -> ports.Verdict:
        """Return how a request may run, after waiting for peers' reports if they decide."""
        while True:
            now_s = trio.current_time()
            pending = [
                entry
                for trait, entry in self._find_entries(fingerprint)
                if self._classify(trait, now_s) is quarantine.RequestStatus.PENDING
            ]
            if not pending:
                return self.verdict(fingerprint)
            await trio.sleep_until(max(map(quarantine.decided_at_s, pending)))

    def _find_entries(self, fingerprint: str) -> list[tuple[str, quarantine.Entry]]:
        """Return the traits of a request on which there is evidence."""
        traits = request_traits.list_traits(fingerprint)
        return [(trait, self._entries[trait]) for trait in traits if trait in self._entries]

    def report_crash(self, upstream: str, in_flight: tuple[str, ...], started_ms: int = 0) -> None:
        """Record an engine's crash and attribute it to the requests in flight there.

        :param in_flight: fingerprints, once for each request.
        :param started_ms: Unix time of the start that crashed, in milliseconds; 0 if unknown.
        """
        now_s = trio.current_time()
        copies = collections.Counter(in_flight)
        fingerprints = tuple(copies)
        suspected = self._list_suspects(fingerprints, now_s)
        suspects = _pick(quarantine.pick_suspect, fingerprints, self._entries, suspected)
        leading = _pick(quarantine.pick_suspect_part, fingerprints, self._entries, suspected)
        sole = suspects if len(suspects) == 1 else tuple(map(str, fingerprints))
        crash = quarantine.Crash(
            upstream=upstream,
            at_s=now_s,
            in_flight=len(fingerprints),
            suspects=len(suspects),
            fingerprint=sole[0] if len(sole) == 1 else "",
            source=self._source,
            started_ms=started_ms,
        )
        earlier = tuple(c for c in self._crashes if c.upstream == upstream)
        parts = collections.Counter(p for f in fingerprints for p in request_traits.list_parts(f))
        # Suspects first: they are the ones to announce if there are many.
        traits = dict.fromkeys((*suspects, *map(str, fingerprints), *parts))
        attributed = [
            trait
            for trait in traits
            if self._attribute_crash(
                trait,
                crash,
                earlier,
                # The text of a request with a part may have caused the crash as well as the part.
                others=len(fingerprints) - (parts[trait] - 1 if trait in parts else 1),
                shared=max(copies[trait], parts[trait]) > 1
                or (trait in parts and bool(leading) and trait not in leading),
                narrowest=trait in suspects or trait not in parts,
            )
        ]
        if not attributed:
            return
        self._crashes.append(crash)
        self._log.warning(
            "upstream_crashed",
            peer=upstream,
            in_flight=len(fingerprints),
            suspects=len(suspects),
            fingerprints=",".join(attributed[:MAX_ANNOUNCED_PER_CRASH]),
            parts=",".join(list(parts)[:MAX_ANNOUNCED_PER_CRASH]),
        )
        self._send_crash(crash)
        for fingerprint in attributed[:MAX_ANNOUNCED_PER_CRASH]:
            self._publish_entry(fingerprint)
            self._keep_crashes(fingerprint)
        if self._nursery is not None:
            self._nursery.start_soon(self._announce, tuple(attributed[:MAX_ANNOUNCED_PER_CRASH]))

    def _list_suspects(self, fingerprints: tuple[str, ...], now_s: float) -> set[str]:
        """Return the traits of requests that are suspects."""
        traits = {t for f in fingerprints for t in request_traits.list_traits(f)}
        return {trait for trait in traits if self._is_suspect(trait, now_s)}

    def report_completion(self, fingerprint: str) -> None:
        """Record that a request completed, which clears its traits in all processes."""
        for trait in request_traits.list_traits(fingerprint):
            self._clear_trait(trait)

    def _clear_trait(self, fingerprint: str) -> None:
        self._record_completed(fingerprint)
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        if self._crash_reports is not None:
            self._crash_reports.publish(ports.Quarantined(fingerprint, 0, 0.0, self._source))
        self._drop_entry(fingerprint, entry)

    def _drop_entry(self, fingerprint: str, entry: quarantine.Entry) -> None:
        """Drop the evidence on a trait, also what is stored of it."""
        del self._entries[fingerprint]
        if quarantine.sightings_to_keep(entry, trio.current_time()):
            self._suspect_records.deliver(ports.SuspectRecord(fingerprint, 0.0))
        status = quarantine.classify_request(
            entry, trio.current_time(), limit=quarantine.max_crashes(fingerprint)
        )
        if status is quarantine.RequestStatus.QUARANTINED:
            self._log.warning("request_released", fingerprint=fingerprint)
            self._decisions.deliver(ports.QuarantineDecision(fingerprint, 0.0))

    def _record_completed(self, fingerprint: str) -> None:
        self._completed_s[fingerprint] = trio.current_time()
        self._completed_s.move_to_end(fingerprint)
        while len(self._completed_s) > MAX_COMPLETED:
            self._completed_s.popitem(last=False)

    def _has_completed(
        self, fingerprint: str, now_s: float, within_s: float = COMPLETED_TTL_S
    ) -> bool:
        completed_s = self._completed_s.get(fingerprint)
        return completed_s is not None and now_s - completed_s < within_s

    def _is_suspect(self, fingerprint: str, now_s: float) -> bool:
        return self._classify(fingerprint, now_s) is not quarantine.RequestStatus.CLEAR

    def _classify(self, fingerprint: str, now_s: float) -> quarantine.RequestStatus:
        return quarantine.classify_request(
            self._entries.get(fingerprint),
            now_s,
            limit=quarantine.max_crashes(fingerprint),
            completed=self._has_completed(fingerprint, now_s),
            just_completed=self._has_completed(fingerprint, now_s, JUST_COMPLETED_S),
        )

    def _attribute_crash(
        self,
        fingerprint: str,
        crash: quarantine.Crash,
        earlier: tuple[quarantine.Crash, ...],
        *,
        others: int,
        shared: bool,
        narrowest: bool,
    ) -> bool:
        """Attribute a crash to a request; return ``False`` if it was already recorded."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at_s <= crash.at_s:
            entry = None
        updated = quarantine.record_crash(
            entry,
            fingerprint,
            crash,
            earlier,
            others=others,
            shared=shared,
            narrowest=narrowest,
            completed=self._has_completed(fingerprint, crash.at_s),
            just_completed=self._has_completed(fingerprint, crash.at_s, JUST_COMPLETED_S),
        )
        self._store_entry(fingerprint, updated)
        return updated is not entry

    def _store_entry(self, fingerprint: str, entry: quarantine.Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def _send_crash(self, crash: quarantine.Crash) -> None:
        """Send peers what was in flight here, so that they can attribute the same crash."""
        if self._crash_reports is not None:
            self._crash_reports.publish(
                ports.UpstreamCrashed(
                    self._source, crash.upstream, crash.in_flight, crash.suspects, crash.fingerprint
                )
            )

    async def _announce(self, fingerprints: tuple[str, ...]) -> None:
        """Publish entries once their evidence has settled."""
        await trio.sleep(quarantine.REPORT_WAIT_S)
        for fingerprint in fingerprints:
            self._decide(fingerprint)
            self._publish_entry(fingerprint)
            self._keep_crashes(fingerprint)

    def _keep_crashes(self, fingerprint: str) -> None:
        """Have the crashes of a request stored if they must not be forgotten."""
        now_s = trio.current_time()
        entry = self._entries.get(fingerprint)
        sightings = quarantine.sightings_to_keep(entry, now_s) if entry is not None else ()
        if request_traits.is_part(fingerprint) and not self._is_suspect(fingerprint, now_s):
            # A popular part is in flight at many crashes and completes again soon.
            return
        if entry is not None and sightings:
            kept = _encode_sightings(sightings, now_s)
            record = ports.SuspectRecord(fingerprint, entry.expires_at_s - now_s, kept)
            self._suspect_records.deliver(record)

    def _decide(self, fingerprint: str) -> None:
        """Quarantine a request for long if the evidence suffices."""
        now_s = trio.current_time()
        entry = self._entries.get(fingerprint)
        status = self._classify(fingerprint, now_s)
        if entry is None or status is not quarantine.RequestStatus.QUARANTINED:
            return
        expires_at_s = now_s + quarantine.QUARANTINE_S
        self._store_entry(fingerprint, msgspec.structs.replace(entry, expires_at_s=expires_at_s))
        self._log.error(
            "request_quarantined",
            fingerprint=fingerprint,
            crashes=quarantine.crashes(entry),
            seen=quarantine.crashes_seen(entry),
        )
        self._decisions.deliver(ports.QuarantineDecision(fingerprint, quarantine.QUARANTINE_S))
        self._drop_explained(fingerprint)

    def _drop_explained(self, fingerprint: str) -> None:
        """Drop the evidence of crashes that a quarantined part explains."""
        if not request_traits.is_part(fingerprint):
            return
        cause = self._entries[fingerprint]
        for trait, entry in tuple(self._entries.items()):
            if trait != fingerprint and quarantine.is_explained(entry, cause):
                self._drop_entry(trait, entry)

    def _publish_entry(self, fingerprint: str) -> None:
        now_s = trio.current_time()
        entry = self._entries.get(fingerprint)
        if self._crash_reports is not None and entry is not None and entry.expires_at_s > now_s:
            self._crash_reports.publish(self._make_report(fingerprint, entry, now_s))

    def _make_report(
        self, fingerprint: str, entry: quarantine.Entry, now_s: float
    ) -> ports.Quarantined:
        """Return this process's counts; crashes count once peers' reports should have arrived."""
        settled = quarantine.decided_at_s(entry) <= now_s
        return ports.Quarantined(
            fingerprint,
            quarantine.count_own_crashes(entry) if settled else 0,
            entry.expires_at_s - now_s,
            self._source,
            quarantine.count_own_crashes_seen(entry),
            _encode_sightings(quarantine.sightings_to_send(entry, now_s), now_s),
        )

    async def _receive_counts(self, messages: trio.MemoryReceiveChannel) -> None:
        async for message in messages:
            self._handle_count(message)

    def _handle_count(self, message: ports.Quarantined) -> None:
        if message.source == self._source:
            return
        if message.expires_s <= 0.0:
            self._entries.pop(message.fingerprint, None)
            self._record_completed(message.fingerprint)
            return
        now_s = trio.current_time()
        expires_at_s = now_s + min(message.expires_s, quarantine.QUARANTINE_S)
        entry = self._entries.get(message.fingerprint)
        received = quarantine.PeerCount(
            message.source,
            message.crashes,
            message.seen,
            _decode_sightings(message.sightings, now_s),
        )
        updated = quarantine.merge_peer_count(entry, received, expires_at_s, now_s)
        self._store_entry(message.fingerprint, updated)
        limit = quarantine.max_crashes(message.fingerprint)
        before = quarantine.classify_request(entry, now_s, limit=limit)
        status = quarantine.classify_request(updated, now_s, limit=limit)
        if status is not before and status is quarantine.RequestStatus.QUARANTINED:
            self._drop_explained(message.fingerprint)
            self._log.warning(
                "request_quarantined_by_peers",
                fingerprint=message.fingerprint,
                crashes=quarantine.crashes(updated),
                seen=quarantine.crashes_seen(updated),
            )

    async def _receive_crashes(self, messages: trio.MemoryReceiveChannel) -> None:
        async for message in messages:
            self._handle_crash(message)

    def _handle_crash(self, message: ports.UpstreamCrashed) -> None:
        if message.source == self._source:
            return
        crash = quarantine.Crash(
            message.upstream,
            trio.current_time(),
            message.in_flight,
            message.suspects,
            message.fingerprint,
            own=False,
            source=message.source,
        )
        self._crashes.append(crash)
        for fingerprint, entry in self._entries.items():
            if any(e.upstream == crash.upstream for e in entry.evidence):
                self._entries[fingerprint] = quarantine.add_peer_crash(entry, fingerprint, crash)


def _pick(
    pick: Callable[[str, Mapping[str, quarantine.Entry], set[str]], str],
    fingerprints: tuple[str, ...],
    entries: Mapping[str, quarantine.Entry],
    suspects: set[str],
) -> tuple[str, ...]:
    """Return what a rule picks from each request, each trait once."""
    picked = (pick(fingerprint, entries, suspects) for fingerprint in fingerprints)
    return tuple(dict.fromkeys(filter(None, picked)))


def _encode_sightings(
    sightings: tuple[crash_sightings.Sighting, ...], now_s: float
) -> tuple[ports.CrashSighting, ...]:
    """Replace the times by ages, since processes share no monotonic clock."""
    return tuple(
        ports.CrashSighting(s.crash, max(0.0, now_s - s.at_s), s.exact, s.attributed, s.weak)
        for s in sightings
    )


def _decode_sightings(
    sightings: tuple[ports.CrashSighting, ...], now_s: float
) -> tuple[crash_sightings.Sighting, ...]:
    return tuple(
        crash_sightings.Sighting(s.crash, now_s - s.age_s, s.exact, s.attributed, s.weak)
        for s in sightings
    )
