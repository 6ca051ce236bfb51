"""Lists the platform's objects of one kind, then watches them for changes."""

from collections.abc import Awaitable, Callable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform
from cornelgrade.services.edge import _store_availability

# Timeout of one watch call; the platform allows 30 s.
WATCH_TIMEOUT_S = 28.0
# Pauses after failed watches while the store responds to other calls; each is twice the one before.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
# Pause after a response without a revision to continue from.
EMPTY_RESPONSE_PAUSE_S = 0.8
_log = logs.Logger("following")

ChangeHandler = Callable[[platform.Changes, bool], Awaitable[None]]


async def watch_objects(
    store: platform.Platform,
    kind: str,
    availability: _store_availability.StoreAvailability,
    handle_changes: ChangeHandler,
    *,
    settle_s: float = 0.0,
) -> None:
    """Watch the objects of ``kind`` until cancelled.

    A failed watch is sent again once the store is available, which ``store_monitor`` finds out.

    :param handle_changes: called with the changes and whether they are a full snapshot.
    :param settle_s: pause after a change, so that one response covers changes close together; there
        is none after a snapshot, whose first change is reported at once.
    """
    after = 0
    pause_s = MIN_RETRY_PAUSE_S
    while True:
        await availability.wait_available()
        changes: platform.Changes | None = None
        try:
            with availability.interruptible_watch():
                changes = await store.watch(kind, after=after, wait_s=WATCH_TIMEOUT_S)
        except platform.UnavailableError as exc:
            if availability.record_failure():
                _log.warning("store_lost", kind=kind, version=after, error=exc.format_message())
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
            continue
        if changes is None:
            _log.info("watch_restarted", kind=kind, version=after)
            continue
        pause_s = MIN_RETRY_PAUSE_S
        if availability.record_success():
            _log.info("store_regained", kind=kind, version=after)
        if changes.reset:
            _log.info("history_lost", kind=kind, version=after)
            after = 0
            continue
        revision = max((stored.version for stored in changes.items), default=0)
        availability.record_followed(kind, revision, settle_s)
        is_snapshot = after == 0
        await handle_changes(changes, is_snapshot)
        if not changes.version:
            await trio.sleep(EMPTY_RESPONSE_PAUSE_S)
        elif not is_snapshot:
            await trio.sleep(settle_s)
        after = changes.version
