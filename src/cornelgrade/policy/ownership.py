"""Which VM alone owns a task, such as an upstream's batch work: rendezvous hashing over VMs."""

from collections.abc import Iterable

from cornelgrade.policy import rendezvous


def choose_owner(key: str, vms: Iterable[str]) -> str | None:
    """Return the VM with the highest hash for a key, ``None`` if there is no VM."""
    return max(vms, key=lambda vm: (rendezvous.score(key, vm), vm), default=None)


def list_owned(vm: str, upstreams: Iterable[str], vms: Iterable[str]) -> frozenset[str]:
    """Return the upstreams that ``vm`` owns among ``vms``."""
    live = tuple(vms)
    return frozenset(name for name in upstreams if choose_owner(name, live) == vm)
