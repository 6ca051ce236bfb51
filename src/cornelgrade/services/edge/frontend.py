"""The service ``front``: takes callers' requests and hands each to the relay or the job desk."""

from collections.abc import Callable

import trio

from cornelgrade import errors, kernel, logs, routes, settings
from cornelgrade.adapters import http1_server
from cornelgrade.services.edge import fleet, job_handler, ports, relay

# When to come back to a gateway that has just started and knows no plan yet.
RETRY_AFTER_S = 0.5
# From the signal to stop until new connections are refused: the balancer takes a gateway out after
# two questions a second apart, and connections that it opened before may still be on their way.
LISTEN_S = 3.0
# Kept back from the time that is left until the process is killed.
STOP_MARGIN_S = 0.5
BUSY_POLL_S = 0.05
_log = logs.Logger("front")


class Frontend:
    """Owns the servers for callers and for the balancer's question."""

    name = "front"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.EdgeSettings,
        calls: ports.CallFormat,
        desk: job_handler.JobHandler,
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._relay = relay.Relay(kern, calls)
        self._desk = desk
        self._cfg = cfg
        self._calls = calls
        self._callers = http1_server.Server(self._handle, self._limits)
        self._balancer = http1_server.Server(self._ready)
        self._stopping = False

    async def run(self, started: Callable[[], None]) -> None:
        """Serve until cancelled."""
        assert self._cfg.caller_address and self._cfg.ready_address
        async with trio.open_nursery() as nursery:
            await nursery.start(self._callers.serve, self._cfg.caller_address)
            await nursery.start(self._balancer.serve, self._cfg.ready_address)
            started()

    async def drain(self) -> None:
        """Leave the balancer's rotation, then end when the last answer is out."""
        self._stopping = True
        self._callers.drain()
        _log.info("draining", busy=self._callers.busy)
        with trio.move_on_after(self._cfg.stop_grace_s - STOP_MARGIN_S):
            await trio.sleep(LISTEN_S)
            self._callers.stop_listening()
            while self._callers.busy:
                await trio.sleep(BUSY_POLL_S)
        _log.info("drained", busy=self._callers.busy)

    def _limits(self) -> http1_server.Limits:
        """Give the limits of the plan in force."""
        table = self._fleet.table()
        if table is None:
            return http1_server.Limits()
        standard, own = http1_server.Limits(), table.plan.limits
        return http1_server.Limits(
            header_bytes=own.header_bytes or standard.header_bytes,
            body_bytes=own.body_bytes or standard.body_bytes,
            header_timeout_s=own.header_timeout_s or standard.header_timeout_s,
            idle_timeout_s=own.idle_timeout_s or standard.idle_timeout_s,
        )

    async def _ready(self, exchange: http1_server.Exchange) -> None:
        serving = not self._stopping and self._fleet.table() is not None
        await exchange.answer(200 if serving else 503, b"", ())

    async def _handle(self, exchange: http1_server.Exchange) -> None:
        caller = self._calls.parse_caller(exchange.raw_headers)
        table = self._fleet.table()
        if table is None:
            await self._refuse(exchange, caller, errors.Code.UNAVAILABLE, "no plan", RETRY_AFTER_S)
            return
        if await self._desk.serve(exchange, caller, table):
            return
        route = table.find(caller.host, exchange.raw_path)
        if route is None or not route.targets or route.kind is routes.RouteKind.BATCH:
            await self._refuse(exchange, caller, errors.Code.NOT_FOUND, "no route", None)
            return
        await self._relay.serve(exchange, caller, route)

    async def _refuse(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        code: errors.Code,
        why: str,
        retry_after_s: float | None,
    ) -> None:
        table = self._fleet.table()
        _log.info(
            "refused",
            request=caller.request_id,
            code=code.value,
            why=why,
            host=caller.host,
            path=exchange.path,
            plan=table.plan.version if table else 0,
        )
        headers = self._calls.refusal_headers(caller.request_id, retry_after_s)
        await exchange.answer(errors.STATUS[code], b"", headers)
