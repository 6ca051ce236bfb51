"""When a VM has lost its upstreams, and which peer it forwards requests to.

A VM's own view doesn't tell whether its upstreams or its links to them are down, so peers are
asked: one that reaches upstreams of the service serves the request (as in Cassandra's coordinators
or Envoy's zone-aware routing). Forwarded requests go one hop only.
"""

import random

import msgspec

# One upstream that can't be reached is likely down itself.
MIN_UNREACHED = 2
# Failures at this many upstreams without a success in between are reason to check the others.
CHECK_AFTER_FAILURES = 2
# Peers whose load is compared for one request.
CHOICES = 2


class Peer(msgspec.Struct, frozen=True):
    """A VM that reported which upstreams it reaches.

    :param services: those whose upstreams it reaches.
    :param active: requests in progress there when it reported.
    :param sent: requests that this VM has forwarded there since.
    """

    vm: str
    services: frozenset[str]
    active: int
    sent: int = 0


def has_lost_upstreams(reached: int, unreached: int) -> bool:
    """Return whether a VM reaches no upstream of a service, and more than one is to blame."""
    return reached == 0 and unreached >= MIN_UNREACHED


def choose_peer(
    peers: tuple[Peer, ...], service: str, tried: frozenset[str], rng: random.Random
) -> Peer | None:
    """Return a peer to forward a request to: the less loaded one of two drawn at random."""
    able = [peer for peer in peers if service in peer.services and peer.vm not in tried]
    if not able:
        return None
    drawn = rng.sample(able, min(CHOICES, len(able)))
    return min(drawn, key=lambda peer: peer.active + peer.sent)
