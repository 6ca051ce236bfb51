"""Reads what open jobs use, which a new manifest must keep."""

import trio

from cornelgrade import manifest
from cornelgrade.policy import manifest_rules
from cornelgrade.services import job_records, job_store

_PAGE = 100
_READS_AT_ONCE = 16


class OpenJobUses:
    """Asked only when a manifest removes something, since it reads every open job's header."""

    def __init__(self, store: job_store.JobStore) -> None:
        self._store = store

    async def read(self, current: manifest.Manifest) -> manifest_rules.Uses:
        """Gather the names that open jobs use.

        An item names its model in its body; a service in use is taken to use all its models.

        :raises UnavailableError: if the platform can't say.
        """
        headers: list[job_records.Header] = []
        limit = trio.CapacityLimiter(_READS_AT_ONCE)
        after = ""
        while True:
            page = await self._store.open_jobs(after, _PAGE)
            async with trio.open_nursery() as nursery:
                for entry in page:
                    nursery.start_soon(self._read_header, entry, headers, limit)
            if len(page) < _PAGE:
                return uses(headers, current)
            after = page[-1].name

    async def _read_header(
        self,
        entry: job_store.OpenJob,
        headers: list[job_records.Header],
        limit: trio.CapacityLimiter,
    ) -> None:
        async with limit:
            found = await self._store.header(entry.team, entry.job)
        if found is not None and found.header.state not in job_records.FINAL:
            headers.append(found.header)


def uses(headers: list[job_records.Header], current: manifest.Manifest) -> manifest_rules.Uses:
    """Give the names that these jobs use under the manifest in force."""
    services = frozenset(header.service for header in headers)
    models = {m for s in current.services if s.name in services for m in s.models}
    return manifest_rules.Uses(
        services=services,
        models=frozenset(models),
        teams=frozenset(header.team for header in headers),
        priorities=frozenset(header.priority for header in headers),
    )
