"""Handles requests to submit, read and end batch jobs at a gateway."""

import time
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cornelgrade import errors, logs, metrics, routes
from cornelgrade.adapters import http1_server, platform
from cornelgrade.policy import route_table
from cornelgrade.services.edge import (
    job_repository,
    job_routes,
    ports,
    result_reader,
    waiting_tokens,
)

# Text bytes in one response, below the 1 MB that callers accept: 200 callers that read slowly fit
# into the buffers of a gateway.
MAX_PAGE_BYTES = 131_072
RETRY_AFTER_S = 0.5
# Skip the reservation if this many jobs of the same size would still fit: fewer arrive during the
# milliseconds that an acceptance takes.
DIRECT_ACCEPT_JOBS = 10
# Reserve if listing the jobs took longer: while the store is slow, more jobs arrive meanwhile.
DIRECT_ACCEPT_LIST_S = 0.05
_MS_PER_S = 1000
_log = logs.Logger("job_desk")


class _Record(msgspec.Struct):
    """What is logged of a request about jobs.

    :ivar act: what it asks for.
    :ivar team: of its caller.
    """

    act: str = "submit"
    team: str = ""


class JobHandler:
    """Answers requests about jobs from the store."""

    def __init__(
        self,
        repository: job_repository.JobRepository,
        results: result_reader.ResultReader,
        call_format: ports.CallFormat,
        job_call_format: ports.JobCallFormat,
    ) -> None:
        self._repository = repository
        self._results = results
        self._call_format = call_format
        self._job_call_format = job_call_format
        self._call_counter = metrics.counter(
            "cornelgrade_edge_job_calls_total", "Calls about jobs by act and outcome."
        )
        self._operations: dict[
            ports.JobOperation,
            Callable[[http1_server.Exchange, ports.JobCall, str | None], Awaitable[str]],
        ] = {
            ports.JobOperation.READ: self._send_results,
            ports.JobOperation.BODY: self._send_item_body,
            ports.JobOperation.END: self._end_job,
        }

    async def handle(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        table: route_table.RouteTable,
    ) -> bool:
        """Respond to a request about jobs; return ``False`` if it is not one.

        An accepted job keeps its calls, whichever routes its host has since. A request that may be
        one of an online route as well is a call only if it names such a job.
        """
        route = table.find(caller.host, exchange.raw_path)
        started_s = trio.current_time()
        record = _Record()
        try:
            outcome = await self._respond(exchange, caller, table, route, record)
        except errors.CornelgradeError as exc:
            outcome = await self._send_error(exchange, caller, exc)
        if outcome is None:
            return False
        self._call_counter.inc({"act": record.act, "outcome": outcome.split(" ")[0]})
        _log.info(
            "job_call",
            act=record.act,
            request=caller.request_id or exchange.path,
            team=record.team,
            route=route.name if route else "",
            outcome=outcome,
            total_s=trio.current_time() - started_s,
            plan=table.plan.version,
        )
        return True

    async def _respond(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        table: route_table.RouteTable,
        route: routes.Route | None,
        record: _Record,
    ) -> str | None:
        """Respond to a call or submission; return its outcome, ``None`` if it is neither.

        :param route: the route that fits the path.
        """
        is_online = route is not None and route.kind is not routes.RouteKind.BATCH
        job = self._job_call_format.parse_called_job(exchange)
        if job is not None:
            record.act = "call"
            if is_online and not await self._is_job_at_host(job, table, caller.host):
                return None
            call = self._job_call_format.parse_job_call(exchange)
            assert call is not None
            record.act = call.operation.value
            team = await self._authenticate_call(table, caller, job)
            record.team = team or ""
            return await self._operations[call.operation](exchange, call, team)
        if route is not None and not is_online:
            return await self._respond_to_submission(exchange, caller, table, route, record)
        header = await self._find_repeated_job(exchange, caller, table)
        if header is None:
            return None
        team = _authenticate(table, caller, ()) if header.team else ""
        record.team = team or ""
        _check_owner(header, team)
        return await self._accept_again(exchange, caller)

    async def _is_job_at_host(self, job: str, table: route_table.RouteTable, host: str) -> bool:
        header = await self._results.find_job(job)
        return header is not None and job_routes.is_at_host(table, header, host)

    async def _send_error(
        self, exchange: http1_server.Exchange, caller: ports.Caller, exc: errors.CornelgradeError
    ) -> str:
        """Respond to a failed request; claim that nothing ran only if that is certain."""
        status, retry_after_s = _error_status(exc)
        headers = self._call_format.refusal_headers(caller.request_id, retry_after_s)
        await exchange.respond(status, b"", headers)
        return f"{status} {exc.format_message()}"

    async def _submit_job(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        table: route_table.RouteTable,
        route: routes.Route,
        team: str | None,
    ) -> str:
        if exchange.method != "POST":
            raise errors.Refusal(errors.Code.NOT_FOUND, "jobs are submitted by POST", step="submit")
        items = self._job_call_format.parse_submission(exchange.body)
        now_ms = _unix_ms()
        header = job_repository.JobHeader(
            job=caller.request_id,
            route=route.name,
            host=route.host,
            received_ms=now_ms,
            due_ms=now_ms + int(route.job_policy.completion_aim_s * _MS_PER_S),
            expires_ms=now_ms + int(route.job_policy.item_ttl_s * _MS_PER_S),
            total=len(items),
            tokens=sum(item.tokens for item in items),
            pieces=0,
            team=team or "",
            plan=table.plan.version,
        )
        with trio.CancelScope(shield=True):
            await self._accept_job(route, header, items, team)
        await self._send_accepted(exchange, caller)
        return "accepted"

    async def _send_accepted(self, exchange: http1_server.Exchange, caller: ports.Caller) -> None:
        await exchange.respond(202, b"", self._call_format.refusal_headers(caller.request_id, None))

    async def _respond_to_submission(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        table: route_table.RouteTable,
        route: routes.Route,
        record: _Record,
    ) -> str:
        try:
            team = _authenticate(table, caller, (route,))
        except errors.Refusal:
            header = await self._find_repeated_job(exchange, caller, table)
            if header is None or header.team:
                raise
            return await self._accept_again(exchange, caller)
        record.team = team or ""
        return await self._submit_job(exchange, caller, table, route, team)

    async def _authenticate_call(
        self, table: route_table.RouteTable, caller: ports.Caller, job: str
    ) -> str | None:
        """Return the caller's team as :func:`_authenticate`; a job without a team needs no key."""
        try:
            return _authenticate(table, caller, table.find_batch(caller.host))
        except errors.Refusal:
            header = await self._results.find_job(job)
            if header is None or header.team:
                raise
            return ""

    async def _accept_again(self, exchange: http1_server.Exchange, caller: ports.Caller) -> str:
        await self._send_accepted(exchange, caller)
        return "accepted again"

    async def _find_repeated_job(
        self, exchange: http1_server.Exchange, caller: ports.Caller, table: route_table.RouteTable
    ) -> job_repository.JobHeader | None:
        """Return the accepted job that a request submits again, if it does."""
        if exchange.method != "POST" or not caller.request_id:
            return None
        try:
            self._job_call_format.parse_submission(exchange.body)
        except errors.BadInputError:
            return None
        header = await self._results.find_job(caller.request_id)
        if header is None or not job_routes.is_at_host(table, header, caller.host):
            return None
        return header

    async def _accept_job(
        self,
        route: routes.Route,
        header: job_repository.JobHeader,
        items: tuple[ports.Item, ...],
        team: str | None,
    ) -> None:
        """Store a job if its tokens fit within the route's limit on waiting tokens.

        Close to the limit, the job is reserved first and accepted after counting all jobs reserved
        before it, so that concurrent submissions at several gateways cannot exceed the limit.

        :param team: the caller's team, which the limit is one of; ``None`` if there are no teams.
        :raises Refusal: ``RATE_LIMITED`` if it does not fit, ``CONFLICT`` if another team has
            submitted a job of this name.
        """
        token_limit = route.job_policy.waiting_tokens
        if not token_limit:
            stored_header = await self._repository.create_job(header, items)
            _check_owner(stored_header.header, team)
            await self._repository.accept_job(stored_header, header)
            return
        started_s = trio.current_time()
        headers = await self._repository.list_headers()
        list_s = trio.current_time() - started_s
        for found in headers:
            if found.header.job == header.job:
                _check_owner(found.header, team)
                if found.header.accepted:
                    return
        waiting = waiting_tokens.count_waiting(
            headers, header, header.received_ms, per_team=team is not None
        )
        if waiting + header.tokens > token_limit:
            raise _token_limit_refusal(waiting, header.tokens, token_limit)
        is_far = waiting + DIRECT_ACCEPT_JOBS * header.tokens <= token_limit
        if is_far and list_s <= DIRECT_ACCEPT_LIST_S:
            # The stored job may be from an earlier submission that was declined.
            stored_header = await self._repository.create_job(header, items)
            _check_owner(stored_header.header, team)
            await self._repository.accept_job(stored_header, header)
            return
        stored_header = await self._reserve_job(header, items, team)
        if stored_header.header.accepted:
            return
        headers = await self._repository.list_headers()
        now_ms = _unix_ms()
        earlier = waiting_tokens.list_before(headers, stored_header)
        waiting = waiting_tokens.count_waiting(earlier, header, now_ms, per_team=team is not None)
        in_time = waiting_tokens.is_reserved(
            stored_header.header, now_ms, waiting_tokens.RESERVATION_USE_S
        )
        fits = waiting + header.tokens <= token_limit and in_time
        # A concurrent submission of the same job may have decided first.
        if fits:
            decided = await self._repository.accept_reserved(stored_header, header)
        else:
            decided = await self._repository.decline_job(stored_header)
        if not decided.accepted:
            raise _token_limit_refusal(waiting, header.tokens, token_limit)

    async def _reserve_job(
        self,
        header: job_repository.JobHeader,
        items: tuple[ports.Item, ...],
        team: str | None,
    ) -> job_repository.StoredHeader:
        """Reserve a job, or join the reservation of a concurrent submission of it."""
        reserved = msgspec.structs.replace(header, state="reserved", reserved_ms=_unix_ms())
        stored_header = await self._repository.create_job(reserved, items)
        _check_owner(stored_header.header, team)
        now_ms = reserved.reserved_ms
        if not stored_header.header.accepted and not waiting_tokens.is_reserved(
            stored_header.header, now_ms, waiting_tokens.RESERVATION_USE_S
        ):
            stored_header = await self._repository.reserve_job(stored_header, header, _unix_ms())
        return stored_header

    async def _send_results(
        self, exchange: http1_server.Exchange, call: ports.JobCall, team: str | None
    ) -> str:
        total, results = await self._results.read(call.job, call.after, call.wait_s, team)
        page = tuple(_limit_page(results))
        body = self._job_call_format.encode_page(total, call.after, page)
        await exchange.respond(200, body)
        return f"{len(page)} results from {call.after}"

    async def _send_item_body(
        self, exchange: http1_server.Exchange, call: ports.JobCall, team: str | None
    ) -> str:
        stored_header = await self._repository.find_job(call.job)
        if (
            stored_header is None
            or stored_header.header.state == "ended"
            or not stored_header.header.accepted
            or not stored_header.header.is_visible_to(team)
        ):
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {call.job}", step="read")
        for item in await self._repository.read_items(stored_header.header):
            if item.name == call.item:
                octets = (("content-type", "application/octet-stream"),)
                await exchange.respond(200, item.body, octets)
                return f"{len(item.body)} bytes"
        raise errors.Refusal(errors.Code.NOT_FOUND, f"no item {call.item}", step="read")

    async def _end_job(
        self, exchange: http1_server.Exchange, call: ports.JobCall, team: str | None
    ) -> str:
        stored_header = await self._repository.find_job(call.job)
        if (
            stored_header is None
            or not stored_header.header.accepted
            or not stored_header.header.is_visible_to(team)
        ):
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {call.job}", step="end")
        with trio.CancelScope(shield=True):
            header = await self._repository.close_job(stored_header, "ended")
        await exchange.respond(200, b"", ())
        return header.state


def _authenticate(
    table: route_table.RouteTable, caller: ports.Caller, batch_routes: tuple[routes.Route, ...]
) -> str | None:
    """Return the name of the caller's team: empty if it has none, ``None`` if there are no teams.

    :param batch_routes: the routes that its call may concern; one without keys needs none. Once
        all were removed, a call may come without a key, but one that it carries must be valid.
    :raises Refusal: ``UNAUTHORIZED`` without a valid key.
    """
    if table.plan.teams is None:
        return None
    sent = bool(caller.key_digests)
    key_required = all(route.needs_key for route in batch_routes) if batch_routes else sent
    team = table.authenticate(caller.key_digests, key_required=key_required)
    return team.name if team else ""


def _check_owner(header: job_repository.JobHeader, team: str | None) -> None:
    """Raise ``CONFLICT`` if a stored job belongs to another team."""
    if not header.is_visible_to(team):
        raise errors.Refusal(
            errors.Code.CONFLICT, f"job {header.job} belongs to another team", step="submit"
        )


def _unix_ms() -> int:
    return int(time.time() * _MS_PER_S)


def _token_limit_refusal(waiting: int, tokens: int, token_limit: int) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.RATE_LIMITED,
        f"{waiting} waiting and {tokens} new tokens exceed the limit of {token_limit}",
        step="submit",
        retry_after_s=RETRY_AFTER_S,
    )


def _limit_page(results: tuple[ports.ItemResult, ...]) -> list[ports.ItemResult]:
    """Truncate results to the size of one response, keeping at least one."""
    page_results: list[ports.ItemResult] = []
    size = 0
    for result in results:
        size += len(result.text)
        if page_results and size > MAX_PAGE_BYTES:
            break
        page_results.append(result)
    return page_results


def _error_status(exc: errors.CornelgradeError) -> tuple[int, float | None]:
    """Return the HTTP status and Retry-After seconds for an error."""
    if isinstance(exc, errors.Refusal):
        return exc.status, exc.retry_after_s
    if isinstance(exc, errors.BadInputError):
        return errors.STATUS[errors.Code.BAD_REQUEST], None
    if isinstance(exc, platform.UnavailableError) and not exc.outcome_unknown:
        return errors.STATUS[errors.Code.UNAVAILABLE], RETRY_AFTER_S
    return errors.STATUS[errors.Code.UPSTREAM_FAILED], None
