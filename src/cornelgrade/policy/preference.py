"""Each gateway's own order of preference among upstreams, so that gateways spread without messages.

Gateways that know the same stale loads would all choose the same upstream. Each of them prefers
other upstreams first, in an order by which every upstream is the first choice of about as many
gateways as any other, the second choice of as many, and so on.

Source: B. Beyer et al., "Site Reliability Engineering", 2016, chapter 20, deterministic subsetting.
"""

import functools

from cornelgrade.policy import rendezvous


@functools.lru_cache(maxsize=256)
def rank_upstreams(vm: str, vms: tuple[str, ...], upstreams: tuple[str, ...]) -> dict[str, float]:
    """Return each upstream's position in a gateway's order of preference, from 0 to below 1.

    Gateways whose lists of each other differ for a moment still spread, only less evenly.

    :param vms: the gateways that send to these upstreams, sorted; ``vm`` is one of them.
    :param upstreams: sorted.
    """
    count = len(upstreams)
    if not count:
        return {}
    turn, place = divmod(vms.index(vm), count)
    in_turn = min(count, len(vms) - turn * count)
    order = sorted(upstreams, key=lambda name: rendezvous.score(str(turn), name))
    first = place * count // in_turn
    return {order[(first + n) % count]: n / count for n in range(count)}
