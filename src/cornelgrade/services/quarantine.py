"""The service ``quarantine``: keeps requests that crash engines away from the others.

The rules are in :mod:`cornelgrade.policy.quarantine`; here their entries are kept, within bounds,
and passed between VMs. It runs in the gateway and in the worker.
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
MAX_ANNOUNCED = 16
MAX_DIRECT_PEERS = 16

_VERDICTS = {
    quarantine.Standing.CLEAR: ports.Verdict.CLEAR,
    quarantine.Standing.SUSPECT: ports.Verdict.ALONE,
    quarantine.Standing.PENDING: ports.Verdict.ALONE,
    quarantine.Standing.CONDEMNED: ports.Verdict.CONDEMNED,
}


class Quarantine:
    """Implements :class:`ports.Quarantine`.

    :param kern: where ``membership`` is found, if the process has one.
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
        """Listen to peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._kern.has("membership"):
                members = self._kern.find("membership", ports.Membership)
                nursery.start_soon(self._hear_counts, members.subscribe(ports.Quarantined))
                nursery.start_soon(self._hear_crashes, members.subscribe(ports.UpstreamCrashed))
            started()
            await trio.sleep_forever()

    def verdict(self, fingerprint: str) -> ports.Verdict:
        """Say how a request may run, and note that it is let run."""
        entry = self._entries.get(fingerprint)
        standing = quarantine.judge(entry, trio.current_time())
        if entry is not None:
            self._keep(fingerprint, quarantine.let_run(entry))
        return _VERDICTS[standing]

    async def settle(self, fingerprint: str) -> ports.Verdict:
        """Wait for peers' reports if they decide, then say how a request may run."""
        while True:
            entry = self._entries.get(fingerprint)
            standing = quarantine.judge(entry, trio.current_time())
            if entry is None or standing is not quarantine.Standing.PENDING:
                return self.verdict(fingerprint)
            await trio.sleep_until(quarantine.settles_at_s(entry))

    def report_crash(self, upstream: str, in_flight: tuple[str, ...]) -> None:
        """Report an engine's crash with the fingerprints that were in flight there."""
        now_s = trio.current_time()
        fingerprints = tuple(dict.fromkeys(in_flight))
        suspects = tuple(f for f in fingerprints if self._is_suspect(f, now_s))
        only = suspects if len(suspects) == 1 else fingerprints
        crash = quarantine.Crash(
            upstream=upstream,
            at_s=now_s,
            in_flight=len(fingerprints),
            suspects=len(suspects),
            fingerprint=only[0] if len(only) == 1 else "",
        )
        earlier = tuple(c for c in self._crashes if c.upstream == upstream)
        blamed = [f for f in fingerprints if self._blame(f, crash, earlier)]
        if not blamed:
            return
        self._crashes.append(crash)
        self._log.warning("upstream_crashed", peer=upstream, in_flight=len(fingerprints))
        self._tell_crash(crash)
        if self._nursery is not None:
            self._nursery.start_soon(self._announce, tuple(blamed[:MAX_ANNOUNCED]))

    def report_completion(self, fingerprint: str) -> None:
        """Report that a request ended well, which clears it."""
        self._entries.pop(fingerprint, None)

    def _is_suspect(self, fingerprint: str, now_s: float) -> bool:
        standing = quarantine.judge(self._entries.get(fingerprint), now_s)
        return standing is not quarantine.Standing.CLEAR

    def _blame(
        self, fingerprint: str, crash: quarantine.Crash, earlier: tuple[quarantine.Crash, ...]
    ) -> bool:
        """Note a crash against a request; false if it was noted before."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at_s <= crash.at_s:
            entry = None
        blamed = quarantine.blame(entry, fingerprint, crash, earlier)
        self._keep(fingerprint, blamed)
        return blamed is not entry

    def _keep(self, fingerprint: str, entry: quarantine.Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def _tell_crash(self, crash: quarantine.Crash) -> None:
        """Tell the peers what was in flight: at once the near ones, by and by all."""
        if not self._kern.has("membership"):
            return
        members = self._kern.find("membership", ports.Membership)
        message = ports.UpstreamCrashed(
            self._source, crash.upstream, crash.in_flight, crash.suspects, crash.fingerprint
        )
        view = members.view()
        near = [m.vm for m in view.usable() if m.vm != view.self_vm]
        if len(near) <= MAX_DIRECT_PEERS:
            for vm in near:
                members.send(vm, message)
        members.broadcast(message)

    async def _announce(self, fingerprints: tuple[str, ...]) -> None:
        """Pass entries to the peers once their evidence has settled."""
        await trio.sleep(quarantine.SETTLE_S)
        for fingerprint in fingerprints:
            entry = self._entries.get(fingerprint)
            if entry is not None:
                self._announce_one(fingerprint, entry)

    def _announce_one(self, fingerprint: str, entry: quarantine.Entry) -> None:
        now_s = trio.current_time()
        if quarantine.judge(entry, now_s) is quarantine.Standing.CONDEMNED:
            expires_at_s = now_s + quarantine.CONDEMNED_S
            entry = dataclasses.replace(entry, expires_at_s=expires_at_s)
            self._keep(fingerprint, entry)
            self._log.error("request_condemned", fingerprint=fingerprint)
        if self._kern.has("membership") and entry.expires_at_s > now_s:
            members = self._kern.find("membership", ports.Membership)
            left_s = entry.expires_at_s - now_s
            count = quarantine.own_crashes(entry)
            members.broadcast(ports.Quarantined(fingerprint, count, left_s, self._source))

    async def _hear_counts(self, messages: trio.MemoryReceiveChannel) -> None:
        async for message in messages:
            self._hear_count(message)

    def _hear_count(self, message: ports.Quarantined) -> None:
        if message.source == self._source:
            return
        expires_at_s = trio.current_time() + min(message.expires_s, quarantine.CONDEMNED_S)
        entry = self._entries.get(message.fingerprint)
        told = quarantine.Heard(message.source, message.crashes)
        self._keep(message.fingerprint, quarantine.hear_count(entry, told, expires_at_s))

    async def _hear_crashes(self, messages: trio.MemoryReceiveChannel) -> None:
        async for message in messages:
            self._hear_crash(message)

    def _hear_crash(self, message: ports.UpstreamCrashed) -> None:
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
                self._entries[fingerprint] = quarantine.hear_crash(entry, fingerprint, crash)
