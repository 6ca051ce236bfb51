"""The service ``quarantine``: isolates requests that crash engines.

The rules are in :mod:`cornelgrade.policy.quarantine`. This service stores a bounded number of
entries and exchanges them between VMs. It runs in the gateway and in the worker.
"""

import collections
import dataclasses
import secrets
from collections.abc import Callable

import trio

from cornelgrade import kernel, logs
from cornelgrade.policy import quarantine
from cornelgrade.services import ports

NAME = "quarantine"
MAX_ENTRIES = 2_048
MAX_CRASHES_KEPT = 256
MAX_ANNOUNCED_PER_CRASH = 16
MAX_DIRECT_PEERS = 16

_VERDICTS = {
    quarantine.RequestStatus.CLEAR: ports.Verdict.CLEAR,
    quarantine.RequestStatus.SUSPECT: ports.Verdict.ALONE,
    quarantine.RequestStatus.PENDING: ports.Verdict.ALONE,
    quarantine.RequestStatus.QUARANTINED: ports.Verdict.CONDEMNED,
}


class Quarantine:
    """Implements :class:`ports.Quarantine`.

    :param kern: provides ``membership``, if the process has one.
    """

    name = NAME

    def __init__(self, kern: kernel.Kernel) -> None:
        self._kern = kern
        self._log = logs.Logger(NAME)
        self._entries: collections.OrderedDict[str, quarantine.Entry] = collections.OrderedDict()
        self._crashes: collections.deque[quarantine.Crash] = collections.deque(
            maxlen=MAX_CRASHES_KEPT
        )
        self._source = secrets.token_hex(4)
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Receive peers' reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._kern.has("membership"):
                members = self._kern.find("membership", ports.Membership)
                nursery.start_soon(self._receive_counts, members.subscribe(ports.Quarantined))
                nursery.start_soon(self._receive_crashes, members.subscribe(ports.UpstreamCrashed))
            started()
            await trio.sleep_forever()

    def verdict(self, fingerprint: str) -> ports.Verdict:
        """Return how a request may run, and record that it is allowed to run."""
        entry = self._entries.get(fingerprint)
        standing = quarantine.classify_request(entry, trio.current_time())
        if entry is not None:
            self._store_entry(fingerprint, quarantine.clear_reported(entry))
        return _VERDICTS[standing]

    async def wait_verdict(self, fingerprint: str) -> ports.Verdict:
        """Return how a request may run, after waiting for peers' reports if they decide."""
        while True:
            entry = self._entries.get(fingerprint)
            standing = quarantine.classify_request(entry, trio.current_time())
            if entry is None or standing is not quarantine.RequestStatus.PENDING:
                return self.verdict(fingerprint)
            await trio.sleep_until(quarantine.decided_at_s(entry))

    def report_crash(self, upstream: str, in_flight: tuple[str, ...]) -> None:
        """Record an engine's crash and attribute it to the requests in flight there."""
        now_s = trio.current_time()
        fingerprints = tuple(dict.fromkeys(in_flight))
        suspects = tuple(f for f in fingerprints if self._is_suspect(f, now_s))
        sole = suspects if len(suspects) == 1 else fingerprints
        crash = quarantine.Crash(
            upstream=upstream,
            at_s=now_s,
            in_flight=len(fingerprints),
            suspects=len(suspects),
            fingerprint=sole[0] if len(sole) == 1 else "",
        )
        earlier = tuple(c for c in self._crashes if c.upstream == upstream)
        attributed = [f for f in fingerprints if self._attribute_crash(f, crash, earlier)]
        if not attributed:
            return
        self._crashes.append(crash)
        self._log.warning("upstream_crashed", peer=upstream, in_flight=len(fingerprints))
        self._send_crash(crash)
        if self._nursery is not None:
            self._nursery.start_soon(self._announce, tuple(attributed[:MAX_ANNOUNCED_PER_CRASH]))

    def report_completion(self, fingerprint: str) -> None:
        """Record that a request completed, which clears it."""
        self._entries.pop(fingerprint, None)

    def _is_suspect(self, fingerprint: str, now_s: float) -> bool:
        standing = quarantine.classify_request(self._entries.get(fingerprint), now_s)
        return standing is not quarantine.RequestStatus.CLEAR

    def _attribute_crash(
        self, fingerprint: str, crash: quarantine.Crash, earlier: tuple[quarantine.Crash, ...]
    ) -> bool:
        """Attribute a crash to a request; return ``False`` if it was already recorded."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at_s <= crash.at_s:
            entry = None
        updated = quarantine.record_crash(entry, fingerprint, crash, earlier)
        self._store_entry(fingerprint, updated)
        return updated is not entry

    def _store_entry(self, fingerprint: str, entry: quarantine.Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def _send_crash(self, crash: quarantine.Crash) -> None:
        """Send peers what was in flight: directly in a small fleet, and to all by broadcast."""
        if not self._kern.has("membership"):
            return
        members = self._kern.find("membership", ports.Membership)
        message = ports.UpstreamCrashed(
            self._source, crash.upstream, crash.in_flight, crash.suspects, crash.fingerprint
        )
        view = members.view()
        peers = [m.vm for m in view.usable() if m.vm != view.self_vm]
        if len(peers) <= MAX_DIRECT_PEERS:
            for vm in peers:
                members.send(vm, message)
        members.broadcast(message)

    async def _announce(self, fingerprints: tuple[str, ...]) -> None:
        """Broadcast entries to peers once their evidence has settled."""
        await trio.sleep(quarantine.REPORT_WAIT_S)
        for fingerprint in fingerprints:
            entry = self._entries.get(fingerprint)
            if entry is not None:
                self._announce_entry(fingerprint, entry)

    def _announce_entry(self, fingerprint: str, entry: quarantine.Entry) -> None:
        now_s = trio.current_time()
        if quarantine.classify_request(entry, now_s) is quarantine.RequestStatus.QUARANTINED:
            expires_at_s = now_s + quarantine.QUARANTINE_S
            entry = dataclasses.replace(entry, expires_at_s=expires_at_s)
            self._store_entry(fingerprint, entry)
            self._log.error("request_quarantined", fingerprint=fingerprint)
        if self._kern.has("membership") and entry.expires_at_s > now_s:
            members = self._kern.find("membership", ports.Membership)
            remaining_s = entry.expires_at_s - now_s
            count = quarantine.count_own_crashes(entry)
            members.broadcast(ports.Quarantined(fingerprint, count, remaining_s, self._source))

    async def _receive_counts(self, messages: trio.MemoryReceiveChannel) -> None:
        async for message in messages:
            self._handle_count(message)

    def _handle_count(self, message: ports.Quarantined) -> None:
        if message.source == self._source:
            return
        expires_at_s = trio.current_time() + min(message.expires_s, quarantine.QUARANTINE_S)
        entry = self._entries.get(message.fingerprint)
        received = quarantine.PeerCount(message.source, message.crashes)
        self._store_entry(
            message.fingerprint, quarantine.merge_peer_count(entry, received, expires_at_s)
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
        )
        self._crashes.append(crash)
        for fingerprint, entry in self._entries.items():
            if any(e.upstream == crash.upstream for e in entry.evidence):
                self._entries[fingerprint] = quarantine.add_peer_crash(entry, fingerprint, crash)
