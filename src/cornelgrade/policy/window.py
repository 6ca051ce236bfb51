"""The batch window of one engine: how many batch items may run there now.

The window grows while slots are idle and closes as soon as an online request finds no free slot.
``lean`` ranges from 0 (favor tail latency) to 1 (favor throughput). It sets how many slots are kept
for each online request, how long the window stays closed after a preemption, and how many running
items a preemption cancels.
"""

import dataclasses
import math

TICK_S = 0.025
TICKS_TO_FULL = 8
MAX_CLOSED_S = 0.05
REPORT_TIMEOUT_S = 3.0
STALE_REPORT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """State of the window.

    :param limit: maximum number of running batch items.
    :param closed_until_s: monotonic time before which the limit does not grow.
    """

    limit: int = 0
    closed_until_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of the engine.

    :param slots: requests that it runs concurrently.
    :param online: outstanding and queued online requests, from the gateways' load reports.
    :param batch: batch items running there.
    :param heard_age_s: seconds since the last load report of any gateway.
    :param reported: running and waiting requests, including batch items, from the engine's own
        delayed load report; ``None`` if there is no report.
    :param reported_waiting: waiting requests, from the same report.
    :param batch_then: batch items that were running when that report was made.
    """

    slots: int
    online: int
    batch: int
    report_age_s: float = 0.0
    reported: int | None = None
    reported_waiting: int = 0
    batch_at_report: int = 0

    @property
    def reports_fresh(self) -> bool:
        """Whether the gateways' load reports are recent."""
        return self.report_age_s <= REPORT_TIMEOUT_S


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The new window and how many running items to cancel now."""

    window: Window
    cancel: int = 0


def compute_batch_limit(load: EngineLoad, lean: float) -> int:
    """Return the number of batch items that the engine has room for."""
    if load.reports_fresh:
        reserved = math.ceil(load.online * slots_per_online_request(load.slots, lean))
        return max(0, load.slots - reserved)
    if load.reported is None or load.reported_waiting:
        return 0
    others = max(0, load.reported - load.batch_at_report)
    stale_limit = max(1, math.floor(load.slots * STALE_REPORT_SHARE))
    return max(0, min(stale_limit, load.slots - others - 1))


def slots_per_online_request(slots: int, lean: float) -> float:
    """Return how many slots are kept free of batch items for each online request.

    At a ``lean`` of 0, an engine with any online request runs no batch items, since their prefill
    and the larger steps would delay it; at 1, an online request takes only its own slot.
    """
    return 1.0 + (slots - 1) * max(0.0, 1.0 - 2.0 * lean)


def on_tick(window: Window, load: EngineLoad, now_s: float, lean: float) -> Decision:
    """Grow the window stepwise towards the available room, or shrink it to that immediately."""
    target = compute_batch_limit(load, lean)
    if load.batch + load.online > load.slots and load.reports_fresh:
        return preempt_batch(load, load.batch + load.online - load.slots, now_s, lean)
    if load.batch > target and not load.reports_fresh:
        return Decision(dataclasses.replace(window, limit=target), cancel=load.batch - target)
    if now_s < window.closed_until_s or target <= window.limit:
        return Decision(dataclasses.replace(window, limit=min(window.limit, target)))
    step = math.ceil(load.slots / TICKS_TO_FULL)
    return Decision(dataclasses.replace(window, limit=min(target, window.limit + step)))


def preempt_batch(load: EngineLoad, slots: int, now_s: float, lean: float) -> Decision:
    """Close the window and cancel enough batch items for ``slots`` online requests.

    The lower ``lean``, the more of the other items are cancelled too, since online requests tend to
    come in bursts.
    """
    needed = min(load.batch, max(0, slots))
    rest = load.batch - needed
    extra = math.floor(rest * (1.0 - lean) ** 2)
    closed = Window(limit=0, closed_until_s=now_s + MAX_CLOSED_S * (1.0 - lean))
    return Decision(closed, cancel=needed + extra)
