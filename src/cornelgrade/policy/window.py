"""The batch window of one engine: how many batch items may run there now.

The window grows on idle slots and closes at once when an online request finds no spare slot.
``lean`` runs from 0 (tail latency) to 1 (throughput): it sets how many slots batch leaves to each
online request, how long the window stays closed after it gave way, and how many running items a
yield cancels.
"""

import dataclasses
import math

TICK_S = 0.025
TICKS_TO_FULL = 8
MAX_CLOSED_S = 0.05
SILENT_AFTER_S = 3.0
STALE_REPORT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The window as it stands.

    :param limit: batch items that may run.
    :param closed_until_s: monotonic time before which it does not grow.
    """

    limit: int = 0
    closed_until_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What is known of the engine.

    :param slots: requests that it runs at once.
    :param online: outstanding and queued online requests as the gateways say.
    :param batch: batch items running there.
    :param heard_age_s: seconds since any gateway was heard.
    :param reported: requests running and waiting by the engine's own late report, batch
        included, ``None`` if there is no report.
    :param reported_waiting: those of them that wait.
    :param batch_then: batch items that ran when the report was made.
    """

    slots: int
    online: int
    batch: int
    heard_age_s: float = 0.0
    reported: int | None = None
    reported_waiting: int = 0
    batch_then: int = 0

    @property
    def reports_fresh(self) -> bool:
        """Whether gateways were heard lately."""
        return self.heard_age_s <= SILENT_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The new window and how many running items to cancel now."""

    window: Window
    cancel: int = 0


def room(load: Seen, lean: float) -> int:
    """Give the number of batch items that the engine has room for."""
    if load.reports_fresh:
        reserved = math.ceil(load.online * slots_per_online_request(load.slots, lean))
        return max(0, load.slots - reserved)
    if load.reported is None or load.reported_waiting:
        return 0
    others = max(0, load.reported - load.batch_then)
    stale_limit = max(1, math.floor(load.slots * STALE_REPORT_SHARE))
    return max(0, min(stale_limit, load.slots - others - 1))


def slots_per_online_request(slots: int, lean: float) -> float:
    """Give how many slots batch leaves to each online request.

    At 0 an engine that has any online request runs no batch, whose prefill and larger steps would
    delay it; at 1 an online request takes its own slot only.
    """
    return 1.0 + (slots - 1) * max(0.0, 1.0 - 2.0 * lean)


def on_tick(window: Window, load: Seen, now_s: float, lean: float) -> Decision:
    """Grow towards the room there is; shrink at once where there is less."""
    target = room(load, lean)
    if load.batch + load.online > load.slots and load.reports_fresh:
        return give_way(load, load.batch + load.online - load.slots, now_s, lean)
    if load.batch > target and not load.reports_fresh:
        return Decision(dataclasses.replace(window, limit=target), cancel=load.batch - target)
    if now_s < window.closed_until_s or target <= window.limit:
        return Decision(dataclasses.replace(window, limit=min(window.limit, target)))
    step = math.ceil(load.slots / TICKS_TO_FULL)
    return Decision(dataclasses.replace(window, limit=min(target, window.limit + step)))


def give_way(load: Seen, slots: int, now_s: float, lean: float) -> Decision:
    """Close the window and cancel what stands in the way of ``slots`` online requests.

    Towards tail latency the rest is cancelled too, since a burst seldom comes alone.
    """
    needed = min(load.batch, max(0, slots))
    rest = load.batch - needed
    extra = math.floor(rest * (1.0 - lean) ** 2)
    closed = Window(limit=0, closed_until_s=now_s + MAX_CLOSED_S * (1.0 - lean))
    return Decision(closed, cancel=needed + extra)
