"""Batch items of a team with many jobs beside those of teams with few."""

import collections

import pytest

from cornelgrade.policy import batch_capacity, fair_queue

ITEM_S = 4.0
DUE_S = 18.0


def play(arrivals, slots, duration_s, *, fair=True):
    """Run items that arrive as (time, team, job, number); return the starts (time, team)."""
    usage = fair_queue.SlotUsage[str](10.0)
    waiting, running, starts, now_s = [], [], [], 0.0
    while now_s < duration_s:
        running = [(end_s, team) for end_s, team in running if end_s > now_s]
        for at_s, team, job, number in arrivals:
            if now_s - 0.05 < at_s <= now_s:
                waiting += [
                    batch_capacity.WaitingItem(job, n, at_s + DUE_S, ITEM_S, team=team)
                    for n in range(number)
                ]
        in_use = collections.Counter(team for _, team in running)
        averages = usage.update(in_use, now_s)
        used = {team: max(averages.get(team, 0.0), in_use[team]) for team in {*averages, *in_use}}
        teams = batch_capacity.TeamItems(used, slots) if fair else batch_capacity.NO_TEAMS
        if not fair:
            waiting = [batch_capacity.WaitingItem(*_plain(entry)) for entry in waiting]
        for entry in batch_capacity.sort_waiting(waiting, "vm", now_s, teams):
            if len(running) == slots:
                break
            waiting.remove(entry)
            running.append((now_s + ITEM_S, entry.team))
            starts.append((now_s, entry.job))
        now_s += 0.05
    return starts


def _plain(entry):
    return entry.job, entry.index, entry.due_s, entry.remaining_s, entry.has_progress


# Guards against a team whose many jobs, due earlier, are run before another team's only one until
# they are late, with several slots and with fewer slots than teams. Half of the slots are due to
# the other team: its 5 items need two runs of 4 s one after the other, or ten with one slot.
@pytest.mark.parametrize(("slots", "within_s"), [(8, 2 * ITEM_S), (1, 10 * ITEM_S)])
def test_team_with_many_jobs_does_not_starve_another(slots, within_s):
    many = [(0.1 * n, "many", f"many-{n}", 10) for n in range(20)]
    arrivals = [*many, (5.0, "few", "few", 5)]
    fair, plain = (play(arrivals, slots, 100.0, fair=fair) for fair in (True, False))
    waits_s = [[at_s - 5.0 for at_s, job in starts if job == "few"] for starts in (fair, plain)]
    assert len(waits_s[0]) == 5 and max(waits_s[0]) < within_s
    assert len(waits_s[1]) < 5 or max(waits_s[1]) > within_s
    # The slots that the few leave idle go to the many.
    assert len(fair) == len(plain)


# Guards against shares that replace the order by due time although all items fit in their teams'
# shares, which would make each of several jobs late instead of none.
def test_items_within_their_shares_run_in_the_order_of_their_due_times():
    waiting = [
        batch_capacity.WaitingItem(f"job-{team}", n, 20.0 - team, team=f"team-{team}")
        for team in range(4)
        for n in range(2)
    ]
    teams = batch_capacity.TeamItems({"team-0": 0.5}, 8.5)
    plain = [batch_capacity.WaitingItem(*_plain(entry)) for entry in waiting]
    ordered = batch_capacity.sort_waiting(waiting, "vm", 0.0, teams)
    expected = batch_capacity.sort_waiting(plain, "vm", 0.0)
    assert [(e.job, e.index) for e in ordered] == [(e.job, e.index) for e in expected]


# Guards against a team's priority that counts less than due times or shares.
def test_items_of_urgent_teams_come_first():
    waiting = [
        batch_capacity.WaitingItem("early", 0, 1.0, team="a", rank=1),
        *(batch_capacity.WaitingItem("late", n, 99.0, team="b", rank=0) for n in range(5)),
    ]
    teams = batch_capacity.TeamItems({"b": 6.0}, 8.0)
    jobs = [entry.job for entry in batch_capacity.sort_waiting(waiting, "vm", 0.0, teams)]
    assert jobs == ["late"] * 5 + ["early"]


# Guards against overload in which items that will be late take the slots of those that can still be
# in time, because their team has used little.
def test_item_that_will_be_late_comes_last_whatever_its_team():
    late = batch_capacity.WaitingItem("late", 0, due_s=11.0, remaining_s=5.0, team="idle")
    in_time = [
        batch_capacity.WaitingItem("in-time", n, due_s=30.0, remaining_s=5.0, team="busy")
        for n in range(3)
    ]
    usage = batch_capacity.TeamItems({"busy": 8.0}, 8.0)
    ordered = batch_capacity.sort_waiting([late, *in_time], "vm", 10.0, usage)
    assert ordered[-1] == late
