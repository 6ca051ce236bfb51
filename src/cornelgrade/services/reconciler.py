"""The service ``reconciler``: the lease holder of each failure domain sends orders to its engines.

Its snapshot has the wanted and the observed state of each engine, and why they differ. The holder
also writes it to the platform's object ``orders/FAILURE_DOMAIN``, which every VM can read.
"""

import dataclasses
import math
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import errors, kernel, logs, reports, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import reconcile, rendezvous
from cornelgrade.services import lease, ports, upstreams

KIND = "orders"
ROUND_INTERVAL_S = 1.0
STATE_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 10.0
LOADS_PER_MINUTE = 30.0
LOAD_BURST = 5
_MATCHING_POLL_INTERVAL_S = 30.0
_ORDER_RETRY_S = 10.0
_PUBLISH_INTERVAL_S = 5.0
_LEASE_CANDIDATES = 2
_MAX_CONCURRENT_POLLS = 16


class PublishedStanding(msgspec.Struct, frozen=True):
    """The wanted and observed state of one engine, as published."""

    upstream: str
    wanted: str
    seen: str
    why: str


class Published(msgspec.Struct, frozen=True):
    """The holder's snapshot on the platform; matching engines are only counted."""

    holder: str
    epoch: int
    manifest_version: int
    matching: int
    differing: tuple[PublishedStanding, ...]


class LoadBudget:
    """A token bucket that limits loads to the rate of the weight store."""

    def __init__(self, per_minute: float = LOADS_PER_MINUTE, burst: int = LOAD_BURST) -> None:
        self._per_s = per_minute / 60
        self._burst = burst
        self._available = float(burst)
        self._updated_at: float | None = None

    def available(self, now: float) -> int:
        """Return the number of loads that may start now."""
        if self._updated_at is not None:
            self._available = min(
                self._burst, self._available + (now - self._updated_at) * self._per_s
            )
        self._updated_at = now
        return math.floor(self._available)

    def spend(self) -> None:
        """Count one started load."""
        self._available -= 1


class Reconciler:
    """Sends orders that bring engines to the manifest, while this VM holds the orders lease.

    :param budget: limits loads to the rate of the weight store.
    """

    name = "reconciler"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.Settings,
        store: platform.Platform,
        *,
        budget: LoadBudget | None = None,
    ) -> None:
        self._kern = kern
        self._cfg = cfg
        self._store = store
        self._load_budget = budget or LoadBudget()
        self._log = logs.Logger(self.name)
        self._lease = lease.Lease(
            store,
            f"orders.{cfg.failure_domain}",
            cfg.vm,
            eligible=self._is_eligible,
            longest_order_s=self._longest_order_s,
        )
        self._observed: dict[str, reconcile.ObservedEngine] = {}
        self._polled_at: dict[str, float] = {}
        self._plan = reconcile.Plan((), ())
        self._version = 0
        self._version_at = 0.0
        self._published: Published | None = None
        self._published_at = -math.inf
        self._published_version = 0

    # Status

    def standings(self) -> tuple[reconcile.EngineStatus, ...]:
        """Return this failure domain's engines: wanted state, observed state, why they differ."""
        held = self._lease.held()
        if held is not None:
            return self._plan.statuses
        last_read = self._lease.last_read()
        holder = last_read.record.holder.partition("/")[0] if last_read is not None else "nobody"
        why = f"orders are given by {holder}"
        return tuple(
            reconcile.EngineStatus(
                w.upstream, reconcile.describe(w.models, w.role), "not looked at", why
            )
            for w in self._wanted_engines()
            if w.failure_domain == self._cfg.failure_domain
        )

    def report(self) -> reports.Report:
        """Return the engines that differ from the manifest, for the status page."""
        held = self._lease.held()
        if held is None:
            return reports.Report()
        differing = [s for s in self._plan.statuses if s.why != reconcile.MATCHES]
        degraded = tuple(
            reports.Degraded(f"{s.upstream} should run {s.wanted}, runs {s.seen}: {s.why}")
            for s in differing
        )
        facts = (
            reports.Fact("orders_epoch", str(held.record.epoch)),
            reports.Fact("engines_differing", str(len(differing))),
        )
        return reports.Report(degraded=degraded, facts=facts)

    # Service

    async def run(self, started: Callable[[], None]) -> None:
        """Hold the lease and send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.run)
            started()
            while True:
                await self._lease.wait_until_held()
                async with trio.open_nursery() as orders:
                    while (held := self._lease.held()) is not None:
                        await self._run_round(held.record.epoch, orders)
                        await trio.sleep(ROUND_INTERVAL_S)

    def _is_eligible(self) -> bool:
        view = self._kern.find("membership", ports.Membership).view()
        vms = [m.vm for m in view.usable(self._cfg.failure_domain)]
        chosen = rendezvous.pick_members(
            f"orders.{self._cfg.failure_domain}", vms, _LEASE_CANDIDATES
        )
        return not vms or self._cfg.vm in chosen

    def _longest_order_s(self) -> float:
        """Return how long a past holder's order may still run; 0 if all engines check fencing."""
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return 2 * ORDER_TIMEOUT_S
        all_check_fencing = all(
            upstream.checks_fencing
            for upstream in accepted.manifest.upstreams
            if upstream.failure_domain == self._cfg.failure_domain
        )
        return 0.0 if all_check_fencing else 2 * ORDER_TIMEOUT_S

    def _wanted_engines(self) -> tuple[reconcile.DesiredEngine, ...]:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        return reconcile.list_desired_engines(accepted.manifest) if accepted is not None else ()

    async def _run_round(self, epoch: int, orders: trio.Nursery) -> None:
        self._track_manifest_version()
        wanted = self._wanted_engines()
        await self._poll_engines(wanted)
        now = trio.current_time()
        bounds = reconcile.Bounds(now, now - self._version_at, self._load_budget.available(now))
        domain = self._cfg.failure_domain
        self._plan = reconcile.plan(wanted, self._observed, domain, bounds)
        for order in self._plan.orders:
            if order.step.loads:
                self._load_budget.spend()
            self._update_observed(order.upstream, ordered=str(order.step), refused="")
            orders.start_soon(self._send_order, order, epoch)
        await self._publish(epoch)

    def _track_manifest_version(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is not None and accepted.version != self._version:
            self._version = accepted.version
            self._version_at = trio.current_time()

    # Polling engines

    async def _poll_engines(self, wanted: tuple[reconcile.DesiredEngine, ...]) -> None:
        """Poll engines whose last state is too old; those that differ are polled every round."""
        now = trio.current_time()
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_POLLS)
        own = [w for w in wanted if w.failure_domain == self._cfg.failure_domain]
        services = {w.service for w in own if self._differs_from_wanted(w)}
        earlier = [
            w
            for w in wanted
            if w.failure_domain < self._cfg.failure_domain and w.service in services
        ]
        async with trio.open_nursery() as nursery:
            for item in [*own, *earlier]:
                matching = not self._differs_from_wanted(item)
                age_s = now - self._polled_at.get(item.upstream, -math.inf)
                if age_s >= (_MATCHING_POLL_INTERVAL_S if matching else ROUND_INTERVAL_S):
                    nursery.start_soon(self._poll_engine, item.upstream, limit)

    def _differs_from_wanted(self, item: reconcile.DesiredEngine) -> bool:
        state = self._observed.get(item.upstream, reconcile.ObservedEngine()).state
        return state is None or bool(reconcile.list_steps(item, state, unload=True))

    async def _poll_engine(self, name: str, limit: trio.CapacityLimiter) -> None:
        async with limit:
            try:
                pool = self._kern.find("upstreams", upstreams.Pool)
                with trio.fail_after(STATE_TIMEOUT_S):
                    state = await pool.get(name).state()
            except (engine.CallError, errors.Refusal, trio.TooSlowError):
                self._update_observed(name, state=None)
            else:
                self._update_observed(name, state=state)
                self._polled_at[name] = trio.current_time()

    def _update_observed(self, name: str, **changes: object) -> None:
        before = self._observed.get(name, reconcile.ObservedEngine())
        self._observed[name] = dataclasses.replace(before, **changes)  # type: ignore[arg-type]

    # Orders

    async def _send_order(self, order: reconcile.PlannedOrder, epoch: int) -> None:
        """Send one order; the engine is polled again afterwards, whatever the outcome."""
        name, order_text = order.upstream, str(order.step)
        self._record_step(name, "order", f"epoch {epoch} orders: {order_text}")
        try:
            upstream = self._kern.find("upstreams", upstreams.Pool).get(name)
            with self._lease.guard_order(epoch), trio.fail_after(ORDER_TIMEOUT_S):
                state = await upstream.order(order.step.order(epoch))
        except lease.NotHeldError:
            self._record_failure(name, order_text, "the orders lease is over")
        except trio.TooSlowError:
            self._record_failure(name, order_text, f"no answer in {ORDER_TIMEOUT_S:.0f} s")
        except errors.CornelgradeError as exc:
            self._record_failure(name, order_text, exc.message)
        else:
            self._update_observed(name, state=state, ordered="", refused="", retry_at=0.0)
            self._record_step(name, "done", f"done: {order_text}")
        self._polled_at.pop(name, None)

    def _record_failure(self, name: str, order_text: str, why: str) -> None:
        self._update_observed(
            name, ordered="", refused=why, retry_at=trio.current_time() + _ORDER_RETRY_S
        )
        self._record_step(name, "failed", f"not done: {order_text}: {why}")

    def _record_step(self, name: str, step: str, sentence: str) -> None:
        self._log.info("order", peer=name, step=step, sentence=sentence)
        if self._kern.has("histories"):
            histories = self._kern.find("histories", ports.Histories)
            histories.record(f"{name}/order", step, sentence, peer=name)

    # Snapshot on the platform

    async def _publish(self, epoch: int) -> None:
        differing = tuple(
            PublishedStanding(s.upstream, s.wanted, s.seen, s.why)
            for s in self._plan.statuses
            if s.why != reconcile.MATCHES
        )
        matching = len(self._plan.statuses) - len(differing)
        snapshot = Published(self._cfg.vm, epoch, self._version, matching, differing)
        now = trio.current_time()
        if snapshot == self._published or now - self._published_at < _PUBLISH_INTERVAL_S:
            return
        self._published_at = now
        try:
            await self._write_snapshot(msgspec.json.encode(snapshot))
        except errors.CornelgradeError as exc:
            self._log.info("snapshot_write_failed", error=exc.format_message())
        else:
            self._published = snapshot

    async def _write_snapshot(self, value: bytes) -> None:
        name = self._cfg.failure_domain
        try:
            if self._published_version:
                stored = await self._store.update(KIND, name, value, self._published_version)
            else:
                stored = await self._store.create(KIND, name, value)
        except platform.ConflictError as exc:
            self._published_version = exc.current.version if exc.current is not None else 0
            raise
        self._published_version = stored.version
