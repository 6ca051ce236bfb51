"""Which VM owns an engine's batch work: rendezvous hash over a failure domain's live VMs."""

from collections.abc import Iterable

from cornelgrade.policy import rendezvous


def owner(upstream: str, vms: Iterable[str]) -> str | None:
    """Give the VM with the highest hash for an upstream, ``None`` if there is no VM."""
    return max(vms, key=lambda vm: (rendezvous.score(upstream, vm), vm), default=None)


def owned(vm: str, upstreams: Iterable[str], vms: Iterable[str]) -> frozenset[str]:
    """Give the upstreams that ``vm`` owns among ``vms``."""
    live = tuple(vms)
    return frozenset(name for name in upstreams if owner(name, live) == vm)
