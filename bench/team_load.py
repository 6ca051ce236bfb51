"""Online load of teams on simulated gateways and upstreams, without network or clock.

Drives the decision functions of :mod:`cornelgrade.policy.fair_queue` as the gateways and batch
owners do: each gateway knows the requests of others from reports that are some 100 ms old.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from cornelgrade.policy import fair_queue

WAIT_S = 0.06
RETRY_AFTER_S = 0.4
REPORT_INTERVAL_S = 0.1
REPORT_DELAY_S = 0.1
WAITING_AT_UPSTREAM = 1
MAX_QUEUED_AT_UPSTREAM = 24


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A fleet and its load.

    :param rates_per_s: requests a second by team.
    :param fair: whether gateways and owners treat teams fairly, or in order of arrival only.
    """

    rates_per_s: dict[str, float]
    gateways: int = 70
    upstreams: int = 30
    slots: int = 8
    owners: int = 7
    request_s: tuple[float, float] = (0.4, 0.9)
    duration_s: float = 20.0
    seed: int = 1
    fair: bool = True
    lo: float = 0.9
    hi: float = 1.1
    maj: float = 0.5


@dataclasses.dataclass
class _Upstream:
    running: int = 0
    queue: collections.deque = dataclasses.field(default_factory=collections.deque)
    by_gateway: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    by_team: collections.Counter = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass
class _Gateway:
    queue: fair_queue.StartTimeQueue = dataclasses.field(default_factory=fair_queue.StartTimeQueue)
    others: dict[int, int] = dataclasses.field(default_factory=dict)
    verdicts: dict[int, fair_queue.Verdict] = dataclasses.field(default_factory=dict)
    waiting: list["_Request"] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Request:
    team: str
    tries: int = 1
    arrival: int = 0
    tag: fair_queue.StartTag | None = None
    is_over: bool = False


@dataclasses.dataclass
class Outcome:
    """Requests of each team that arrived and that were served, and the utilization of the slots."""

    arrived: collections.Counter
    served: collections.Counter
    utilization: float
    wait_s: dict[str, float]

    def share(self, teams: list[str] | None = None) -> float:
        """Return the share of the teams' requests that were served."""
        chosen = teams or list(self.arrived)
        return sum(self.served[t] for t in chosen) / max(1, sum(self.arrived[t] for t in chosen))


class _Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.gateways = [_Gateway() for _ in range(scenario.gateways)]
        self.upstreams = [_Upstream() for _ in range(scenario.upstreams)]
        self.usage = [fair_queue.SlotUsage[int]() for _ in range(scenario.owners)]
        self.arrived: collections.Counter = collections.Counter()
        self.served: collections.Counter = collections.Counter()
        self.waits = collections.defaultdict(list)
        self.busy_s = 0.0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), action))

    def run(self) -> Outcome:
        for team, rate in self.scenario.rates_per_s.items():
            self.schedule_arrival(team, rate)
        for owner in range(self.scenario.owners):
            self.after(self.rng.random() * REPORT_INTERVAL_S, lambda o=owner: self.report(o))
        while self.events and self.now_s < self.scenario.duration_s + 6.0:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        slots = self.scenario.upstreams * self.scenario.slots
        return Outcome(
            self.arrived,
            self.served,
            self.busy_s / slots / self.scenario.duration_s,
            {t: sum(w) / len(w) for t, w in self.waits.items()},
        )

    def schedule_arrival(self, team: str, rate: float) -> None:
        def arrive() -> None:
            # Requests too late to be retried within the run would distort the shares.
            if self.now_s < self.scenario.duration_s:
                self.arrived[team] += 1
                self.offer(_Request(team))
                self.schedule_arrival(team, rate)

        self.after(self.rng.expovariate(rate), arrive)

    def offer(self, req: _Request) -> None:
        index = self.rng.randrange(len(self.gateways))
        gateway = self.gateways[index]
        req.arrival = next(self.numbers)
        req.is_over = self.scenario.fair and fair_queue.is_over_share(
            fair_queue.team_id(req.team), gateway.verdicts.values()
        )
        req.tag = gateway.queue.tag(req.team)
        if req.is_over and self.rng.random() < fair_queue.early_refusal_probability(
            self.occupancy(index)
        ):
            self.refuse(gateway, req)
            return
        gateway.waiting.append(req)
        if self.scenario.fair:
            gateway.waiting.sort(key=lambda r: (r.is_over, r.tag.start_s, r.arrival))
        self.dispatch(index)
        if req in gateway.waiting:
            self.after(WAIT_S, lambda: self.give_up(gateway, req))

    def give_up(self, gateway: _Gateway, req: _Request) -> None:
        if req in gateway.waiting:
            gateway.waiting.remove(req)
            self.refuse(gateway, req)

    def occupancy(self, index: int) -> float:
        online = sum(self.online(index, number) for number in range(len(self.upstreams)))
        return online / self.scenario.slots / len(self.upstreams)

    def online(self, index: int, number: int) -> int:
        """Return an upstream's requests as a gateway knows them."""
        own = self.upstreams[number].by_gateway[index]
        return own + self.gateways[index].others.get(number, 0)

    def refuse(self, gateway: _Gateway, req: _Request) -> None:
        gateway.queue.end(req.tag, None)
        if req.tries < 2:
            again = _Request(req.team, req.tries + 1)
            self.after(RETRY_AFTER_S, lambda: self.offer(again))

    def dispatch(self, index: int) -> None:
        gateway = self.gateways[index]
        for req in tuple(gateway.waiting):
            known = [
                (self.online(index, n), self.rng.random(), n) for n in range(len(self.upstreams))
            ]
            places = self.scenario.slots + (0 if req.is_over else WAITING_AT_UPSTREAM)
            free = [up for up in known if up[0] < places]
            if not free:
                continue
            number = min(self.rng.sample(free, min(2, len(free))))[2]
            gateway.waiting.remove(req)
            gateway.queue.start(req.tag)
            self.send(index, number, req)

    def send(self, index: int, number: int, req: _Request) -> None:
        up = self.upstreams[number]
        up.by_gateway[index] += 1
        up.by_team[fair_queue.team_id(req.team)] += 1
        up.queue.append((index, req, self.now_s))
        self.start_next(number)

    def start_next(self, number: int) -> None:
        up = self.upstreams[number]
        while up.queue and up.running < self.scenario.slots:
            index, req, since_s = up.queue.popleft()
            self.waits[req.team].append(self.now_s - since_s)
            up.running += 1
            took_s = self.rng.uniform(*self.scenario.request_s)
            self.after(
                took_s,
                lambda i=index, r=req, s=since_s, t=took_s: self.finish(i, number, r, s, t),
            )

    def finish(self, index: int, number: int, req: _Request, since_s: float, took_s: float) -> None:
        up = self.upstreams[number]
        up.running -= 1
        up.by_gateway[index] -= 1
        up.by_team[fair_queue.team_id(req.team)] -= 1
        self.busy_s += took_s if self.now_s < self.scenario.duration_s else 0
        if self.now_s - since_s - took_s < 1.0:
            self.served[req.team] += 1
        self.gateways[index].queue.end(req.tag, self.now_s - since_s)
        self.start_next(number)
        self.dispatch(index)

    def report(self, owner: int) -> None:
        """Send what an owner knows of its upstreams to all gateways."""
        owned = range(owner, len(self.upstreams), self.scenario.owners)
        in_use = sum((+self.upstreams[n].by_team for n in owned), collections.Counter())
        usage = self.usage[owner].update(in_use, self.now_s)
        slots = len(owned) * self.scenario.slots
        over = fair_queue.list_over_share(usage, in_use.total(), slots)
        counts = {n: self.upstreams[n].by_gateway.copy() for n in owned}
        self.after(REPORT_DELAY_S, lambda: self.receive(owner, counts, over))
        self.after(REPORT_INTERVAL_S, lambda: self.report(owner))

    def receive(
        self, owner: int, counts: dict[int, collections.Counter], over: frozenset[int]
    ) -> None:
        for index, gateway in enumerate(self.gateways):
            gateway.verdicts[owner] = fair_queue.Verdict(over, len(counts))
            for number, by_gateway in counts.items():
                gateway.others[number] = sum(by_gateway.values()) - by_gateway[index]
            if gateway.waiting:
                self.dispatch(index)


def simulate(scenario: Scenario) -> Outcome:
    """Play a load and return what was served."""
    return _Simulation(scenario).run()
