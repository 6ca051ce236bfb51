"""Counts the tokens of items that wait on a route, per team if there are teams.

The count comes from the headers of jobs, which a gateway reads to accept one. Near the limit, a
worker records in them how many tokens are done, so that no results have to be read for it.
"""

from collections.abc import Iterable

import trio

from cornelgrade import logs, routes
from cornelgrade.adapters import platform
from cornelgrade.policy import route_table
from cornelgrade.services.edge import job_repository, job_routes, open_job

# An older reservation was left by a gateway that died and no longer counts.
RESERVATION_TTL_S = 5.0
# A gateway accepts a job only within this time after its reservation, so that the reservation still
# counts at all others, whose clocks may differ.
RESERVATION_USE_S = 2.5
# Done tokens are recorded once this share of a limit waits: below it, most jobs fit anyway.
RECORD_FROM_SHARE = 0.25
# Minimum time between two records of a job, so that results close together share one.
RECORD_INTERVAL_S = 1.0
_MS_PER_S = 1000
_log = logs.Logger("waiting_tokens")


def count_waiting(
    headers: Iterable[job_repository.StoredHeader],
    new: job_repository.JobHeader,
    now_ms: int,
    *,
    per_team: bool,
) -> int:
    """Count the tokens that wait on the new job's route, those of recent reservations included.

    :param per_team: count those of the new job's team only.
    """
    return sum(
        found.header.tokens - found.header.done_tokens
        for found in headers
        if found.header.route == new.route
        and found.header.job != new.job
        and (not per_team or found.header.team == new.team)
        and (found.header.state == "open" or is_reserved(found.header, now_ms))
    )


def list_before(
    headers: Iterable[job_repository.StoredHeader], reservation: job_repository.StoredHeader
) -> list[job_repository.StoredHeader]:
    """Return the jobs that count before a reservation: accepted ones, and those reserved earlier.

    The revision of a reservation is its position, since nothing changes a reserved header.
    """
    return [
        found
        for found in headers
        if found.header.state == "open" or found.version < reservation.version
    ]


def is_reserved(
    header: job_repository.JobHeader, now_ms: int, for_s: float = RESERVATION_TTL_S
) -> bool:
    """Return whether a job holds a reservation that is not older than ``for_s``."""
    reserved_ms = max(header.reserved_ms, header.received_ms)
    return header.state == "reserved" and now_ms - reserved_ms < for_s * _MS_PER_S


class DoneTokens:
    """Records at a worker how many tokens of its open jobs are done.

    :param jobs: the open jobs of this worker, owned by the caller.
    """

    def __init__(
        self,
        repository: job_repository.JobRepository,
        jobs: dict[str, open_job.OpenJob],
    ) -> None:
        self._repository = repository
        self._jobs = jobs

    def start_record(
        self, nursery: trio.Nursery, job: open_job.OpenJob, table: route_table.RouteTable | None
    ) -> None:
        """Record a job's done tokens in the background if that is due."""
        now_s = trio.current_time()
        if (
            table is None
            or not job.items
            or job.done == job.recorded_done
            or now_s - job.recorded_s < RECORD_INTERVAL_S
        ):
            return
        job.recorded_s = now_s
        route = job_routes.find_route(table, job.header)
        if route is not None and self._is_limit_near(job.header, route, table):
            job.recorded_done = job.done
            nursery.start_soon(self._record, job)

    def _is_limit_near(
        self,
        header: job_repository.JobHeader,
        route: routes.Route,
        table: route_table.RouteTable,
    ) -> bool:
        limit = route.job_policy.waiting_tokens
        waiting = sum(
            other.header.tokens - other.header.done_tokens
            for other in self._jobs.values()
            if other.header.route == route.name
            and (table.plan.teams is None or other.header.team == header.team)
        )
        return limit > 0 and waiting >= RECORD_FROM_SHARE * limit

    async def _record(self, job: open_job.OpenJob) -> None:
        done = job.recorded_done
        tokens = sum(item.tokens for index, item in enumerate(job.items) if done >> index & 1)
        try:
            stored = await self._repository.record_done_tokens(
                job_repository.StoredHeader(job.header, job.version), tokens
            )
        except platform.UnavailableError as exc:
            job.recorded_done = 0
            _log.info("tokens_not_recorded", job=job.header.job, error=exc.format_message())
            return
        if stored.header.state == "open":
            job.apply_header(stored)
