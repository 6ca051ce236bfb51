"""Follows one kind of the platform's objects: all of them first, then each change."""

import dataclasses
from collections.abc import Awaitable, Callable

import trio

from cornelgrade import logs
from cornelgrade.adapters import platform

# Watches that hear nothing are asked again this often; the platform allows 30 s.
WATCH_S = 20.0
# Pauses between tries while the platform does not answer: short at first, so that a change is in
# force within the 2 s that operators are promised, then long enough not to add to an overload.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
_log = logs.Logger("following")


@dataclasses.dataclass(slots=True)
class StoreAvailability:
    """When the platform was last out of reach; shared by all that call it.

    :ivar away: whether the last call failed.
    :ivar returned_s: when it answered again, on the process's clock.
    """

    away: bool = False
    returned_s: float = -1e9

    def failed(self) -> bool:
        """Note a failed call; ``True`` if it is the first in a row."""
        first, self.away = not self.away, True
        return first

    def answered(self) -> bool:
        """Note an answer; ``True`` if it is the first after failures."""
        first, self.away = self.away, False
        if first:
            self.returned_s = trio.current_time()
        return first


Apply = Callable[[platform.Changes, bool], Awaitable[None]]


async def follow(
    store: platform.Platform,
    kind: str,
    contact: StoreAvailability,
    apply: Apply,
    *,
    settle_s: float = 0.0,
) -> None:
    """Follow ``kind`` until cancelled.

    :param apply: gets the changes, and whether they are all objects that there are.
    :param settle_s: pause after a change, so that those close behind it come in one answer.
    """
    after = 0
    pause_s = FIRST_PAUSE_S
    while True:
        try:
            changes = await store.watch(kind, after=after, wait_s=WATCH_S)
        except platform.UnavailableError as exc:
            if contact.failed():
                _log.warning("store_lost", kind=kind, version=after, error=exc.format_message())
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
            continue
        if contact.answered():
            _log.info("store_regained", kind=kind, version=after)
        pause_s = FIRST_PAUSE_S
        if changes.reset:
            _log.info("history_lost", kind=kind, version=after)
            after = 0
            continue
        await apply(changes, after == 0)
        await trio.sleep(settle_s if changes.version else LONGEST_PAUSE_S)
        after = changes.version
