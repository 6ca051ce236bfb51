"""Fair queueing among teams under loads that one team, or many, cause."""

import math

import pytest
from bench import team_load

from cornelgrade.policy import fair_queue

# 85 teams, five of them large, at the peak of their load: 0.57 of the slots.
SMALL = {f"small-{number}": 1.9 for number in range(80)}
LARGE = {f"large-{number}": 11.0 for number in range(5)}
HOT = "large-0"


def outcomes(rates, **fleet):
    return [
        team_load.simulate(team_load.Scenario(rates, fair=fair, seed=7, **fleet))
        for fair in (False, True)
    ]


def others(rates):
    return [team for team in rates if team != HOT]


def worst_tenth(outcome):
    shares = sorted(outcome.share([team]) for team in outcome.arrived)
    count = len(shares) // 10
    return sum(shares[:count]) / count


# Guards against a hot team whose load lowers the other teams' share, also in a small fleet.
@pytest.mark.parametrize(
    ("usual", "hot_times", "fleet"),
    [
        (SMALL | LARGE, 20, {}),
        ({**{f"t{n}": 1.0 for n in range(30)}, HOT: 8.5}, 7, {"gateways": 9, "upstreams": 4}),
    ],
)
def test_hot_team_costs_the_others_little(usual, hot_times, fleet):
    calm = team_load.simulate(team_load.Scenario(usual, seed=7, **fleet))
    before, after = outcomes({**usual, HOT: hot_times * usual[HOT]}, **fleet)
    assert before.share(others(usual)) < 0.8
    assert after.share(others(usual)) > 0.95 * calm.share(others(usual))
    assert worst_tenth(after) > max(0.25 * after.share(), worst_tenth(before))
    assert after.share([HOT]) > 0.25 * after.share()


# Guards against seven times the usual load of a team that is refused although capacity suffices.
def test_seven_times_the_usual_load_is_served_while_slots_are_free():
    rates = SMALL | LARGE | {HOT: 7 * LARGE[HOT]}
    assert outcomes(rates)[1].share([HOT]) > 0.99


# Guards against many small teams that get less than their share beside a large one, and against
# a large one that gets nothing.
def test_large_team_bears_the_cost_of_its_size():
    rates = {f"small-{n}": 2.0 for n in range(60)} | {HOT: 350.0}
    outcome = outcomes(rates)[1]
    assert outcome.share(others(rates)) > 0.95
    assert 0.3 < outcome.share([HOT]) < outcome.share(others(rates))
    assert outcome.utilization > 0.85


# Guards against capacity that lies idle, or an order that changes, when only one team is busy.
@pytest.mark.parametrize("rate", [300.0, 500.0])
def test_lone_team_uses_all_capacity_as_without_teams(rate):
    before, after = outcomes({"": rate}, gateways=20, upstreams=10)
    named = outcomes({"alone": rate}, gateways=20, upstreams=10)[1]
    assert (after.served, after.utilization) == (before.served, before.utilization)
    assert named.utilization == after.utilization > 0.9


# Guards against a local queue in which a team's many requests go before another's few.
def test_waiting_requests_are_ordered_by_slot_time_of_their_teams():
    queue = fair_queue.StartTimeQueue()
    tags = [queue.tag("many") for _ in range(5)]
    queue.start(tags[0])
    few = queue.tag("few")
    assert tags[0].start_s <= few.start_s < tags[1].start_s
    # Requests without a slot cost their team nothing, and the order within a team stays.
    for tag in tags[1:]:
        queue.end(tag, None)
    assert queue.tag("many").start_s == tags[-1].start_s


# Guards against shares that leave slots unused or that a small demand loses to a large one.
def test_fair_level_is_max_min():
    assert fair_queue.fair_level([1.0, 2.0], 3.0) == math.inf
    assert fair_queue.fair_level([1.0, 5.0, 9.0], 9.0) == 4.0
    assert fair_queue.list_over_share({1: 1.0, 2: 5.0, 3: 9.0}, 15, 10) == {2, 3}
    assert fair_queue.list_over_share({1: 1.0, 2: 1.0, 3: 4.0}, 7, 10) == frozenset()
    assert fair_queue.list_over_share({1: 0.1, 2: 2.0}, 8, 10) == {2}
    assert fair_queue.list_over_share({1: 90.0}, 90, 10) == frozenset()


# Guards against state that grows with each team that was ever active.
def test_usage_of_teams_that_left_is_dropped():
    usage, now_s = fair_queue.SlotUsage[int](), 0.0
    for team in range(1000):
        now_s += 0.5
        usage.update({team: 1}, now_s)
    assert len(usage.update({}, now_s + 0.1)) < 20
