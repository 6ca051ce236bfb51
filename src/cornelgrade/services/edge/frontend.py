"""The service ``front``: accepts requests and dispatches them to the relay or job handler."""

import math
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import errors, kernel, logs, routes, settings
from cornelgrade.adapters import client_buffers, http1_server
from cornelgrade.services.edge import (
    fleet,
    forwarding,
    job_handler,
    peer_calls,
    peer_reach,
    ports,
    relay,
    team_limits,
)

# Retry-After of a gateway that has just started and has no plan yet.
RETRY_AFTER_S = 0.5
# How long connections are still accepted after the stop signal. The load balancer removes a gateway
# after two failed readiness checks a second apart, and connections it opened earlier may still be
# arriving.
LISTEN_AFTER_SIGNAL_S = 3.0
# Reserved before the process is killed at the end of its grace period.
SHUTDOWN_MARGIN_S = 0.5
BUSY_POLL_INTERVAL_S = 0.05
# Retry-After of a gateway that stops: other gateways take the request at once.
STOPPING_RETRY_AFTER_S = 0.05
_log = logs.Logger("front")


class Frontend:
    """Owns the servers for requests and for the load balancer's readiness checks."""

    name = "front"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.EdgeSettings,
        call_format: ports.CallFormat,
        handler: job_handler.JobHandler,
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peer_reach = kern.find("peer_reach", peer_reach.PeerReach)
        self._peer_calls = kern.find("peer_calls", peer_calls.PeerCalls)
        self._team_limits = kern.find("team_limits", team_limits.TeamLimits)
        self._forwarding = forwarding.Forwarding(kern, call_format)
        self._relay = relay.Relay(kern, cfg, call_format)
        self._job_handler = handler
        self._cfg = cfg
        self._call_format = call_format
        buffers = client_buffers.ClientBuffers(cfg.buffer_bytes)
        self._caller_server = http1_server.Server(
            self._handle_request, self._current_limits, buffers
        )
        self._peer_server = http1_server.Server(self._handle_peer, self._peer_limits, buffers)
        self._readiness_server = http1_server.Server(self._send_readiness)
        self._stops_at_s = math.inf

    async def run(self, started: Callable[[], None]) -> None:
        """Serve until cancelled."""
        assert self._cfg.caller_address and self._cfg.ready_address
        async with trio.open_nursery() as nursery:
            await nursery.start(self._caller_server.serve, self._cfg.caller_address)
            await nursery.start(self._peer_server.serve, self._cfg.peer_address)
            await nursery.start(self._readiness_server.serve, self._cfg.ready_address)
            started()

    async def drain(self) -> None:
        """Leave the load balancer's rotation, then return once all requests are answered."""
        grace_s = self._cfg.stop_grace_s - SHUTDOWN_MARGIN_S
        self._stops_at_s = trio.current_time() + grace_s
        self._peer_reach.stop()
        self._caller_server.drain()
        _log.info("draining", busy=self._count_active())
        with trio.move_on_after(grace_s):
            await trio.sleep(LISTEN_AFTER_SIGNAL_S)
            self._caller_server.stop_listening()
            self._peer_server.stop_listening()
            while self._count_active():
                await trio.sleep(BUSY_POLL_INTERVAL_S)
        _log.info("drained", busy=self._count_active())

    def _count_active(self) -> int:
        """Count the requests in progress, those that other gateways forwarded included."""
        return self._caller_server.active_requests + self._peer_server.active_requests

    def _current_limits(self) -> http1_server.Limits:
        """Return the limits of the plan in force."""
        table = self._fleet.table()
        if table is None:
            return http1_server.Limits()
        defaults, configured = http1_server.Limits(), table.plan.limits
        return http1_server.Limits(
            header_bytes=configured.header_bytes or defaults.header_bytes,
            body_bytes=configured.body_bytes or defaults.body_bytes,
            header_timeout_s=configured.header_timeout_s or defaults.header_timeout_s,
            idle_timeout_s=configured.idle_timeout_s or defaults.idle_timeout_s,
        )

    def _peer_limits(self) -> http1_server.Limits:
        """Return the limits of forwarded requests, which have some headers of the sender's own."""
        limits = self._current_limits()
        header_bytes = limits.header_bytes + forwarding.MAX_OWN_HEADER_BYTES
        return msgspec.structs.replace(limits, header_bytes=header_bytes)

    async def _send_readiness(self, exchange: http1_server.Exchange) -> None:
        serving = math.isinf(self._stops_at_s) and self._fleet.table() is not None
        await exchange.respond(200 if serving else 503, b"", ())

    async def _handle_request(self, exchange: http1_server.Exchange) -> None:
        caller = self._call_format.parse_caller(exchange.raw_headers)
        table = self._fleet.table()
        if table is None:
            await self._refuse_request(
                exchange, caller, errors.Code.UNAVAILABLE, "no plan", RETRY_AFTER_S
            )
            return
        if await self._job_handler.handle(exchange, caller, table):
            return
        route = table.find(caller.host, exchange.raw_path)
        if route is None or not route.targets or route.kind is routes.RouteKind.BATCH:
            await self._refuse_request(exchange, caller, errors.Code.NOT_FOUND, "no route", None)
            return
        if route.resumable and caller.has_invalid_resume:
            # An upstream may read it as a number, and go on with a stream of another version.
            why = "the last event is not a number"
            await self._refuse_request(exchange, caller, errors.Code.BAD_REQUEST, why, None)
            return
        if self._may_outlast_grace(caller, route):
            await self._refuse_stopping(exchange, caller)
            return
        team = None
        try:
            team = table.authenticate(caller.key_digests, key_required=route.needs_key)
            if team is not None:
                await self._team_limits.admit(team)
        except errors.Refusal as exc:
            await self._refuse_request(
                exchange, caller, exc.code, exc.message, exc.retry_after_s, team
            )
            return
        offered = await self._relay.relay_request(exchange, caller, route, team)
        if team is not None and not offered:
            self._team_limits.give_back(team)

    async def _handle_peer(self, exchange: http1_server.Exchange) -> None:
        """Respond to a call of a peer, or serve a request that it forwarded."""
        if not await self._peer_calls.handle(exchange):
            await self._handle_forwarded(exchange)

    async def _handle_forwarded(self, exchange: http1_server.Exchange) -> None:
        """Serve a request that another gateway forwarded."""
        try:
            hop = self._forwarding.accept(exchange, self._cfg.peer_address)
        except errors.Refusal as exc:
            _log.warning("forwarded_request_rejected", error=exc.format_message())
            await exchange.respond(exc.status, b"", ())
            return
        caller = self._call_format.parse_caller(exchange.raw_headers)
        table = self._fleet.table()
        route = table.find(caller.host, exchange.raw_path) if table else None
        if route is None or not route.targets or route.kind is routes.RouteKind.BATCH:
            # The sender may have a newer plan, so this is no reason to tell its caller 404.
            await self._refuse_request(
                exchange, caller, errors.Code.UNAVAILABLE, "no route here", RETRY_AFTER_S
            )
            return
        if self._may_outlast_grace(caller, route):
            await self._refuse_stopping(exchange, caller)
            return
        team = (table.team(hop.team) or routes.Team(hop.team)) if table and hop.team else None
        await self._relay.relay_request(exchange, caller, route, team, hop)

    def _may_outlast_grace(self, caller: ports.Caller, route: routes.Route) -> bool:
        """Whether a new request may still run at the end of the grace period."""
        timeout_s = route.timeout_s if caller.timeout_s is None else caller.timeout_s
        return trio.current_time() + min(timeout_s, route.timeout_s) > self._stops_at_s

    async def _refuse_stopping(self, exchange: http1_server.Exchange, caller: ports.Caller) -> None:
        await self._refuse_request(
            exchange, caller, errors.Code.UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER_S
        )

    async def _refuse_request(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        code: errors.Code,
        why: str,
        retry_after_s: float | None,
        team: routes.Team | None = None,
    ) -> None:
        table = self._fleet.table()
        _log.info(
            "refused",
            request=caller.request_id,
            outcome=code.value,
            code=code.value,
            team=team.name if team else "",
            why=why,
            host=caller.host,
            path=exchange.path,
            plan=table.plan.version if table else 0,
        )
        headers = self._call_format.refusal_headers(caller.request_id, retry_after_s)
        await exchange.respond(errors.STATUS[code], b"", headers)
