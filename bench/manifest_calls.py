"""Calls to the platform that following the manifest takes, on a virtual clock.

Usage:
  manifest_calls [--vms=LIST] [--minutes=N] [--seed=N]

Options:
  --vms=LIST   Entry VMs, with commas [default: 9,390].
  --minutes=N  Virtual minutes [default: 30].
  --seed=N     Seed [default: 1].
"""

import random

import docopt
import logbook
import msgspec
import trio
import trio.testing

from cornelgrade import errors, manifest, settings
from cornelgrade.policy import manifest_rules
from cornelgrade.services import _subscriptions, configuration, ports
from cornelgrade.standins import platform_store

FAILURE_DOMAINS = 3
SETTLE_S = 60.0
MANIFEST = manifest.Manifest(services=(), priorities=(), teams=(), upstreams=())


class Members:
    """One shared view; a version is heard by all at once."""

    def __init__(self, vm: str, members: dict[str, ports.Member], all_of: list["Members"]) -> None:
        self.vm = vm
        self.members = members
        self.all_of = all_of
        self.subscriptions = _subscriptions.Subscriptions()
        self.subscribe = self.subscriptions.subscribe

    def view(self) -> ports.View:
        """Give the shared view."""
        return ports.View(self.vm, tuple(self.members.values()))

    def set_version(self, version: int) -> None:
        """Let every other VM hear it."""
        newest = max(m.manifest_version for m in self.members.values())
        own = msgspec.structs.replace(self.members[self.vm], manifest_version=version)
        self.members[self.vm] = own
        if version > newest:
            for other in self.all_of:
                other.subscriptions.deliver(ports.VersionAnnounced(self.vm, version))


class Peers:
    """Gives another VM's manifest without HTTP."""

    def __init__(self, services: dict[str, configuration.Configuration]) -> None:
        self.services = services

    async def fetch(self, member: ports.Member) -> ports.AcceptedManifest:
        """Get it."""
        await trio.lowlevel.checkpoint()
        found = self.services[member.vm].current()
        if found is None:
            raise errors.NotReachableError("none yet", step="fetch", peer=member.vm)
        return ports.AcceptedManifest(found.manifest, found.version, confirmed=False)


def make_settings(vm: str, failure_domain: str) -> settings.Settings:
    """Make the settings of one VM."""
    return settings.Settings(
        vm=vm,
        failure_domain=failure_domain,
        gateway_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        worker_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:1",
        peer_key_file="unused",
    )


async def measure(vms: int, minutes: float, seed: int) -> str:
    """Run the gateways' services and count calls, at rest and for one new manifest."""
    store = platform_store.MemoryPlatform()
    members: dict[str, ports.Member] = {}
    all_of: list[Members] = []
    services: dict[str, configuration.Configuration] = {}
    for i in range(vms):
        vm, domain = f"vm-{i:03d}", f"domain-{i % FAILURE_DOMAINS}"
        alive = ports.MemberState.ALIVE
        members[vm] = ports.Member(vm, domain, "r", 1, alive, "", "", "")
        seen = Members(vm, members, all_of)
        all_of.append(seen)
        rng = random.Random(seed + i)
        services[vm] = configuration.Configuration(
            make_settings(vm, domain), store, seen, Peers(services), rng=rng
        )
    async with trio.open_nursery() as nursery:
        for made in services.values():
            nursery.start_soon(made.run, lambda: None)
        first = await services["vm-000"].put(manifest_rules.encode(MANIFEST), None)
        await trio.sleep(SETTLE_S)
        began = trio.current_time()
        calls = {name: store.calls[name] for name in ("get", "watch")}
        await trio.sleep(minutes * 60)
        rates = {n: (store.calls[n] - c) / (trio.current_time() - began) for n, c in calls.items()}
        calls = {name: store.calls[name] for name in ("get", "watch", "update")}
        newer = msgspec.structs.replace(MANIFEST, batch=manifest.BatchPolicy(lean=0.9))
        put_at = trio.current_time()
        accepted = await services["vm-001"].put(manifest_rules.encode(newer), first.version)
        while any(s.current().version < accepted.version for s in services.values()):
            await trio.sleep(0.01)
        spread_s = trio.current_time() - put_at
        await trio.sleep(SETTLE_S / 10)
        changed = sum(store.calls[name] - count for name, count in calls.items())
        nursery.cancel_scope.cancel()
    waiting = rates["watch"] * configuration.WATCH_TIMEOUT_S
    return (
        f"| {vms} | {rates['get']:.2f} | {rates['watch']:.2f} | {waiting:.0f} "
        f"| {changed} | {spread_s:.2f} |"
    )


def main() -> None:
    """Print one row for each fleet size."""
    args = docopt.docopt(__doc__)
    heads = ("VMs", "reads/s", "watches begun/s", "watches waiting", "calls for a change", "all, s")
    print(f"| {' | '.join(heads)} |")
    print("|" + " --- |" * 6)
    with logbook.NullHandler().applicationbound():
        for vms in map(int, args["--vms"].split(",")):
            clock = trio.testing.MockClock(autojump_threshold=0)
            minutes, seed = float(args["--minutes"]), int(args["--seed"])
            print(trio.run(measure, vms, minutes, seed, clock=clock), flush=True)


if __name__ == "__main__":
    main()
