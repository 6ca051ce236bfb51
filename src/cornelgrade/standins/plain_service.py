"""The plain-service stand-in: counts what ran by key and path, and fails around the effect."""

import collections
import contextlib
from collections.abc import AsyncIterator

import msgspec
import trio

from cornelgrade.adapters import engine
from cornelgrade.standins import _http_server, memory_engine

KEY_HEADER = "idempotency-key"
_JSON = (("content-type", "application/json"),)


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the service misbehaves.

    :param slow_s: seconds before each effect.
    :param break_before: the next so many calls break before their effect.
    :param break_after: the next so many calls break after their effect.
    :param refuse: calls are refused with 503 and have no effect.
    """

    slow_s: float = 0.0
    break_before: int = 0
    break_after: int = 0
    refuse: bool = False


class Counters(msgspec.Struct, frozen=True):
    """Calls that came and effects that they had; ``effects`` are by key, or path without one."""

    calls: int
    effects: dict[str, int]


class Effect(msgspec.Struct, frozen=True):
    """The answer of a call: what ran and how often it has run by now."""

    service: str
    path: str
    key: str
    effect: int


class BrokenError(Exception):
    """The connection breaks in place of an answer."""


class RefusedError(Exception):
    """The call is refused and had no effect."""


class PlainService:
    """One plain service; every call has its effect again, so that repeats show."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.switches = Switches()
        self.calls = 0
        self.effects: collections.Counter[str] = collections.Counter()

    def switch(self, switches: Switches) -> None:
        """Put new switches in force."""
        self.switches = switches

    def counters(self) -> Counters:
        """Give what the service has done."""
        return Counters(self.calls, dict(self.effects))

    async def run(self, path: str, key: str) -> Effect:
        """Carry a call out.

        :raises BrokenError: if the connection breaks, before or after the effect.
        :raises RefusedError: if nothing ran.
        """
        self.calls += 1
        if self.switches.refuse:
            raise RefusedError
        await trio.sleep(self.switches.slow_s)
        self._maybe_break("break_before")
        self.effects[key or path] += 1
        effect = Effect(self.name, path, key, self.effects[key or path])
        self._maybe_break("break_after")
        return effect

    def _maybe_break(self, switch: str) -> None:
        left = getattr(self.switches, switch)
        if left:
            self.switches = msgspec.structs.replace(self.switches, **{switch: left - 1})
            raise BrokenError


class PlainServer:
    """Serves a plain service over HTTP; ``/v1/switches`` and ``/v1/counters`` are its own."""

    def __init__(self, held: PlainService) -> None:
        self.held = held
        self._server = _http_server.Server(self._handle)

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        await self._server.serve(address, task_status)

    async def _handle(self, req: _http_server.Exchange) -> None:
        own = {
            ("PUT", "/v1/switches"): self._switch,
            ("GET", "/v1/counters"): self._counters,
        }
        await own.get((req.method, req.path), self._run)(req)

    async def _run(self, req: _http_server.Exchange) -> None:
        try:
            effect = await self.held.run(req.path, req.headers.get(KEY_HEADER, ""))
        except BrokenError as exc:
            raise _http_server.BrokenOffError from exc
        except RefusedError:
            await req.answer(503, b"{}")
        else:
            await req.answer(200, msgspec.json.encode(effect))

    async def _switch(self, req: _http_server.Exchange) -> None:
        try:
            self.held.switch(msgspec.json.decode(req.body, type=Switches))
        except msgspec.MsgspecError as exc:
            await req.answer(400, str(exc).encode())
        else:
            await req.answer(200, req.body)

    async def _counters(self, req: _http_server.Exchange) -> None:
        await req.answer(200, msgspec.json.encode(self.held.counters()))


class MemoryPlain:
    """Implements :class:`cornelgrade.adapters.engine.Upstream` on a service in this process."""

    def __init__(self, held: PlainService) -> None:
        self.name = held.name
        self.service = held

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[engine.Answer]:
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
                raise self._error("connection broke", engine.Progress.SENT) from exc
        if scope.cancelled_caught:
            raise self._error("said nothing in time", engine.Progress.SENT, silent=True)
        yield memory_engine.MemoryAnswer(status, _JSON, memory_engine.once(body))

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
        raise self._error("takes no orders", engine.Progress.ANSWERED)

    async def cache_events(self, after: int) -> tuple[engine.CacheEvent, ...]:
        """A plain service has no cache."""
        return ()

    def _error(
        self, message: str, progress: engine.Progress, *, silent: bool = False
    ) -> engine.CallError:
        return engine.CallError(
            message, step="answer", peer=self.name, progress=progress, silent=silent
        )
