"""Reads the names that open jobs use, which a new manifest must keep."""

import trio

from cornelgrade import manifest
from cornelgrade.policy import manifest_rules
from cornelgrade.services import job_records, job_store

_PAGE_SIZE = 100
_MAX_CONCURRENT_READS = 16


class OpenJobUses:
    """Reads every open job's header, so it is used only when a manifest removes something."""

    def __init__(self, store: job_store.JobStore) -> None:
        self._store = store

    async def read(self, current: manifest.Manifest) -> manifest_rules.NamesInUse:
        """Return the names that open jobs use.

        Items name their models in their bodies, which are not read: all models of a used service
        count as used.

        :raises UnavailableError: if the platform can't be read.
        """
        headers: list[job_records.Header] = []
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_READS)
        after = ""
        while True:
            page = await self._store.open_jobs(after, _PAGE_SIZE)
            async with trio.open_nursery() as nursery:
                for entry in page:
                    nursery.start_soon(self._read_header, entry, headers, limit)
            if len(page) < _PAGE_SIZE:
                return collect_uses(headers, current)
            after = page[-1].name

    async def _read_header(
        self,
        entry: job_store.OpenJob,
        headers: list[job_records.Header],
        limit: trio.CapacityLimiter,
    ) -> None:
        async with limit:
            stored = await self._store.header(entry.team, entry.job)
        if stored is not None and stored.header.state not in job_records.FINAL_STATES:
            headers.append(stored.header)


def collect_uses(
    headers: list[job_records.Header], current: manifest.Manifest
) -> manifest_rules.NamesInUse:
    """Return the names that these jobs use under the manifest in force."""
    services = frozenset(header.service for header in headers)
    models = {m for s in current.services if s.name in services for m in s.models}
    return manifest_rules.NamesInUse(
        services=services,
        models=frozenset(models),
        teams=frozenset(header.team for header in headers),
        priorities=frozenset(header.priority for header in headers),
    )
