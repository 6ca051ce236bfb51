"""Polls upstreams for their own load reports."""

from collections.abc import Callable
from typing import Protocol

import msgspec
import trio

from cornelgrade import routes
from cornelgrade.adapters import engine, http1
from cornelgrade.services.edge import ports

# About three polls a second, so that a batch owner that missed a gateway's message notices within
# the time that an online request may wait.
POLL_INTERVAL_S = 0.3
# An upstream responds from memory, without using a slot.
LOAD_TIMEOUT_S = 0.5
REPORT_TTL_S = 0.8
MAX_RESPONSE_BYTES = 1_000_000


class Recorder(Protocol):
    """Records what upstreams say of themselves."""

    def record(self, up: routes.Upstream, head: http1.ResponseHead) -> None:
        """Record the head of a response."""

    def record_load(self, up: routes.Upstream, load: ports.UpstreamLoad, asked_s: float) -> None:
        """Record a load report that was asked for at a time on trio's clock."""

    def record_failure(self, up: routes.Upstream, exc: engine.CallError) -> None:
        """Record that no load report arrived."""


class LoadReport(msgspec.Struct, frozen=True):
    """An upstream's load.

    :param others: requests running or waiting there that are not this VM's batch items.
    """

    others: int
    waiting: int
    at_s: float


class UpstreamLoads:
    """Keeps the latest report of each upstream.

    :param count_items_at: returns the number of batch items that run at an upstream.
    :param recorder: gets each response.
    """

    def __init__(
        self,
        call_format: ports.CallFormat,
        count_items_at: Callable[[str], int],
        recorder: Recorder,
    ) -> None:
        self._call_format = call_format
        self._recorder = recorder
        self._count_items_at = count_items_at
        self._reports: dict[str, LoadReport] = {}

    def fresh_report(self, upstream: str, now_s: float) -> LoadReport | None:
        """Return an upstream's latest report, or ``None`` if it is stale or missing."""
        report = self._reports.get(upstream)
        return report if report and now_s - report.at_s < REPORT_TTL_S else None

    async def poll(
        self,
        list_upstreams: Callable[[], list[routes.Upstream]],
        on_failure: Callable[[routes.Upstream, engine.CallError], None],
        on_success: Callable[[routes.Upstream], None],
    ) -> None:
        """Poll until cancelled.

        :param list_upstreams: returns the upstreams to poll now.
        :param on_failure: called for an upstream that did not respond.
        :param on_success: called for an upstream that responded.
        """
        while True:
            async with trio.open_nursery() as nursery:
                for up in list_upstreams():
                    nursery.start_soon(self._poll_upstream, up, on_failure, on_success)
                await trio.sleep(POLL_INTERVAL_S)

    async def _poll_upstream(
        self,
        up: routes.Upstream,
        on_failure: Callable[[routes.Upstream, engine.CallError], None],
        on_success: Callable[[routes.Upstream], None],
    ) -> None:
        batch = self._count_items_at(up.name)
        try:
            load = await fetch_load(self._call_format, up, self._recorder)
        except engine.CallError as exc:
            on_failure(up, exc)
            return
        on_success(up)
        if load is not None:
            others = max(0, load.running + load.waiting - batch)
            self._reports[up.name] = LoadReport(others, load.waiting, trio.current_time())


async def fetch_load(
    call_format: ports.CallFormat, up: routes.Upstream, recorder: Recorder
) -> ports.UpstreamLoad | None:
    """Request an upstream's load; return ``None`` for an unusable response.

    :param recorder: gets the response.
    :raises CallError: if it does not respond in time.
    """
    with trio.move_on_after(LOAD_TIMEOUT_S):
        try:
            return await _ask_load(call_format, up, recorder)
        except engine.CallError as exc:
            recorder.record_failure(up, exc)
            raise
    raise engine.CallError(
        "no response within the timeout",
        step="fetch load",
        peer=up.address,
        progress=engine.Progress.NOT_SENT,
        timed_out=True,
    )


async def _ask_load(
    call_format: ports.CallFormat, up: routes.Upstream, recorder: Recorder
) -> ports.UpstreamLoad | None:
    asked_s = trio.current_time()
    with await http1.connect(up.address, LOAD_TIMEOUT_S) as channel:
        host = ((b"host", up.address.encode()),)
        await channel.send("GET", call_format.load_target, host, b"")
        head = await channel.read_head()
        recorder.record(up, head)
        body = await channel.read_body(MAX_RESPONSE_BYTES)
        load = call_format.parse_load(body) if head.status == 200 else None
        if load is not None:
            recorder.record_load(up, load, asked_s)
        return load
