"""Which VMs watch the platform for manifests, and from which members the others fetch them."""

import random

from cornelgrade.policy import rendezvous
from cornelgrade.services import ports

WATCHES_PER_FAILURE_DOMAIN = 2
_RENDEZVOUS_KEY = "manifest-watch"


def should_watch(view: ports.View) -> bool:
    """Return whether the VM of this view should watch; a few in each failure domain do.

    A VM that is missing from its own view watches.
    """
    own = [m for m in view.members if m.vm == view.self_vm]
    if not own:
        return True
    domain_vms = [m.vm for m in view.usable(own[0].failure_domain)]
    chosen = rendezvous.pick_members(_RENDEZVOUS_KEY, domain_vms, WATCHES_PER_FAILURE_DOMAIN)
    return view.self_vm in chosen or not domain_vms


def list_manifest_sources(
    view: ports.View, version: int, rng: random.Random
) -> tuple[ports.Member, ...]:
    """Return members with ``version`` or a later one: own VM, own failure domain, then others.

    Members that are not usable, such as leaving ones, may still respond and come last.
    """
    domains = {m.vm: m.failure_domain for m in view.members}
    own_domain = domains.get(view.self_vm)
    usable = {m.vm for m in view.usable()}
    candidates = [
        m
        for m in view.members
        if m.manifest_version >= version and m.state is not ports.MemberState.DEAD
    ]
    rng.shuffle(candidates)

    def distance(member: ports.Member) -> tuple[bool, bool, bool]:
        far = member.failure_domain != own_domain
        return (member.vm not in usable, member.vm != view.self_vm, far)

    return tuple(sorted(candidates, key=distance))
