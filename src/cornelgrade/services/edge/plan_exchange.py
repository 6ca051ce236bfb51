"""The service ``plan_exchange``: gets plans from peers that the store does not deliver here.

Each datagram tells the version of the plan in force at its sender. A process that hears of a higher
one, and whose own watch does not bring it shortly after, fetches it from a peer. The plan travels
with digests in place of keys. It is a copy of what the store has accepted, so the one with the
highest version is in force, wherever it came from.
"""

import random
import zlib
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import errors, kernel, logs, metrics, routes
from cornelgrade.schema import messages
from cornelgrade.services.edge import _store_availability, fleet, peer_calls, peers, store_monitor

PATH = "/plan"
FETCH_TIMEOUT_S = 1.0
# A plan is one object of the store, of which a page has at most 4 MB.
MAX_PLAN_BYTES = 8_000_000
# Repeated keys and names make a plan some 20 times smaller at the fastest level.
COMPRESSION_LEVEL = 1
# Pauses after failed fetches; each is twice the one before.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 1.6
# How often and how many peers are told the own version by a process that the store rejects; those
# with a higher one reply. Few do, since most processes hear from workers several times a second.
ASK_INTERVAL_S = 0.5
ASKED_PEERS = 2
_log = logs.Logger("plan_exchange")


class PlanExchange:
    """Fetches newer plans from peers and gives them the own one."""

    name = "plan_exchange"

    def __init__(
        self,
        kern: kernel.Kernel,
        availability: _store_availability.StoreAvailability,
        vm: str,
    ) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._calls = kern.find("peer_calls", peer_calls.PeerCalls)
        self._availability = availability
        self._rng = random.Random(vm)
        self._offers: dict[str, int] = {}
        self._offered = trio.Event()
        self._encoded: tuple[int, bytes] = (0, b"")
        self._fetch_counter = metrics.counter(
            "cornelgrade_plan_fetches_total", "Fetches of plans from peers by outcome."
        )
        self._calls.register(PATH, self._send_plan)

    async def run(self, started: Callable[[], None]) -> None:
        """Exchange plans until cancelled."""
        versions = self._peers.subscribe(messages.Version)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_versions, versions)
            nursery.start_soon(self._ask_peers)
            started()
            await self._fetch_newer_plans()

    async def _receive_versions(
        self, received: trio.MemoryReceiveChannel[messages.Version]
    ) -> None:
        async for message in received:
            own = self._fleet.plan_version()
            if message.version > own:
                self._offers[message.vm] = message.version
                self._offered.set()
            elif message.version < own:
                # The datagram itself tells the version; its sender asked for it.
                self._peers.send(message.vm, messages.Version(own))

    async def _ask_peers(self) -> None:
        """Tell some peers the own version while the store doesn't tell whether it is current."""
        while True:
            if self._availability.unavailable or not self._fleet.plan_version():
                others = self._peers.other_vms()
                for vm in self._rng.sample(others, min(ASKED_PEERS, len(others))):
                    self._peers.send(vm, messages.Version(self._fleet.plan_version()))
            await trio.sleep(ASK_INTERVAL_S)

    async def _fetch_newer_plans(self) -> None:
        pause_s = MIN_RETRY_PAUSE_S
        while True:
            await self._offered.wait()
            if self._fleet.plan_version() and not self._availability.unavailable:
                await trio.sleep(store_monitor.CATCH_UP_S)
            vm = self._choose_peer()
            if vm is None:
                self._offered = trio.Event()
                pause_s = MIN_RETRY_PAUSE_S
            elif not await self._fetch_plan(vm):
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def _choose_peer(self) -> str | None:
        """Return one of the peers with the highest version, ``None`` if none has a newer one."""
        own = self._fleet.plan_version()
        self._offers = {vm: version for vm, version in self._offers.items() if version > own}
        newest = max(self._offers.values(), default=0)
        best = [vm for vm, version in self._offers.items() if version == newest]
        return self._rng.choice(best) if best else None

    async def _fetch_plan(self, vm: str) -> bool:
        """Fetch the plan of a peer; return whether it is in force now."""
        offered = self._offers.pop(vm)
        try:
            body = await self._calls.call(vm, PATH, FETCH_TIMEOUT_S, MAX_PLAN_BYTES)
            accepted = body is not None and self._fleet.accept_plan(decode(body), source=vm)
        except (errors.CornelgradeError, ValueError) as exc:
            _log.warning("plan_not_fetched", peer=vm, version=offered, error=repr(exc))
            self._fetch_counter.inc({"outcome": "failed"})
            return False
        self._fetch_counter.inc({"outcome": "accepted" if accepted else "not_newer"})
        return accepted

    async def _send_plan(self, _query: dict[str, str], _body: bytes) -> bytes | None:
        table = self._fleet.table()
        if table is None:
            return None
        if self._encoded[0] != table.plan.version:
            self._encoded = (table.plan.version, encode(table.plan))
        return self._encoded[1]


def encode(plan: routes.Plan) -> bytes:
    """Encode a plan for a peer."""
    return zlib.compress(msgspec.msgpack.encode(plan), COMPRESSION_LEVEL)


def decode(raw: bytes) -> routes.Plan:
    """Decode a plan from a peer, perhaps of another build, whose unknown fields are ignored.

    :raises ValueError: if it is invalid or too large.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(raw, MAX_PLAN_BYTES)
    except zlib.error as exc:
        raise ValueError(f"not compressed: {exc}") from exc
    if not inflater.eof:
        raise ValueError(f"incomplete, or larger than {MAX_PLAN_BYTES} bytes")
    return msgspec.msgpack.decode(plain, type=routes.Plan)
