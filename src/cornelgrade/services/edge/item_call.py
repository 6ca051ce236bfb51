"""One run of a batch item at one upstream, from where an earlier run of it stopped."""

import dataclasses

import trio

from cornelgrade import routes
from cornelgrade.adapters import engine, http1
from cornelgrade.policy import event_stream
from cornelgrade.services.edge import job_repository, ports

CONNECT_TIMEOUT_S = 0.3
# An upstream that has a free slot begins within a fraction of a second.
RESPONSE_TIMEOUT_S = 2.0
# Events of a running item come every few tens of milliseconds.
SILENCE_S = 1.2
_STEP = "run item"
_CANT_BE_DONE = 422
_FAILED = 500


@dataclasses.dataclass(slots=True)
class Partial:
    """What earlier runs of an item brought.

    :ivar last: number of the last event, ``None`` before the first.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    last: int | None = None

    @property
    def events(self) -> int:
        """The number of events so far."""
        return len(self.texts)


class ItemCaller:
    """Runs items."""

    def __init__(self, calls: ports.CallFormat) -> None:
        self._calls = calls

    async def call(
        self,
        header: job_repository.JobHeader,
        item: ports.Item,
        up: routes.Upstream,
        partial: Partial,
    ) -> ports.ItemResult | None:
        """Run an item; events are added to ``partial`` as they come.

        :returns: the final result, or ``None`` if the upstream says that this run failed.
        :raises CallError: if the run did not come to an end.
        """
        headers = tuple((k.encode(), v.encode("latin-1")) for k, v in item.headers)
        sent = self._calls.item_headers(header.host, item.name, headers, up.name, partial.last)
        with await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel:
            await channel.send("POST", item.target.encode("latin-1"), sent, item.body)
            head = await self._head(channel, item)
            if head.status == _CANT_BE_DONE:
                return ports.ItemResult(item.name, ports.ItemEnd.GIVEN_UP, "")
            if head.status == _FAILED:
                return None
            if head.status >= 300:
                raise channel.failure(f"status {head.status}", _STEP)
            await self._events(channel, partial)
        return ports.ItemResult(item.name, ports.ItemEnd.COMPLETED, "\n".join(partial.texts))

    async def _head(self, channel: http1.Channel, item: ports.Item) -> http1.Head:
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            head = await channel.head()
            verdict = self._calls.verdict(head, item.name)
            if verdict is ports.Verdict.NOT_RUN:
                channel.progress = engine.Progress.NOT_SENT
            if verdict is not ports.Verdict.RESPONSE:
                raise channel.failure(f"{verdict.value} {head.status}", _STEP)
            return head
        raise channel.failure("no answer in time", _STEP, silent=True)

    async def _events(self, channel: http1.Channel, partial: Partial) -> None:
        splitter = event_stream.EventSplitter()
        while part := await self._part(channel):
            for event in splitter.feed(part):
                _add(channel, partial, event)
        if splitter.rest:
            raise channel.failure("the stream ended within an event", _STEP)

    @staticmethod
    async def _part(channel: http1.Channel) -> bytes:
        with trio.move_on_after(SILENCE_S):
            return await channel.body()
        raise channel.failure("silent within the stream", _STEP, silent=True)


def _add(channel: http1.Channel, partial: Partial, event: event_stream.Event) -> None:
    """Add an event if it is the next one.

    :raises CallError: if events are missing before it.
    """
    if event.number is not None and partial.last is not None:
        if event.number <= partial.last:
            return
        if event.number > partial.last + 1:
            raise channel.failure(f"event {event.number} after {partial.last}", _STEP)
    partial.texts.append(event.data().decode("utf-8", "replace"))
    partial.last = event.number if event.number is not None else partial.last
