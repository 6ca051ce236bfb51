"""End of a job after its last chunk or by a cancel; any process may repeat each step."""

import msgspec

from cornelgrade.adapters import platform
from cornelgrade.policy import claims
from cornelgrade.services import job_records, job_store

_State = job_records.JobState

_ENDED_STATE = {_State.OPEN: _State.DONE, _State.CANCELLING: _State.CANCELLED}


async def cancel(store: job_store.JobStore, team: str, job: str) -> job_records.Header | None:
    """Cancel a job and return its header, ``None`` if there is no such job.

    A job that has ended is not changed.

    :raises UnavailableError: the cancel may not have taken effect.
    """

    def change(header: job_records.Header) -> job_records.Header:
        if header.state is not _State.OPEN:
            return header
        return msgspec.structs.replace(header, state=_State.CANCELLING)

    found = await store.edit_header(team, job, change)
    if found is None:
        return None
    if found.header.state is _State.CANCELLING:
        entry = await store.open_entry(found.header.open_name)
        if entry is not None and entry.ledger.unclaimed:
            return await end(store, entry) or found.header
    return found.header


async def end(store: job_store.JobStore, entry: job_store.OpenJob) -> job_records.Header | None:
    """End a job that has no claims left and is complete or cancelled.

    The ledger is closed first, so that no worker claims a chunk meanwhile. Return ``None`` if the
    job can't end yet.
    """
    found = await store.header(entry.team, entry.job)
    if found is None or found.header.upload != entry.upload:
        return None
    if found.header.state is _State.OPEN and not entry.ledger.complete:
        return None
    closed = entry
    if not entry.ledger.complete:
        edited = await store.edit_ledger(entry, claims.close_ledger)
        if edited is None or not edited.ledger.closed:
            return None
        closed = edited
    ended = await store.edit_header(
        entry.team,
        entry.job,
        lambda header: _build_ended_header(header, closed.ledger, store.unix_s()),
    )
    await remove_entry(store, closed)
    return ended.header if ended else None


def _build_ended_header(
    header: job_records.Header, ledger: claims.Ledger, now_s: float
) -> job_records.Header:
    if header.state in job_records.FINAL_STATES:
        return header
    tally = ledger.tally
    missing = claims.Tally(cancelled=header.items - tally.ended)
    return msgspec.structs.replace(
        header, state=_ENDED_STATE[header.state], ended_at_s=now_s, tally=tally.plus(missing)
    )


async def remove_entry(store: job_store.JobStore, entry: job_store.OpenJob) -> None:
    """Remove an ended job from the index of open jobs."""
    try:
        await store.plat.delete(job_records.OPEN, entry.name, entry.version)
    except platform.ConflictError:
        return
    except platform.UnavailableError:
        return
