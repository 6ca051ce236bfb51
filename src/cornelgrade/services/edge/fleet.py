"""The service ``fleet``: the plan in force and the upstreams that are registered."""

from collections.abc import Callable

import trio

from cornelgrade import logs, routes
from cornelgrade.adapters import platform
from cornelgrade.policy import registrations, route_table
from cornelgrade.services.edge import _object_watch, _signal, ports

FORGET_INTERVAL_S = 0.25
_log = logs.Logger("fleet")


class Fleet:
    """Follows plans and registrations; a plan never gives way to an older one.

    :ivar changed: given after each change.
    """

    name = "fleet"

    def __init__(
        self,
        store: platform.Platform,
        directory: ports.Directory,
        contact: _object_watch.StoreAvailability,
    ) -> None:
        self.changed = _signal.Signal()
        self._store = store
        self._directory = directory
        self._contact = contact
        self._table: route_table.RouteTable | None = None
        self._registered: registrations.Registrations = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Follow until cancelled."""
        kinds = self._directory
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _object_watch.follow, self._store, kinds.plan_kind, self._contact, self._plans
            )
            nursery.start_soon(
                _object_watch.follow,
                self._store,
                kinds.upstream_kind,
                self._contact,
                self._upstreams,
            )
            nursery.start_soon(self._forget)
            started()

    def table(self) -> route_table.RouteTable | None:
        """Give the routes in force, ``None`` before the first plan is known."""
        return self._table

    def upstreams(self) -> tuple[registrations.Registration, ...]:
        """Give the upstreams that may get new work."""
        return registrations.usable(self._registered, trio.current_time())

    async def _plans(self, changes: platform.Changes, whole: bool) -> None:
        for stored in changes.items:
            if stored.name == self._directory.plan_name:
                self._accept(self._directory.plan(stored.value), stored.version)

    def _accept(self, plan: routes.Plan | None, revision: int) -> None:
        before = self._table.plan.version if self._table else 0
        if plan is None or plan.version <= before:
            return
        self._table = route_table.RouteTable(plan)
        _log.info("plan_in_force", version=plan.version, before=before, revision=revision)
        self.changed.give()

    async def _upstreams(self, changes: platform.Changes, whole: bool) -> None:
        read = {s.name: self._directory.upstream(s.name, s.value) for s in changes.items}
        good = tuple(up for up in read.values() if up)
        names = frozenset(up.name for up in good)
        missing = frozenset(self._registered) - names if whole else frozenset(changes.deleted)
        missing |= frozenset(name for name, up in read.items() if up is None)
        self._log_changes(good, missing)
        known = registrations.stand(self._registered, good)
        away = self._contact.returned_s
        self._registered = registrations.lapse(known, missing, away)
        self.changed.give()

    def _log_changes(self, good: tuple[routes.Upstream, ...], missing: frozenset[str]) -> None:
        for up in good:
            before = self._registered.get(up.name)
            if before is None or before.upstream != up or before.doubted_until_s:
                _log.info(
                    "upstream",
                    upstream=up.name,
                    address=up.address,
                    failure_domain=up.failure_domain,
                    leaving=up.leaving,
                    started_ms=up.started_ms,
                )
        for name in missing & frozenset(self._registered):
            age_s = trio.current_time() - self._contact.returned_s
            _log.info("upstream_missing", upstream=name, since_store_returned_s=age_s)

    async def _forget(self) -> None:
        while True:
            await trio.sleep(FORGET_INTERVAL_S)
            self._registered = registrations.forget(self._registered, trio.current_time())
