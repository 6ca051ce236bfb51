"""VMs that share teams' rate limits, on a network of their own in memory and a virtual clock."""

import dataclasses
import random

import msgspec
import trio

from cornelgrade import errors, routes
from cornelgrade.policy import rendezvous, route_table, shared_allowance
from cornelgrade.schema import codec, messages
from cornelgrade.services import _subscriptions
from cornelgrade.services.edge import _notifier, allowances, peers, team_limits

DELAY_S = 0.003


class FakeFleet:
    """The service ``fleet`` with a plan that tests set."""

    def __init__(self):
        self.changed = _notifier.Notifier()
        self._table = None

    def table(self):
        return self._table

    def set_plan(self, plan):
        self._table = route_table.RouteTable(plan)
        self.changed.notify_all()


class FakePeers:
    """The service ``peers`` of one VM."""

    knows_others = True

    def __init__(self, vm, network):
        self.vm = vm
        self.subscribers = _subscriptions.Subscriptions()
        self._network = network

    def subscribe(self, kind):
        return self.subscribers.subscribe(kind)

    def send(self, vm, body):
        self._network.send(self.vm, vm, body)

    def limit_owner(self, team):
        timeout_s = peers.LIMIT_OWNER_TIMEOUT_S
        hears = self._network.hears
        workers = tuple(w for w in self._network.workers if hears(self.vm, w, timeout_s))
        return next(iter(rendezvous.pick_members(team, workers, 1)), None) if workers else None

    def count_senders(self):
        heard = sum(self._network.hears(self.vm, vm) for vm in self._network.vms)
        return shared_allowance.Senders(heard, len(self._network.vms))


@dataclasses.dataclass
class Vm:
    """One VM with the services under test."""

    peers: FakePeers
    fleet: FakeFleet
    allowances: allowances.Allowances
    limits: team_limits.TeamLimits


class Network:
    """Delivers messages between VMs, except across cuts and to VMs that are down.

    :ivar sent_bytes: bytes of encoded messages by sender.
    """

    def __init__(self, nursery, gateways, workers, loss=0.0):
        self.gateways = [f"gateway-{n}" for n in range(gateways)]
        self.workers = [f"worker-{n}" for n in range(workers)]
        self.sent_bytes = dict.fromkeys([*self.gateways, *self.workers], 0)
        self._nursery = nursery
        self._loss = loss
        self._rng = random.Random(7)
        self._sides = {}
        self._cut_s = -1e9
        self.vms = {vm: self._make_vm(vm) for vm in self.sent_bytes}

    def _make_vm(self, vm):
        services = {"peers": FakePeers(vm, self), "fleet": FakeFleet()}
        kern = _Kernel(services)
        services["allowances"] = allowances.Allowances(kern)
        services["team_limits"] = team_limits.TeamLimits(kern)
        return Vm(**{"limits" if k == "team_limits" else k: v for k, v in services.items()})

    async def start(self, plan):
        for vm in self.vms.values():
            await self._nursery.start(_run_service, vm.allowances)
            await self._nursery.start(_run_service, vm.limits)
        await trio.testing.wait_all_tasks_blocked()
        self.set_plan(plan)

    def set_plan(self, plan):
        for vm in self.vms.values():
            vm.fleet.set_plan(plan)

    def cut(self, vms):
        """Cut some VMs off from the others; without any, heal."""
        self._sides = {vm: vm in vms for vm in self.vms}
        self._cut_s = trio.current_time() if vms else -1e9

    def _reaches(self, sender, receiver):
        return self._sides.get(sender) == self._sides.get(receiver)

    def hears(self, vm, other, timeout_s=peers.PEER_TIMEOUT_S):
        """Whether a VM counts another as live: a cut is noticed after a while."""
        return self._reaches(vm, other) or trio.current_time() - self._cut_s < timeout_s

    def send(self, sender, receiver, body):
        datagram = messages.Datagram(sender, 1, 1, 0.0, body)
        self.sent_bytes[sender] += len(codec.encode(datagram))
        if self._rng.random() >= self._loss:
            self._nursery.start_soon(self._deliver, sender, receiver, body)

    async def _deliver(self, sender, receiver, body):
        await trio.sleep(DELAY_S)
        if self._reaches(sender, receiver):
            if isinstance(body, messages.AllowanceRequest):
                body = msgspec.structs.replace(body, vm=sender)
            self.vms[receiver].peers.subscribers.deliver(body)


class _Kernel:
    def __init__(self, services):
        self._services = services

    def find(self, name, kind):
        return self._services[name]


async def _run_service(service, task_status):
    await service.run(task_status.started)


@dataclasses.dataclass
class Outcome:
    """What became of a team's requests: when some were admitted, and how many were not."""

    admitted_s: list = dataclasses.field(default_factory=list)
    refused: int = 0

    def most_in(self, window_s):
        """Return the largest number admitted in any window."""
        times = sorted(self.admitted_s)
        most = first = 0
        for last, at_s in enumerate(times):
            while at_s - times[first] >= window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


async def send_requests(network, team, per_s, for_s, seed=1, gateways=None):
    """Send a team's requests to drawn gateways at drawn times."""
    rng, outcome = random.Random(seed), Outcome()
    chosen = gateways or network.gateways
    async with trio.open_nursery() as nursery:
        end_s = trio.current_time() + for_s
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            vm = network.vms[rng.choice(chosen)]
            nursery.start_soon(_send_one, vm, team, outcome)
    return outcome


async def _send_one(vm, team, outcome):
    try:
        await vm.limits.admit(vm.fleet.table().team(team))
    except errors.Refusal:
        outcome.refused += 1
    else:
        outcome.admitted_s.append(trio.current_time())


def make_plan(*teams, version=1):
    """Return a plan with some teams and no routes."""
    return routes.Plan(version, (), (), teams=teams)
