"""The service ``stream_origins``: which software version began a stream that a caller takes up.

A stream goes on only at the version that began it, and its caller may take it up at any gateway.
A gateway remembers the streams that began there. While several versions of a service serve, an
upstream has been restarted and not registered since, or the gateway may not know of all versions,
it also tells a few other gateways and a worker of each, so that the origin is known after it is
gone, or after all gateways are. A gateway that doesn't know the origin asks. Without a reply it
takes the only version that it knows for the origin, unless it may have missed registrations or a
start is not registered. The versions before its start are known from a record in the store.
"""

import collections
import hashlib
import math
import random
import time
from collections.abc import Callable, Iterable

import msgspec
import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import platform
from cornelgrade.policy import rendezvous, software_versions
from cornelgrade.schema import messages
from cornelgrade.services.edge import (
    _notifier,
    _store_availability,
    fleet,
    peers,
    version_records,
)

# Gateways that are told of a stream, beside the one at which it began, and workers, since all
# gateways may restart at once.
HOLDERS = 3
WORKER_HOLDERS = 1
# Other gateways that are asked beside the holders, because views of who is a holder may differ.
MAX_OTHERS_ASKED = 5
# The same while an unknown version may serve, as a stream is refused if nobody replies. In a larger
# fleet the holders have to know.
MAX_OTHERS_ASKED_IN_DOUBT = 60
# A query is repeated because datagrams may be lost; a reply takes a few milliseconds.
QUERY_INTERVAL_S = 0.05
QUERY_ROUNDS = 3
MAX_ORIGINS = 16_384
MAX_ORIGINS_PER_DATAGRAM = 16
_log = logs.Logger("stream_origins")


class _Known(msgspec.Struct, frozen=True):
    """An origin that this process remembers.

    :param own: whether the stream began here.
    """

    origin: software_versions.StreamOrigin
    at_s: float
    own: bool


class StreamOrigins:
    """Remembers, shares and finds the origins of streams."""

    name = "stream_origins"

    def __init__(
        self,
        kern: kernel.Kernel,
        vm: str,
        store: platform.Platform,
        availability: _store_availability.StoreAvailability,
        upstream_kind: str,
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._vm = vm
        self._availability = availability
        self._upstream_kind = upstream_kind
        self._rng = random.Random(vm)
        self._history = software_versions.VersionHistory(-software_versions.STREAM_LIFETIME_S)
        self._observed = _notifier.Notifier()
        self._records = version_records.VersionRecords(store, self._peers, vm, self._is_behind)
        self._known: collections.OrderedDict[int, _Known] = collections.OrderedDict()
        self._queries: dict[int, trio.Event] = {}
        self._mixed: frozenset[str] = frozenset()
        self._shared_s = -math.inf

    async def run(self, started: Callable[[], None]) -> None:
        """Follow the registrations and answer other gateways until cancelled."""
        self._history = software_versions.VersionHistory(trio.current_time())
        received = self._peers.subscribe(messages.StreamOrigins)
        queries = self._peers.subscribe(messages.StreamOriginQuery)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_origins, received)
            nursery.start_soon(self._answer_queries, queries)
            nursery.start_soon(self._observe_changes)
            nursery.start_soon(self._records.run, self._history, self._observed)
            nursery.start_soon(self._share_in_outages)
            started()

    def record(
        self, request_id: str, origin: software_versions.StreamOrigin, forwarded_by: str = ""
    ) -> None:
        """Record what begins a stream; call it before its first event is sent, and on a change.

        :param request_id: id of the caller's attempt; a stream without one can't be found again.
        :param forwarded_by: gateway that forwarded it here, at which its caller may take it up.
        """
        if not request_id:
            return
        key = hash_request_id(request_id)
        before = self._known.get(key)
        self._remember(key, origin, own=True)
        doubted = software_versions.is_unconfirmed(origin) or (
            before is not None and software_versions.is_unconfirmed(before.origin)
        )
        # Who doesn't know the stream would refuse it.
        may_miss_others = self._is_behind() or not self._history.is_complete(trio.current_time())
        if doubted or may_miss_others or origin.service in self._mixed:
            self._tell_holders((key,))
        if forwarded_by:
            self._peers.send(forwarded_by, messages.StreamOrigins((self._tell(key),)))

    def resolve(self, origin: software_versions.StreamOrigin) -> software_versions.StreamOrigin:
        """Return an origin with its version, if that was unknown and has been registered since."""
        return software_versions.resolve_origin(origin, self._fleet.upstreams())

    async def find(
        self, request_id: str, route: routes.Route
    ) -> software_versions.StreamOrigin | None:
        """Return what began a stream, or ``None`` if that can't be known.

        :param request_id: id of the attempt that brought its first event; empty if not given.
        :param route: the route that it takes; its services may have begun it.
        """
        key = hash_request_id(request_id) if request_id else None
        known = self._known.get(key) if key is not None else None
        if known is not None and (known.own or not software_versions.is_unconfirmed(known.origin)):
            return known.origin
        doubtful = self._may_miss_version(route)
        # The gateway at which it began may know of a start that is not registered.
        others = MAX_OTHERS_ASKED_IN_DOUBT if doubtful else MAX_OTHERS_ASKED
        found = await self._ask(key, others) if key is not None else None
        # Registrations that this process missed until then may have arrived meanwhile.
        possible = self._list_origins(route)
        if found is None and len(possible) == 1 and not (doubtful or self._may_miss_version(route)):
            found = possible[0] if self._knows_earlier_origins(possible[0].service) else None
        _log.info(
            "stream_origin",
            request=request_id,
            service=found.service if found else "",
            version=found.version if found else "",
            possible=len(possible),
        )
        return found

    def _is_behind(self) -> bool:
        """Return whether a version may have been registered that this process doesn't know."""
        return self._availability.may_be_behind(self._upstream_kind)

    def _may_miss_version(self, route: routes.Route) -> bool:
        """Return whether a version that this process doesn't know may serve a route now."""
        services = {target.service for target in route.targets}
        return self._is_behind() or any(
            up.restarted and up.service in services for up in self._fleet.upstreams()
        )

    def _list_origins(self, route: routes.Route) -> tuple[software_versions.StreamOrigin, ...]:
        """Return what may have begun a stream of a route, as far as this process knows."""
        now_s = trio.current_time()
        self._history.observe(self._fleet.upstreams(), now_s)
        return tuple(
            origin
            for target in route.targets
            for origin in self._history.list_origins(target.service, now_s)
        )

    def _knows_earlier_origins(self, service: str) -> bool:
        """Return whether this process knows the versions that served before it began to look."""
        if self._history.is_complete(trio.current_time()):
            return True
        record, unix_s = self._records.record, time.time()
        if record is None:
            return False
        if record.is_older(software_versions.STREAM_LIFETIME_S, unix_s):
            return True
        # A version that left before the record was created is not in it.
        return not record.replaced and not software_versions.has_recent_start(
            self._fleet.upstreams(), service, unix_s
        )

    async def _ask(self, key: int, max_others: int) -> software_versions.StreamOrigin | None:
        """Ask other gateways for the origin of a stream.

        :param max_others: how many are asked beside the holders.
        """
        replied = self._queries.setdefault(key, trio.Event())
        holders = self._holders(key)
        others = [vm for vm in self._other_gateways() if vm not in holders]
        asked = (*holders, *self._rng.sample(others, min(max_others, len(others))))
        try:
            for _ in range(QUERY_ROUNDS if asked else 0):
                for vm in asked:
                    self._peers.send(vm, messages.StreamOriginQuery(key))
                with trio.move_on_after(QUERY_INTERVAL_S):
                    await replied.wait()
                    break
        finally:
            self._queries.pop(key, None)
        return self._known[key].origin if key in self._known else None

    def _other_gateways(self) -> list[str]:
        return [vm for vm in self._peers.registered_vms(peers.Role.GATEWAY) if vm != self._vm]

    def _holders(self, key: int) -> tuple[str, ...]:
        workers = self._peers.registered_vms(peers.Role.WORKER)
        return (
            *rendezvous.pick_members(str(key), self._other_gateways(), HOLDERS),
            *rendezvous.pick_members(str(key), workers, WORKER_HOLDERS),
        )

    def _tell_holders(self, keys: Iterable[int]) -> None:
        """Send origins to their holders, joined into few datagrams."""
        by_vm: dict[str, list[messages.StreamOrigin]] = {}
        for key in keys:
            for vm in self._holders(key):
                by_vm.setdefault(vm, []).append(self._tell(key))
        for vm, origins in by_vm.items():
            for at in range(0, len(origins), MAX_ORIGINS_PER_DATAGRAM):
                part = tuple(origins[at : at + MAX_ORIGINS_PER_DATAGRAM])
                self._peers.send(vm, messages.StreamOrigins(part))

    async def _receive_origins(
        self, received: trio.MemoryReceiveChannel[messages.StreamOrigins]
    ) -> None:
        async for message in received:
            for told in message.origins:
                origin = software_versions.StreamOrigin(told.service, told.version)
                unconfirmed = software_versions.is_unconfirmed(origin)
                if not unconfirmed or told.request not in self._known:
                    self._remember(told.request, origin, own=False)
                # Another gateway may know it for sure.
                if not unconfirmed and told.request in self._queries:
                    self._queries[told.request].set()

    async def _answer_queries(
        self, queries: trio.MemoryReceiveChannel[messages.StreamOriginQuery]
    ) -> None:
        async for query in queries:
            if query.request in self._known:
                told = self._tell(query.request)
                self._peers.send(query.vm, messages.StreamOrigins((told,)))

    def _tell(self, key: int) -> messages.StreamOrigin:
        origin = self._known[key].origin
        return messages.StreamOrigin(key, origin.service, origin.version)

    async def _observe_changes(self) -> None:
        while True:
            self._observe()
            self._observed.notify_all()
            await self._fleet.changed.wait()

    async def _share_in_outages(self) -> None:
        """Send the origins of streams that began before an outage of the store to their holders.

        While it is away, other gateways refuse a stream of which nobody knows the origin.
        """
        while True:
            if self._availability.unavailable:
                since_s, self._shared_s = self._shared_s, trio.current_time()
                self._tell_holders(
                    key for key, known in self._known.items() if known.own and known.at_s >= since_s
                )
            await self._availability.wait_change()

    def _observe(self) -> None:
        """Record the registered versions; once a service has several, tell of its streams."""
        now_s = trio.current_time()
        upstreams = self._fleet.upstreams()
        self._history.observe(upstreams, now_s)
        services = {up.service for up in upstreams}
        restarted = {up.service for up in upstreams if up.restarted}
        versions = {s: self._history.list_origins(s, now_s) for s in services}
        mixed = frozenset(s for s in services if len(versions[s]) > 1 or s in restarted)
        newly_mixed, self._mixed = mixed - self._mixed, mixed
        if newly_mixed:
            _log.info("versions_mixed", services=",".join(sorted(newly_mixed)))
            self._tell_holders(
                key
                for key, known in self._known.items()
                if known.own and known.origin.service in newly_mixed
            )

    def _remember(self, key: int, origin: software_versions.StreamOrigin, *, own: bool) -> None:
        """Remember an origin for as long as the stream may be taken up."""
        now_s = trio.current_time()
        self._known[key] = _Known(origin, now_s, own)
        self._known.move_to_end(key)
        earliest_s = now_s - software_versions.STREAM_LIFETIME_S
        while len(self._known) > MAX_ORIGINS or next(iter(self._known.values())).at_s < earliest_s:
            self._known.popitem(last=False)


def hash_request_id(request_id: str) -> int:
    """Return the 64-bit key of a stream in datagrams."""
    return int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=8).digest(), "big")
