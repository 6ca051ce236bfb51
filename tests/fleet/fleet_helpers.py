import random

import trio

from cornelgrade import settings
from cornelgrade.adapters import peer_key
from cornelgrade.services import membership
from cornelgrade.standins import local_ports

KEY = peer_key.derive(b"test key")


def make_settings(count, domains=("d1", "d2", "d3")):
    addresses = [local_ports.free_address() for _ in range(3 * count)]
    peers = addresses[:count]
    return [
        settings.Settings(
            vm=f"vm{i}",
            failure_domain=domains[i % len(domains)],
            gateway_address=addresses[2 * count + i],
            peer_address=peers[i],
            worker_address=addresses[count + i],
            seeds=tuple(peers[:2]),
            platform_url="http://127.0.0.1:1",
            peer_key_file="/nonexistent",
        )
        for i in range(count)
    ]


class Cut:
    """Drops datagrams between failure domains while ``on``."""

    def __init__(self, cfgs):
        self.on = False
        self.domain = {cfg.peer_address: cfg.failure_domain for cfg in cfgs}

    def for_domain(self, domain):
        return lambda address: self.on and self.domain.get(address, domain) != domain


class Fleet:
    """Runs the membership services of several VMs in one nursery."""

    def __init__(self, nursery, cfgs, cut=None):
        self.nursery = nursery
        self.cfgs = cfgs
        self.cut = cut or Cut(cfgs)
        self.members = {}
        self.scopes = {}

    async def start(self, i):
        cfg = self.cfgs[i]
        service = membership.Membership(
            cfg, KEY, rng=random.Random(i), cut=self.cut.for_domain(cfg.failure_domain)
        )
        self.members[cfg.vm] = service
        await self.nursery.start(self._run, service, cfg.vm)
        return service

    async def _run(self, service, vm, task_status=trio.TASK_STATUS_IGNORED):
        with trio.CancelScope() as scope:
            self.scopes[vm] = scope
            await service.run(task_status.started)

    async def start_all(self):
        for i in range(len(self.cfgs)):
            await self.start(i)

    def states(self, vm):
        return {m.vm: m.state.value for m in self.members[vm].view().members}


async def until(condition, timeout_s=30.0):
    """Wait until a condition holds and return how many seconds it took."""
    started_at_s = trio.current_time()
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.02)
    return trio.current_time() - started_at_s
