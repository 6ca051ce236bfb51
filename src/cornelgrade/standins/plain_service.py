"""Plain-service stand-in: counts effects by key or path and can fail before or after the effect."""

import collections
import contextlib
from collections.abc import AsyncIterator

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _http_server, memory_engine

KEY_HEADER = "idempotency-key"
_JSON_HEADERS = (("content-type", "application/json"),)


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the service.

    :param slow_s: seconds before each effect.
    :param break_before: number of next calls whose connection breaks before the effect.
    :param break_after: number of next calls whose connection breaks after the effect.
    :param refuse: calls are refused with 503 and have no effect.
    """

    slow_s: float = 0.0
    break_before: int = 0
    break_after: int = 0
    refuse: bool = False


class Counters(msgspec.Struct, frozen=True):
    """Calls received and their effects by key, or by path without a key."""

    calls: int
    effects: dict[str, int]


class Effect(msgspec.Struct, frozen=True):
    """Response body of a call; ``effect`` is how often this key or path has run."""

    service: str
    path: str
    key: str
    effect: int


class BrokenError(Exception):
    """The connection breaks instead of a response."""


class RefusedError(Exception):
    """The call is refused and had no effect."""


class PlainService:
    """One plain service; repeated calls repeat their effect, so that tests can count them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.switches = Switches()
        self.calls = 0
        self.effects: collections.Counter[str] = collections.Counter()

    def switch(self, switches: Switches) -> None:
        """Replace the switches."""
        self.switches = switches

    def counters(self) -> Counters:
        """Return the totals."""
        return Counters(self.calls, dict(self.effects))

    async def run(self, path: str, key: str) -> Effect:
        """Run a call.

        :raises BrokenError: if the connection breaks, before or after the effect.
        :raises RefusedError: if nothing ran.
        """
        self.calls += 1
        if self.switches.refuse:
            raise RefusedError
        await trio.sleep(self.switches.slow_s)
        self._break_if_set("break_before")
        self.effects[key or path] += 1
        effect = Effect(self.name, path, key, self.effects[key or path])
        self._break_if_set("break_after")
        return effect

    def _break_if_set(self, switch: str) -> None:
        remaining = getattr(self.switches, switch)
        if remaining:
            self.switches = msgspec.structs.replace(self.switches, **{switch: remaining - 1})
            raise BrokenError


class PlainServer:
    """Serves a plain service over HTTP; ``/v1/switches`` and ``/v1/counters`` control it."""

    def __init__(self, service: PlainService) -> None:
        self.service = service
        self._server = _http_server.Server(self._handle)

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        await self._server.serve(address, task_status)

    async def _handle(self, req: _http_server.Exchange) -> None:
        control_views = {
            ("PUT", "/v1/switches"): self._set_switches,
            ("GET", "/v1/counters"): self._get_counters,
        }
        await control_views.get((req.method, req.path), self._handle_call)(req)

    async def _handle_call(self, req: _http_server.Exchange) -> None:
        try:
            effect = await self.service.run(req.path, req.headers.get(KEY_HEADER, ""))
        except BrokenError as exc:
            raise _http_server.AbortConnectionError from exc
        except RefusedError:
            await req.respond(503, b"{}")
        else:
            await req.respond(200, msgspec.json.encode(effect))

    async def _set_switches(self, req: _http_server.Exchange) -> None:
        try:
            self.service.switch(msgspec.json.decode(req.body, type=Switches))
        except msgspec.MsgspecError as exc:
            await req.respond(400, str(exc).encode())
        else:
            await req.respond(200, req.body)

    async def _get_counters(self, req: _http_server.Exchange) -> None:
        await req.respond(200, msgspec.json.encode(self.service.counters()))


class MemoryPlain:
    """Implements :class:`cornelgrade.adapters.engine.Upstream` on a service in this process."""

    def __init__(self, service: PlainService) -> None:
        self.name = service.name
        self.service = service

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[engine.Response]:
        """Send a call; entering waits for its effect."""
        headers = {name.lower(): value for name, value in call.headers}
        status, body = 200, b"{}"
        with trio.move_on_after(call.first_byte_timeout_s) as scope:
            try:
                effect = await self.service.run(call.path, headers.get(KEY_HEADER, ""))
                body = msgspec.json.encode(effect)
            except RefusedError:
                status = 503
            except BrokenError as exc:
                raise self._make_error("connection broke", engine.Progress.SENT) from exc
        if scope.cancelled_caught:
            raise self._make_error("said nothing in time", engine.Progress.SENT, timed_out=True)
        yield memory_engine.MemoryResponse(
            status, _JSON_HEADERS, memory_engine.iter_single_chunk(body)
        )

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """A plain service has nothing to cancel."""
        return engine.Cancelled(found=False)

    async def load(self) -> engine.Load:
        """A plain service reports no load."""
        return engine.Load(running=0, waiting=0, slots=1)

    async def state(self) -> engine.EngineState:
        """A plain service runs no models."""
        return engine.EngineState(())

    async def order(self, order: engine.Order) -> engine.EngineState:
        """A plain service takes no orders."""
        raise self._make_error("takes no orders", engine.Progress.ANSWERED)

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """A plain service has no cache."""
        return ()

    def _make_error(
        self, message: str, progress: engine.Progress, *, timed_out: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step="answer", peer=self.name, progress=progress, timed_out=timed_out
        )
