"""Lists the platform's objects of one kind, then watches them for changes."""

import dataclasses
from collections.abc import Awaitable, Callable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform

# Timeout of one watch call; the platform allows 30 s.
WATCH_TIMEOUT_S = 20.0
# Retry pauses while the platform is unavailable. The first is short, so that a change takes effect
# within the 2 s promised to operators; later ones avoid adding to an overload.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
_log = logs.Logger("following")


@dataclasses.dataclass(slots=True)
class StoreAvailability:
    """Tracks whether the platform's store is reachable; shared by all its clients.

    :ivar unavailable: whether the last call failed.
    :ivar recovered_s: when calls last succeeded again after failures, on the process's clock.
    """

    unavailable: bool = False
    recovered_s: float = -1e9

    def record_failure(self) -> bool:
        """Record a failed call; return ``True`` if it is the first in a row."""
        first, self.unavailable = not self.unavailable, True
        return first

    def record_success(self) -> bool:
        """Record a successful call; return ``True`` if it is the first after failures."""
        first, self.unavailable = self.unavailable, False
        if first:
            self.recovered_s = trio.current_time()
        return first


ChangeHandler = Callable[[platform.Changes, bool], Awaitable[None]]


async def watch_objects(
    store: platform.Platform,
    kind: str,
    availability: StoreAvailability,
    handle_changes: ChangeHandler,
    *,
    settle_s: float = 0.0,
) -> None:
    """Watch the objects of ``kind`` until cancelled.

    :param handle_changes: called with the changes and whether they are a full snapshot.
    :param settle_s: pause after a change, so that one response covers changes close together.
    """
    after = 0
    pause_s = MIN_RETRY_PAUSE_S
    while True:
        try:
            changes = await store.watch(kind, after=after, wait_s=WATCH_TIMEOUT_S)
        except platform.UnavailableError as exc:
            if availability.record_failure():
                _log.warning("store_lost", kind=kind, version=after, error=exc.format_message())
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
            continue
        if availability.record_success():
            _log.info("store_regained", kind=kind, version=after)
        pause_s = MIN_RETRY_PAUSE_S
        if changes.reset:
            _log.info("history_lost", kind=kind, version=after)
            after = 0
            continue
        await handle_changes(changes, after == 0)
        await trio.sleep(settle_s if changes.version else MAX_RETRY_PAUSE_S)
        after = changes.version
