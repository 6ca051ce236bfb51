"""Placement on load reports of some age: the rule of today, the one before it and an oracle.

Usage:
  even_load [--seeds=N] [--write=FILE] [--plot=FILE]

Options:
  --seeds=N     Runs per figure [default: 3].
  --write=FILE  Replace the table in this file.
  --plot=FILE   Write a plot over the age of the reports.

Drives the functions of ``policy/placement.py`` over drawn loads, without network or clock. All
rules get the same requests. The oracle knows all loads and speeds; the rule before took each report
for current, each speed for equal, and an upstream without a report for idle.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import pathlib
import random
import statistics
from collections.abc import Callable

import docopt

from cornelgrade.policy import placement, preference, rendezvous, upstream_speed

# The load of the deployments: calm and busy phases in turn.
CALM_SHARE, BUSY_SHARE = 0.4, 1.9
PHASE_S = (2.0, 3.0)
DURATION_S = (0.4, 0.9)
RUN_S = 20.0
SLOTS = 8
# A gateway refuses a request that waits for longer than this for a permit.
MAX_WAIT_S = 0.062
TICK_S = 0.05
# A gateway follows the load of this many upstreams of its own failure domain, and of others; and of
# those at which it had a request within this time.
FOLLOWED_LOCAL, FOLLOWED_REMOTE = 16, 8
USED_TTL_S = 1.5
# A failing upstream's requests that fail, and how soon.
FAILING_SHARE, FAILURE_S = 0.45, 0.005
RULES = ("oracle", "before", "now")
AGES_S = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0)
MARK = "<!-- table: python -m bench.even_load -->\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A fleet and its load.

    :param rate: mean of online requests a second.
    :param slow: upstreams at 0.55 of the usual speed; the others then run at ``fast`` times it.
    :param failing: upstreams that fail part of their requests immediately.
    """

    name: str
    gateways: int
    upstreams: int
    rate: float
    domains: int = 4
    slow: int = 0
    fast: float = 1.0
    failing: int = 0


A = Site("A, 70 VMs", 70, 30, 109.0)
SITES = (
    Site("6 VMs", 6, 4, 12.0, domains=3),
    Site("9 VMs", 9, 6, 18.0, domains=3),
    Site("9 VMs, busy", 9, 6, 27.0, domains=3),
    A,
    dataclasses.replace(A, name="A, bursts", rate=163.0),
    dataclasses.replace(A, name="A, 4 fail fast", failing=4),
    Site("B, 70 VMs, 11 slow", 70, 45, 204.0, slow=11, fast=1.2),
    Site("390 VMs", 390, 167, 607.0),
)


class Count:
    """A number of requests over time."""

    def __init__(self) -> None:
        self._times_s, self._counts = [0.0], [0]

    def add(self, change: int, now_s: float) -> None:
        """Change the number."""
        self._times_s.append(now_s)
        self._counts.append(self._counts[-1] + change)

    def at(self, time_s: float) -> int:
        """Return the number at some time."""
        return self._counts[max(0, bisect.bisect_right(self._times_s, time_s) - 1)]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request; ``free_s``: time with a free slot anywhere until it arrived."""

    gateway: int
    arrived_s: float
    work_s: float
    fails: bool
    free_s: float = 0.0
    placed: bool = False


class Fleet:
    """Gateways that place requests, and upstreams that run them in order of arrival."""

    def __init__(self, site: Site, rule: str, age_s: float, seed: int) -> None:
        self.site, self.rule, self.age_s = site, rule, age_s
        self.rng = random.Random(seed)
        self.now_s = 0.0
        ups = range(site.upstreams)
        self.names = tuple(f"up-{u:03d}" for u in ups)
        speeds = [0.55] * site.slow + [site.fast] * (site.upstreams - site.slow)
        self.speeds = random.Random(seed).sample(speeds, len(speeds))
        self.total, self.running = [Count() for _ in ups], [0 for _ in ups]
        self.backlog: list[collections.deque[Request]] = [collections.deque() for _ in ups]
        self.own = [[Count() for _ in ups] for _ in range(site.gateways)]
        self.used_s = [[-USED_TTL_S] * site.upstreams for _ in range(site.gateways)]
        self.queues: list[list[Request]] = [[] for _ in range(site.gateways)]
        self.prepare_gateways()
        self.table, self.view = upstream_speed.SpeedTable(), upstream_speed.Speeds(0.5, {})
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()
        self.free = SLOTS * site.upstreams
        self.free_s, self.free_since_s = 0.0, 0.0
        self.waits_s: list[float] = []
        self.variances: list[float] = []
        self.means: list[float] = []
        self.needless = self.refused = self.failed = self.remote = self.placed = 0

    def prepare_gateways(self) -> None:
        """Set which upstreams each gateway follows and prefers."""
        vms = tuple(f"vm-{g:03d}" for g in range(self.site.gateways))
        self.followed, self.preferences = [], []
        for g, vm in enumerate(vms):
            ranked = sorted(self.names, key=lambda up: rendezvous.score(up, vm))
            local = [up for up in ranked if self.is_local(g, self.names.index(up))]
            remote = [up for up in ranked if up not in local]
            self.followed.append({*local[:FOLLOWED_LOCAL], *remote[:FOLLOWED_REMOTE]})
            near = tuple(v for h, v in enumerate(vms) if (h - g) % self.site.domains == 0)
            self.preferences.append(
                preference.rank_upstreams(vm, near, tuple(sorted(local)))
                | preference.rank_upstreams(vm, vms, tuple(sorted(remote)))
            )

    def is_local(self, g: int, u: int) -> bool:
        """Whether a gateway and an upstream are in the same failure domain."""
        return (g - u) % self.site.domains == 0

    def after(self, delay_s: float, handler: Callable, *args) -> None:
        """Call a handler later."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.order), handler, args))

    def run(self) -> "Fleet":
        """Run the whole load."""
        at_s = phase_ends_s = 0.0
        busy = False
        while at_s < RUN_S:
            if at_s >= phase_ends_s:
                busy, phase_ends_s = not busy, at_s + self.rng.uniform(*PHASE_S)
            at_s += self.rng.expovariate(self.site.rate * (BUSY_SHARE if busy else CALM_SHARE))
            gateway, work_s = self.rng.randrange(self.site.gateways), self.rng.uniform(*DURATION_S)
            fails = self.rng.random() < FAILING_SHARE
            self.after(at_s, self.arrive, Request(gateway, at_s, work_s, fails))
        for tick in range(int(RUN_S / TICK_S)):
            self.after(tick * TICK_S, self.tick)
        while self.events:
            self.now_s, _, handler, args = heapq.heappop(self.events)
            handler(*args)
        return self

    def tick(self) -> None:
        """Sample the loads; dispatch what waits, as after load reports."""
        self.view = self.table.assess(self.names, self.now_s)
        loads = [count.at(self.now_s) / s for count, s in zip(self.total, self.speeds, strict=True)]
        self.variances.append(statistics.pvariance(loads))
        self.means.append(statistics.fmean(loads))
        for g in range(self.site.gateways):
            self.dispatch(g)

    def measure_free_s(self) -> float:
        """Return for how long a slot was free somewhere."""
        return self.free_s + (self.now_s - self.free_since_s if self.free else 0.0)

    def take_slots(self, count: int) -> None:
        """Change the number of slots in use."""
        self.free_s, self.free_since_s = self.measure_free_s(), self.now_s
        self.free -= count

    def arrive(self, req: Request) -> None:
        """Queue a request at its gateway."""
        req.free_s = self.measure_free_s()
        self.queues[req.gateway].append(req)
        self.dispatch(req.gateway)
        self.after(MAX_WAIT_S, self.refuse, req)

    def refuse(self, req: Request) -> None:
        """Refuse a request that still waits for a permit."""
        if not req.placed:
            self.queues[req.gateway].remove(req)
            self.refused += 1
            self.end_wait(req)

    def end_wait(self, req: Request) -> None:
        """Count a request's wait at its gateway and upstream together."""
        self.waits_s.append(self.now_s - req.arrived_s)
        self.needless += self.measure_free_s() - req.free_s > 1e-9

    def candidate(self, g: int, u: int) -> placement.Candidate:
        """Return what the rule knows of an upstream."""
        name, seen_s, mine = self.names[u], self.now_s - self.age_s, self.own[g][u]
        known = name in self.followed[g] or self.now_s - self.used_s[g][u] < USED_TTL_S
        others, more = self.total[u].at(seen_s) - mine.at(seen_s) if known else 0, {}
        if self.rule == "oracle":
            others = self.total[u].at(self.now_s) - mine.at(self.now_s)
            more = {"speed": self.speeds[u]}
        if self.rule == "now":
            age = self.age_s / self.view.typical_s if known else None
            more = {"report_age": age, "preference": self.preferences[g][name]}
            more |= {"speed": self.view.relative.get(name, 1.0)}
        own = mine.at(self.now_s)
        return placement.Candidate(name, SLOTS, self.is_local(g, u), own, others, **more)

    def dispatch(self, g: int) -> None:
        """Place the requests that wait at a gateway."""
        for req in tuple(self.queues[g]):
            candidates = tuple(self.candidate(g, u) for u in range(self.site.upstreams))
            chosen = self.choose(candidates)
            if chosen is None:
                return
            u = self.names.index(chosen.name)
            self.queues[g].remove(req)
            req.placed = True
            self.placed += 1
            self.remote += not chosen.local
            self.change_count(g, u, 1)
            self.backlog[u].append(req)
            self.start_next(u)

    def choose(self, candidates: tuple[placement.Candidate, ...]) -> placement.Candidate | None:
        """Choose by the rule; the one before took the fewest reported requests."""
        if self.rule != "before":
            return placement.choose_upstream(candidates, self.rng)
        available = [c for c in candidates if placement.has_room(c)]
        return min(
            available, key=lambda c: (c.online + (not c.local), self.rng.random()), default=None
        )

    def change_count(self, g: int, u: int, change: int) -> None:
        """Count a request at an upstream."""
        self.total[u].add(change, self.now_s)
        self.own[g][u].add(change, self.now_s)
        self.used_s[g][u] = self.now_s

    def start_next(self, u: int) -> None:
        """Start the request that came first, if there is a slot for it."""
        if self.backlog[u] and self.running[u] < SLOTS:
            req = self.backlog[u].popleft()
            self.end_wait(req)
            self.running[u] += 1
            self.take_slots(1)
            fails = req.fails and u < self.site.failing
            took_s = FAILURE_S if fails else req.work_s / self.speeds[u]
            self.after(took_s, self.finish, u, req, fails)

    def finish(self, u: int, req: Request, failed: bool) -> None:
        """Free the slot of a request."""
        self.running[u] -= 1
        self.take_slots(-1)
        self.failed += failed
        if not failed:
            self.table.record(self.names[u], self.now_s - req.arrived_s, self.now_s)
        self.change_count(req.gateway, u, -1)
        self.start_next(u)
        self.dispatch(req.gateway)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Means over some seeds; shares in percent of the requests.

    :param variation: root mean square over time of the deviation of load by capacity over
        upstreams, by the mean load.
    :param needless: waited while a slot was free at some upstream.
    """

    variation: float
    needless: float
    refused: float
    failed: float
    p95_wait_ms: float
    remote: float


def measure(site: Site, rule: str, age_s: float, seeds: int) -> Result:
    """Run a rule at a site."""
    return _mean([_summarize(Fleet(site, rule, age_s, seed).run()) for seed in range(seeds)])


def _summarize(fleet: Fleet) -> Result:
    percent = 100.0 / len(fleet.waits_s)
    return Result(
        statistics.fmean(fleet.variances) ** 0.5 / statistics.fmean(fleet.means),
        fleet.needless * percent,
        fleet.refused * percent,
        fleet.failed * percent,
        sorted(fleet.waits_s)[int(0.95 * len(fleet.waits_s))] * 1000.0,
        100.0 * fleet.remote / fleet.placed,
    )


def _mean(results: list[Result]) -> Result:
    return Result(*map(statistics.fmean, zip(*map(dataclasses.astuple, results), strict=True)))


def make_table(seeds: int) -> str:
    """Measure all sites and return the rows of a table."""
    titles = ("site", "reports ms old", "rule", "variation", "waited needlessly %", "refused %")
    rows = [(*titles, "failed %", "p95 wait ms", "remote %")]
    for site in SITES:
        for age_s in (0.1, 0.4, 1.0) if site.gateways < 100 else (0.1, 0.4):
            for rule in RULES if age_s == 0.1 else RULES[1:]:
                got = measure(site, rule, age_s, seeds if site.gateways < 100 else 1)
                cells = [f"{got.variation:.2f}", f"{got.needless:.1f}", f"{got.refused:.1f}"]
                cells += [f"{got.failed:.1f}", f"{got.p95_wait_ms:.0f}", f"{got.remote:.0f}"]
                age = "0" if rule == "oracle" else f"{age_s * 1000:.0f}"
                rows.append((site.name, age, rule, *cells))
                print(*rows[-1], sep=" | ", flush=True)
    rows.insert(1, ("---",) * len(rows[0]))
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def plot(path: str, seeds: int) -> None:
    """Plot variation and needless waits at site A over the age of the reports."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "cornelgrade"
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for rule in RULES:
        results = [measure(A, rule, age_s, seeds) for age_s in AGES_S]
        ages_ms = [1000.0 * age_s for age_s in AGES_S]
        axes[0].plot(ages_ms, [got.variation for got in results], marker="o", label=rule)
        axes[1].plot(ages_ms, [got.needless for got in results], marker="o", label=rule)
    axes[0].set_ylabel("variation of load over upstreams")
    axes[1].set_ylabel("waited while a slot was free, %")
    for ax in axes:
        ax.set_xlabel("age of the load reports, ms")
        ax.set_ylim(bottom=0)
        ax.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Run the command."""
    args = docopt.docopt(__doc__)
    table = make_table(int(args["--seeds"]))
    if args["--write"]:
        file = pathlib.Path(args["--write"])
        head, _, tail = file.read_text().partition(MARK)
        rest = tail.lstrip("|").partition("\n\n")[2]
        file.write_text(f"{head}{MARK}{table}\n{rest}")
    if args["--plot"]:
        plot(args["--plot"], int(args["--seeds"]))


if __name__ == "__main__":
    main()
