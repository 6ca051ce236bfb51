"""Ranks the jobs of a worker by their teams and measures the batch slots that each team uses.

Workers claim the items that they run, so each knows what all of them run of every open job.
"""

import collections

from cornelgrade import routes
from cornelgrade.policy import batch_capacity, fair_queue, route_table
from cornelgrade.services.edge import job_routes, open_job

# Time constant of the average use of batch slots: a few items of a team.
ITEM_USAGE_SPAN_S = 10.0


class TeamItems:
    """Teams and ranks of open jobs; without teams in the plan, all jobs are alike.

    :param jobs: the open jobs of this worker, owned by the caller.
    """

    def __init__(self, jobs: dict[str, open_job.OpenJob]) -> None:
        self._jobs = jobs
        self._usage: fair_queue.SlotUsage[str] = fair_queue.SlotUsage(ITEM_USAGE_SPAN_S)
        self._table: route_table.RouteTable | None = None
        self._ranks: dict[str, int] = {}

    def measure(
        self, table: route_table.RouteTable, free: int, now_s: float
    ) -> batch_capacity.TeamItems:
        """Return the slots that teams use at all workers.

        :param free: slots that are free at this worker.
        """
        if table.plan.teams is None:
            return batch_capacity.NO_TEAMS
        in_use: collections.Counter[str] = collections.Counter()
        for job in self._jobs.values():
            in_use[job.header.team] += job.count_in_progress(now_s)
        in_use = +in_use
        averages = self._usage.update(in_use, now_s)
        usage = {team: max(averages.get(team, 0.0), in_use[team]) for team in {*averages, *in_use}}
        return batch_capacity.TeamItems(usage, in_use.total() + free)

    def identify(self, table: route_table.RouteTable, job: open_job.OpenJob) -> tuple[str, int]:
        """Return a job's team and rank under the plan in force."""
        if table.plan.teams is None:
            return "", 0
        if table is not self._table:
            self._table, self._ranks = table, {}
        name = job.header.job
        if name not in self._ranks:
            self._ranks = {known: r for known, r in self._ranks.items() if known in self._jobs}
            self._ranks[name] = _find_rank(table, job)
        return job.header.team, self._ranks[name]


def _find_rank(table: route_table.RouteTable, job: open_job.OpenJob) -> int:
    """Return the priority of a job's team, which goes before that of its route."""
    team: routes.Team | None = table.team(job.header.team)
    if team is not None and team.rank is not None:
        return team.rank
    route = job_routes.find_route(table, job.header)
    return route.rank if route is not None else 0
