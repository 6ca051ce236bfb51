"""The service ``fleet``: the plan in force and the registered upstreams."""

import collections
import time
from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import platform
from cornelgrade.policy import registrations, route_table, start_sightings
from cornelgrade.services import ports as shared_ports
from cornelgrade.services.edge import (
    _notifier,
    _object_watch,
    _store_availability,
    peers,
    ports,
)

EXPIRY_INTERVAL_S = 0.25
# Registrations written close together, as when upstreams are replaced, share a response to a
# watch. An upstream goes on serving for seconds after it has registered as leaving.
REGISTRATION_SETTLE_S = 0.4
# Upstreams whose own notice is remembered: more than leave while one of them still responds.
MAX_NOTICES = 1024
_log = logs.Logger("fleet")


class Fleet:
    """Watches plans and registrations; never replaces a plan by an older version.

    An upstream that says in a response that it is leaving gets no more work from then on, whatever
    its registration says: the store may be away, or the registration late.

    :ivar changed: notified after each change.
    """

    name = "fleet"

    def __init__(
        self,
        kern: kernel.Kernel,
        store: platform.Platform,
        directory: ports.Directory,
        availability: _store_availability.StoreAvailability,
    ) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self.changed = _notifier.Notifier()
        self._store = store
        self._directory = directory
        self._availability = availability
        self._table: route_table.RouteTable | None = None
        self._registered: registrations.Registrations = {}
        self._sightings = start_sightings.StartSightings()
        self._notices: collections.OrderedDict[shared_ports.Leaving, None] = (
            collections.OrderedDict()
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Watch until cancelled."""
        directory = self._directory
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _object_watch.watch_objects,
                self._store,
                directory.plan_kind,
                self._availability,
                self._apply_plans,
            )
            nursery.start_soon(self._watch_registrations)
            nursery.start_soon(self._expire_registrations)
            nursery.start_soon(self._receive_notices, self._peers.subscribe(shared_ports.Leaving))
            started()

    def table(self) -> route_table.RouteTable | None:
        """Return the route table in force, or ``None`` before the first plan is known."""
        return self._table

    def upstreams(self) -> tuple[routes.Upstream, ...]:
        """Return all registered upstreams, also those that are leaving."""
        return tuple(reg.upstream for reg in self._registered.values())

    def find_upstream(self, name: str) -> routes.Upstream | None:
        """Return a registered upstream, with the start that it reported last."""
        reg = self._registered.get(name)
        return reg.upstream if reg is not None else None

    def usable_registrations(self) -> tuple[registrations.Registration, ...]:
        """Return the registrations of upstreams that may receive new requests."""
        usable = registrations.list_usable(self._registered, trio.current_time())
        if not self._notices:
            return usable
        return tuple(reg for reg in usable if _make_notice(reg.upstream) not in self._notices)

    def record_leaving(self, up: routes.Upstream) -> None:
        """Record that an upstream said in a response that it is leaving, and tell others.

        Those are told that send it most of its work: the processes of its failure domain and of
        this one. The others find out from its registration or by its responses to themselves.
        """
        notice = _make_notice(up)
        if self._record_notice(notice):
            _log.info("upstream_says_leaving", upstream=up.name, started_ms=up.started_ms)
            nearby = self._peers.other_vms_nearby()
            for vm in {*nearby, *self._peers.other_vms_in(up.failure_domain)}:
                self._peers.send(vm, notice)

    def has_reported(self, up: routes.Upstream, since_s: float) -> bool:
        """Return whether the registered start of an upstream has responded since then.

        One that has ended meanwhile would report another start, or none. One that reports no start
        can't be told apart from others, and counts.

        :param since_s: on trio's clock.
        """
        return not up.started_ms or self._sightings.was_seen(up.name, up.started_ms, since_s)

    def record_start(self, up: routes.Upstream, started_ms: int, asked_s: float) -> None:
        """Record the start that an upstream reports: its registration may be late.

        :param up: the upstream as registered when it was asked.
        :param started_ms: 0 if it reports none, which confirms no start.
        :param asked_s: when it was asked, on trio's clock.
        """
        if started_ms:
            self._sightings.record(up.name, started_ms, asked_s)
        current = registrations.record_start(self._registered, up, started_ms)
        if current is not self._registered:
            self._registered = current
            _log.info(
                "upstream_restarted",
                upstream=up.name,
                started_ms=started_ms,
                registered_ms=up.started_ms,
                version=up.version,
            )
            self.changed.notify_all()

    async def _receive_notices(
        self, received: trio.MemoryReceiveChannel[shared_ports.Leaving]
    ) -> None:
        async for notice in received:
            if self._record_notice(notice):
                _log.info(
                    "upstream_told_leaving", upstream=notice.upstream, started_ms=notice.started_ms
                )

    def _record_notice(self, notice: shared_ports.Leaving) -> bool:
        """Record a notice; return ``False`` if it is known."""
        if notice in self._notices:
            return False
        self._notices[notice] = None
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        self.changed.notify_all()
        return True

    async def _watch_registrations(self) -> None:
        await _object_watch.watch_objects(
            self._store,
            self._directory.upstream_kind,
            self._availability,
            self._apply_registrations,
            settle_s=REGISTRATION_SETTLE_S,
        )

    async def _apply_plans(self, changes: platform.Changes, is_snapshot: bool) -> None:
        for stored in changes.items:
            if stored.name == self._directory.plan_name:
                plan = self._directory.plan(stored.value)
                if plan is not None:
                    self.accept_plan(plan, source="store", revision=stored.version)

    def plan_version(self) -> int:
        """Return the version of the plan in force, 0 before the first one is known."""
        return self._table.plan.version if self._table else 0

    def accept_plan(self, plan: routes.Plan, *, source: str, revision: int = 0) -> bool:
        """Put a plan in force unless its version is lower or the same; return whether it is now.

        :param source: where it came from, for the log.
        :param revision: of its object in the store, 0 if a peer sent it.
        """
        before = self.plan_version()
        if plan.version <= before:
            return False
        started_s = time.perf_counter()
        self._table = route_table.RouteTable(plan)
        self._peers.announce_plan(plan.version)
        _log.info(
            "plan_in_force",
            version=plan.version,
            before=before,
            revision=revision,
            source=source,
            routes=len(plan.routes),
            table_s=time.perf_counter() - started_s,
        )
        self.changed.notify_all()
        return True

    async def _apply_registrations(self, changes: platform.Changes, is_snapshot: bool) -> None:
        decoded = {s.name: self._directory.upstream(s.name, s.value) for s in changes.items}
        valid = tuple(up for up in decoded.values() if up)
        names = frozenset(up.name for up in valid)
        missing = frozenset(self._registered) - names if is_snapshot else frozenset(changes.deleted)
        missing |= frozenset(name for name, up in decoded.items() if up is None)
        self._log_changes(valid, missing)
        current = registrations.register(self._registered, valid)
        recovered_s = self._availability.recovered_s
        self._registered = registrations.mark_missing(current, missing, recovered_s)
        self.changed.notify_all()

    def _log_changes(self, valid: tuple[routes.Upstream, ...], missing: frozenset[str]) -> None:
        for up in valid:
            before = self._registered.get(up.name)
            if before is None or before.upstream != up or before.suspect_until_s:
                _log.info(
                    "upstream",
                    upstream=up.name,
                    address=up.address,
                    failure_domain=up.failure_domain,
                    leaving=up.leaving,
                    started_ms=up.started_ms,
                    version=up.version,
                )
        for name in missing & frozenset(self._registered):
            age_s = trio.current_time() - self._availability.recovered_s
            _log.info("upstream_missing", upstream=name, since_store_returned_s=age_s)

    async def _expire_registrations(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            present = registrations.drop_expired(self._registered, trio.current_time())
            if len(present) < len(self._registered):
                self._registered = present
                self.changed.notify_all()


def _make_notice(up: routes.Upstream) -> shared_ports.Leaving:
    """Return the notice about this start of an upstream; its next start gets work again."""
    return shared_ports.Leaving(up.name, up.started_ms)
