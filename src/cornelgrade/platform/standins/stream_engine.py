"""An engine that streams numbered events and resumes them, for tests of forwarding by path.

It answers any POST. Event ``n`` of a request carries ``REQUEST ID-n``, so that a caller can tell
whether it got the whole of its own answer.
"""

import dataclasses

import msgspec
import trio

from cornelgrade import routes
from cornelgrade.standins import _http_server

QUEUE = 24


class Faults(msgspec.Struct, frozen=True):
    """How an engine misbehaves.

    :param decline: requests are refused as not run.
    :param fail: requests are answered with this status, as run.
    :param cut_after: the connection breaks after so many events, within the next one.
    :param silent_after: nothing more is said after so many events.
    :param foreign: an answer to another request comes first.
    :param unsigned: answers lack their proof.
    """

    decline: bool = False
    fail: int = 0
    cut_after: int | None = None
    silent_after: int | None = None
    foreign: bool = False
    unsigned: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Seen:
    """A request that reached the engine.

    :ivar at_s: when it came, on trio's clock.
    :ivar ran: a slot was given to it.
    :ivar cancelled: its caller left before the end.
    """

    request: str
    target: bytes
    headers: dict[str, str]
    body: bytes
    resumed_after: int | None
    at_s: float = 0.0
    ran: bool = False
    cancelled: bool = False
    ended: bool = False


class StreamEngine:
    """A stand-in for one upstream.

    :param events: events of each answer.
    :param event_s: time between two of them.
    """

    def __init__(
        self, name: str, *, slots: int = 8, events: int = 5, event_s: float = 0.01
    ) -> None:
        self.name = name
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.faults = Faults()
        self.seen: list[Seen] = []
        self.running = 0
        self.waiting = 0
        self.most_running = 0
        self.address = ""
        self._room = trio.CapacityLimiter(slots)
        self._server = _http_server.Server(self._handle)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve on a free port of the loopback address until cancelled."""
        async with trio.open_nursery() as nursery:
            self.address = await nursery.start(self._server.serve, "127.0.0.1:0")
            task_status.started(self.address)

    def upstream(self, service: str, failure_domain: str) -> routes.Upstream:
        """Give the engine as it would register itself."""
        return routes.Upstream(self.name, service, self.address, failure_domain, self.slots)

    def crash(self, down_s: float) -> None:
        """Reset every connection and refuse new ones for a while."""
        self._server.crash(down_s)

    async def _handle(self, req: _http_server.Exchange) -> None:
        if req.raw_path == "/report":
            load = {"running": self.running, "waiting": self.waiting}
            await req.answer(200, msgspec.json.encode(load))
            return
        after = req.headers.get("last-event-id")
        resumed = int(after) if after else None
        request = req.headers.get("x-request-id", "")
        seen = Seen(request, req.target, req.headers, req.body, resumed, trio.current_time())
        self.seen.append(seen)
        if req.headers.get("x-expect-instance", self.name) != self.name:
            await req.answer(421, b"", (("x-instance-id", self.name),))
        elif self.faults.decline or self.waiting >= QUEUE:
            await req.answer(503, b"", (("x-not-executed", "1"),))
        else:
            await self._serve(req, seen)

    async def _serve(self, req: _http_server.Exchange, seen: Seen) -> None:
        self.waiting += 1
        try:
            await self._room.acquire_on_behalf_of(seen)
        finally:
            self.waiting -= 1
        self.running += 1
        seen.ran = True
        self.most_running = max(self.most_running, self.running)
        try:
            await self._answer(req, seen)
            seen.ended = True
        except trio.Cancelled:
            seen.cancelled = True
            raise
        finally:
            self.running -= 1
            self._room.release_on_behalf_of(seen)

    async def _answer(self, req: _http_server.Exchange, seen: Seen) -> None:
        signed = () if self.faults.unsigned else (("x-response-signature", "signed"),)
        head = (("x-request-id", seen.request), *signed)
        if self.faults.foreign:
            await req.answer(200, b"not yours", (("x-request-id", "someone-else"),))
            return
        if self.faults.fail:
            await req.answer(self.faults.fail, b"failed", head)
            return
        first = (seen.resumed_after or 0) + 1
        await req.start(200, (*head, ("content-type", "text/event-stream")), b"")
        for number in range(first, self.events + 1):
            await self._faults_at(req, number - 1)
            await trio.sleep(self.event_s)
            await req.chunk(event(seen.request, number))
        await req.end()

    async def _faults_at(self, req: _http_server.Exchange, made: int) -> None:
        if self.faults.cut_after == made:
            await req.chunk(b"id: 99\nda")
            raise _http_server.BrokenOffError
        if self.faults.silent_after == made:
            await trio.sleep_forever()


def event(request: str, number: int) -> bytes:
    """Write one event of a request's answer."""
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


def text(request: str, events: int) -> str:
    """Give the text of a whole answer, as the result of a batch item holds it."""
    return "\n".join(f"{request}-{number}" for number in range(1, events + 1))


def whole(request: str, events: int) -> bytes:
    """Write the whole answer to a request."""
    return b"".join(event(request, number) for number in range(1, events + 1))
