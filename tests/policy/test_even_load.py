"""Balanced load at upstreams although gateways know it from reports of some age only."""

import collections
import random

import pytest
from bench import even_load

from cornelgrade.policy import placement, preference, stranding, upstream_speed

VMS = tuple(f"vm-{n:02d}" for n in range(70))
UPS = tuple(f"up-{n:02d}" for n in range(30))
AGED = 0.6


def seen(name: str, **more) -> placement.Candidate:
    return placement.Candidate(**{"name": name, "slots": 8, "local": True, **more})


def choose(*candidates: placement.Candidate, **more) -> str | None:
    found = placement.choose_upstream(candidates, random.Random(1), **more)
    return found.name if found else None


def choose_at_all_vms(others: dict[str, int], **more) -> collections.Counter[str]:
    """Return how many of the gateways choose each upstream, all of which know the same reports."""
    chosen = collections.Counter()
    for vm in VMS:
        ranks = preference.rank_upstreams(vm, VMS, UPS)
        fields = {up: {"others": others[up], "preference": ranks[up]} for up in UPS}
        chosen[choose(*(seen(up, **fields[up], **more) for up in UPS))] += 1
    return chosen


# Guards against 70 gateways that all choose the upstream that was idle in the last reports.
def test_gateways_that_know_the_same_old_reports_choose_different_upstreams():
    others = {up: 0 if up == UPS[7] else 4 for up in UPS}
    assert choose_at_all_vms(others, report_age=AGED)[UPS[7]] < 20
    assert choose_at_all_vms(others, report_age=0.0)[UPS[7]] == len(VMS)


# Guards against an upstream that gets the first choice of too many gateways, in fleets of any size.
@pytest.mark.parametrize("gateways", [1, 6, 9, 17, 30, 70, 390])
def test_each_upstream_is_each_choice_of_as_many_gateways(gateways):
    vms = tuple(f"vm-{n:03d}" for n in range(gateways))
    for place in range(3):
        ranked = [preference.rank_upstreams(vm, vms, UPS) for vm in vms]
        at_place = collections.Counter(sorted(r, key=r.__getitem__)[place] for r in ranked)
        counts = [at_place[up] for up in UPS]
        assert max(counts) - min(counts) <= 1


# Guards against a small fleet, without other gateways or workers, that is served differently.
def test_gateway_without_others_requests_keeps_to_the_lowest_load():
    assert choose(seen("a", own=2, preference=0.0), seen("b", own=1, preference=0.9)) == "b"
    alone = {"report_age": None}
    assert choose(seen("a", own=2, **alone), seen("b", own=1, preference=0.9, **alone)) == "b"


# Guards against upstreams that a gateway doesn't follow, or that have just come back, looking idle.
def test_upstream_without_a_report_counts_as_loaded_as_the_others():
    busy = [seen(f"busy-{n}", others=4) for n in range(3)]
    assert choose(*busy, seen("unknown", own=1, report_age=None)) != "unknown"
    assert choose(seen("full", others=8), seen("unknown", report_age=None)) == "unknown"


# Guards against requests that leave the failure domain while it has free slots, or wait at a full
# upstream in it.
@pytest.mark.parametrize(
    ("local", "remote", "chosen"),
    [
        ({"others": 5}, {"others": 1}, "near"),
        ({"others": 8}, {"others": 1}, "far"),
        ({"others": 8}, {"others": 8}, "near"),
        ({"own": 3, "others": 3}, {"others": 3}, "far"),
    ],
)
def test_other_failure_domains_take_what_the_own_one_has_no_slots_for(local, remote, chosen):
    near = seen("near", report_age=AGED, **local)
    far = seen("far", local=False, report_age=AGED, **remote)
    assert choose(near, far) == chosen


def test_operator_sets_what_another_failure_domain_costs():
    near, far = seen("near", own=3), seen("far", local=False)
    assert choose(near, far, remote_cost=0.0) == "far"
    assert choose(near, far, remote_cost=6.0) == "near"


# Guards against a slow quarter of the upstreams that gets as many requests as the fast ones.
def test_upstreams_are_filled_by_their_speed():
    slow, fast = {"speed": 0.46}, {"speed": 1.0}
    assert choose(seen("slow", own=1, **slow), seen("fast", own=2, **fast)) == "fast"
    assert choose(seen("slow", own=1, **slow), seen("fast", own=5, **fast)) == "slow"


# Guards against a speed that follows the length of single requests, or that is never learned.
def test_speed_is_learned_from_responses_of_different_lengths():
    rng, table = random.Random(4), upstream_speed.SpeedTable()
    for n in range(120):
        name = f"up-{n % 8}"
        speed = 0.55 if name in ("up-0", "up-1") else 1.2
        table.record(name, rng.uniform(0.4, 0.9) / speed, 0.5 * n)
    speeds = table.assess([f"up-{n}" for n in range(8)], 60.0).relative
    assert max(speeds["up-0"], speeds["up-1"]) < 0.75
    assert min(speeds[f"up-{n}"] for n in range(2, 8)) > 0.95


# Guards against an upstream that is avoided for good because it was slow once.
def test_speed_of_an_upstream_that_gets_no_requests_is_forgotten():
    table = upstream_speed.SpeedTable()
    for _ in range(5):
        table.record("slow", 4.0, 0.0)
        table.record("usual", 0.5, 0.0)
    assert table.assess(("slow", "usual"), 0.0).relative["slow"] < 0.5
    assert table.assess(("slow", "usual"), 120.0).relative["slow"] > 0.9


# Guards against a speed learned by one gateway only, too slowly where each has few requests.
def test_reported_mean_counts_until_a_gateway_has_more_responses_of_its_own():
    table = upstream_speed.SpeedTable()
    table.record_report("slow", 1.2, 0.0)
    table.record_report("usual", 0.5, 0.0)
    table.record("slow", 0.5, 0.0)
    assert table.assess(("slow", "usual"), 0.0).relative["slow"] < 0.8
    for _ in range(6):
        table.record("slow", 0.5, 0.0)
    assert table.assess(("slow", "usual"), 0.0).relative["slow"] > 0.95


# Guards against a gateway without upstreams that forwards everything to the peer which reported the
# lowest load, until that peer's next report.
def test_requests_forwarded_since_a_peer_reported_count_as_its_load():
    peers = (
        stranding.Peer("a", frozenset("s"), active=1, sent=4),
        stranding.Peer("b", frozenset("s"), active=3),
    )
    assert stranding.choose_peer(peers, "s", frozenset(), random.Random(1)).vm == "b"


# Guards against the load pattern of site A: 70 VMs, peak and valley, load reports 400 ms old.
def test_old_reports_cost_70_gateways_few_waits():
    before, now = (even_load.measure(even_load.A, rule, 0.4, 1) for rule in ("before", "now"))
    assert now.variation < 0.5 * before.variation
    assert now.needless < 0.15 * before.needless


# Guards against metrics that call a request's wait needless when all slots were in use.
def test_waits_are_needless_only_while_a_slot_is_free():
    full, over = seen("full", others=8), seen("over", own=1, others=8)
    assert placement.count_needless_waits((full, over), queued=2) == 0
    assert placement.count_needless_waits((full, over, seen("free", others=7)), queued=2) == 3
    assert placement.load_variation((seen("a", own=2), seen("b", others=2))) == 0.0
    assert placement.load_variation((seen("a", own=4), seen("b"))) == 1.0


# Guards against an idle fleet that sends all requests to the upstream that seems a little faster:
# all suspects of a crash meet there, and none can be told from the others.
def test_idle_upstreams_of_about_the_same_speed_share_requests():
    rng = random.Random(1)
    candidates = tuple(seen(up, report_age=None, speed=0.9 + 0.006 * n) for n, up in enumerate(UPS))
    chosen = collections.Counter(
        placement.choose_upstream(candidates, rng).name for _ in range(300)
    )
    assert max(chosen.values()) < 40
