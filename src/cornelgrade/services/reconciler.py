"""The service ``reconciler``: one holder in each failure domain gives its engines orders.

Its snapshot says of each engine what is wanted, what is seen and why they differ. The holder also
writes it to the platform's object ``orders/FAILURE_DOMAIN``, where every VM can read it.
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
ROUND_S = 1.0
LOOK_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 10.0
LOADS_PER_MINUTE = 30.0
LOADS_BURST = 5
_SETTLED_LOOK_S = 30.0
_RETRY_S = 10.0
_PUBLISH_S = 5.0
_CANDIDATES = 2
_LOOKS_AT_ONCE = 16


class PublishedStanding(msgspec.Struct, frozen=True):
    """Where one engine stands."""

    upstream: str
    wanted: str
    seen: str
    why: str


class Published(msgspec.Struct, frozen=True):
    """The holder's snapshot on the platform; engines that match are only counted."""

    holder: str
    epoch: int
    manifest_version: int
    matching: int
    differing: tuple[PublishedStanding, ...]


class LoadBudget:
    """A token bucket of loads, for the weight store's rate."""

    def __init__(self, per_minute: float = LOADS_PER_MINUTE, burst: int = LOADS_BURST) -> None:
        self._per_s = per_minute / 60
        self._burst = burst
        self._left = float(burst)
        self._at: float | None = None

    def left(self, now: float) -> int:
        """Give the loads that may begin now."""
        if self._at is not None:
            self._left = min(self._burst, self._left + (now - self._at) * self._per_s)
        self._at = now
        return math.floor(self._left)

    def spend(self) -> None:
        """Take one."""
        self._left -= 1


class Reconciler:
    """Follows the manifest with orders, as long as this VM holds the orders lease.

    :param budget: loads that the weight store allows.
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
        self._budget = budget or LoadBudget()
        self._log = logs.Logger(self.name)
        self._lease = lease.Lease(
            store,
            f"orders.{cfg.failure_domain}",
            cfg.vm,
            eligible=self._eligible,
            longest_order_s=self._longest_order_s,
        )
        self._observed: dict[str, reconcile.Observed] = {}
        self._looked_at: dict[str, float] = {}
        self._plan = reconcile.Plan((), ())
        self._version = 0
        self._version_at = 0.0
        self._published: Published | None = None
        self._published_at = -math.inf
        self._published_version = 0

    # What others may ask ----------------------------------------------------------------

    def standings(self) -> tuple[reconcile.Standing, ...]:
        """Say of each engine of this failure domain what is wanted, seen, and why they differ."""
        held = self._lease.held()
        if held is not None:
            return self._plan.standings
        seen = self._lease.seen()
        holder = seen.record.holder.partition("/")[0] if seen is not None else "nobody"
        why = f"orders are given by {holder}"
        return tuple(
            reconcile.Standing(
                w.upstream, reconcile.describe(w.models, w.role), "not looked at", why
            )
            for w in self._wanted()
            if w.failure_domain == self._cfg.failure_domain
        )

    def report(self) -> reports.Report:
        """Give the engines that differ for the status page."""
        held = self._lease.held()
        if held is None:
            return reports.Report()
        differing = [s for s in self._plan.standings if s.why != reconcile.MATCHES]
        degraded = tuple(
            reports.Degraded(f"{s.upstream} should run {s.wanted}, runs {s.seen}: {s.why}")
            for s in differing
        )
        facts = (
            reports.Fact("orders_epoch", str(held.record.epoch)),
            reports.Fact("engines_differing", str(len(differing))),
        )
        return reports.Report(degraded=degraded, facts=facts)

    # The service ------------------------------------------------------------------------

    async def run(self, started: Callable[[], None]) -> None:
        """Keep the lease and give orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.run)
            started()
            while True:
                await self._lease.wait_until_held()
                async with trio.open_nursery() as orders:
                    while (held := self._lease.held()) is not None:
                        await self._round(held.record.epoch, orders)
                        await trio.sleep(ROUND_S)

    def _eligible(self) -> bool:
        view = self._kern.find("membership", ports.Membership).view()
        vms = [m.vm for m in view.usable(self._cfg.failure_domain)]
        chosen = rendezvous.pick(f"orders.{self._cfg.failure_domain}", vms, _CANDIDATES)
        return not vms or self._cfg.vm in chosen

    def _longest_order_s(self) -> float:
        """Give how long a past holder's order may take to end; none, if all engines fence."""
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return 2 * ORDER_TIMEOUT_S
        fenced = all(
            upstream.checks_fencing
            for upstream in accepted.manifest.upstreams
            if upstream.failure_domain == self._cfg.failure_domain
        )
        return 0.0 if fenced else 2 * ORDER_TIMEOUT_S

    def _wanted(self) -> tuple[reconcile.Wanted, ...]:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        return reconcile.wanted_engines(accepted.manifest) if accepted is not None else ()

    async def _round(self, epoch: int, orders: trio.Nursery) -> None:
        self._note_version()
        wanted = self._wanted()
        await self._look(wanted)
        now = trio.current_time()
        bounds = reconcile.Bounds(now, now - self._version_at, self._budget.left(now))
        domain = self._cfg.failure_domain
        self._plan = reconcile.plan(wanted, self._observed, domain, bounds)
        for give in self._plan.orders:
            if give.step.loads:
                self._budget.spend()
            self._set(give.upstream, ordered=str(give.step), refused="")
            orders.start_soon(self._give, give, epoch)
        await self._publish(epoch)

    def _note_version(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is not None and accepted.version != self._version:
            self._version = accepted.version
            self._version_at = trio.current_time()

    # Looking at engines -----------------------------------------------------------------

    async def _look(self, wanted: tuple[reconcile.Wanted, ...]) -> None:
        """Ask the engines whose last answer is too old; those that differ are asked each round."""
        now = trio.current_time()
        limit = trio.CapacityLimiter(_LOOKS_AT_ONCE)
        own = [w for w in wanted if w.failure_domain == self._cfg.failure_domain]
        services = {w.service for w in own if self._differs(w)}
        ahead = [
            w
            for w in wanted
            if w.failure_domain < self._cfg.failure_domain and w.service in services
        ]
        async with trio.open_nursery() as nursery:
            for item in [*own, *ahead]:
                settled = not self._differs(item)
                age_s = now - self._looked_at.get(item.upstream, -math.inf)
                if age_s >= (_SETTLED_LOOK_S if settled else ROUND_S):
                    nursery.start_soon(self._ask, item.upstream, limit)

    def _differs(self, item: reconcile.Wanted) -> bool:
        state = self._observed.get(item.upstream, reconcile.Observed()).state
        return state is None or bool(reconcile.steps(item, state, unload=True))

    async def _ask(self, name: str, limit: trio.CapacityLimiter) -> None:
        async with limit:
            try:
                pool = self._kern.find("upstreams", upstreams.Pool)
                with trio.fail_after(LOOK_TIMEOUT_S):
                    state = await pool.get(name).state()
            except (engine.CallError, errors.Refusal, trio.TooSlowError):
                self._set(name, state=None)
            else:
                self._set(name, state=state)
                self._looked_at[name] = trio.current_time()

    def _set(self, name: str, **changes: object) -> None:
        before = self._observed.get(name, reconcile.Observed())
        self._observed[name] = dataclasses.replace(before, **changes)  # type: ignore[arg-type]

    # Orders -----------------------------------------------------------------------------

    async def _give(self, give: reconcile.Give, epoch: int) -> None:
        """Give one order; whatever comes of it, the engine is asked again afterwards."""
        name, text = give.upstream, str(give.step)
        self._note(name, "order", f"epoch {epoch} orders: {text}")
        try:
            upstream = self._kern.find("upstreams", upstreams.Pool).get(name)
            with self._lease.guard_order(epoch), trio.fail_after(ORDER_TIMEOUT_S):
                state = await upstream.order(give.step.order(epoch))
        except lease.NotHeldError:
            self._failed(name, text, "the orders lease is over")
        except trio.TooSlowError:
            self._failed(name, text, f"no answer in {ORDER_TIMEOUT_S:.0f} s")
        except errors.CornelgradeError as exc:
            self._failed(name, text, exc.message)
        else:
            self._set(name, state=state, ordered="", refused="", retry_at=0.0)
            self._note(name, "done", f"done: {text}")
        self._looked_at.pop(name, None)

    def _failed(self, name: str, text: str, why: str) -> None:
        self._set(name, ordered="", refused=why, retry_at=trio.current_time() + _RETRY_S)
        self._note(name, "failed", f"not done: {text}: {why}")

    def _note(self, name: str, step: str, sentence: str) -> None:
        self._log.info("order", peer=name, step=step, sentence=sentence)
        if self._kern.has("histories"):
            histories = self._kern.find("histories", ports.Histories)
            histories.record(f"{name}/order", step, sentence, peer=name)

    # The snapshot on the platform -------------------------------------------------------

    async def _publish(self, epoch: int) -> None:
        differing = tuple(
            PublishedStanding(s.upstream, s.wanted, s.seen, s.why)
            for s in self._plan.standings
            if s.why != reconcile.MATCHES
        )
        matching = len(self._plan.standings) - len(differing)
        fresh = Published(self._cfg.vm, epoch, self._version, matching, differing)
        now = trio.current_time()
        if fresh == self._published or now - self._published_at < _PUBLISH_S:
            return
        self._published_at = now
        try:
            await self._write(msgspec.json.encode(fresh))
        except errors.CornelgradeError as exc:
            self._log.info("standings_not_written", error=exc.format_message())
        else:
            self._published = fresh

    async def _write(self, value: bytes) -> None:
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
