"""Takes jobs, shows their results and ends them, at every gateway."""

import collections
import dataclasses
import time
from collections.abc import Awaitable, Callable, Iterable

import msgspec
import trio

from cornelgrade import errors, logs, metrics, routes
from cornelgrade.adapters import http1_server, platform
from cornelgrade.policy import route_table
from cornelgrade.services.edge import job_repository, ports

# Jobs whose results a gateway keeps; the least recently read one goes first.
KEPT_JOBS = 64
# Texts in one answer, below the megabyte that callers take.
PAGE_BYTES = 900_000
RETRY_AFTER_S = 0.5
# With room for this many jobs of its size one is accepted in one write: so many don't arrive within
# the milliseconds of an acceptance.
AT_ONCE = 10
# A reservation that is older was left by a gateway that died and holds no room.
RESERVED_S = 5.0
_MS_PER_S = 1000
_log = logs.Logger("job_desk")


@dataclasses.dataclass(slots=True)
class _View:
    """Results of a job as far as this gateway has read them.

    :ivar revision: what the store is asked to go on from, 0 to read all.
    """

    header: job_repository.JobHeader
    results: list[ports.ItemResult] = dataclasses.field(default_factory=list)
    revision: int = 0
    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)

    @property
    def complete(self) -> bool:
        """Whether there can be no further results."""
        return len(self.results) >= self.header.total


class JobHandler:
    """Answers calls about jobs from the store, with no state that must last."""

    def __init__(
        self,
        book: job_repository.JobRepository,
        calls: ports.CallFormat,
        job_calls: ports.JobCallFormat,
    ) -> None:
        self._book = book
        self._calls = calls
        self._job_calls = job_calls
        self._job_calls_made = metrics.counter(
            "cornelgrade_edge_job_calls_total", "Calls about jobs by act and outcome."
        )
        self._views: collections.OrderedDict[str, _View] = collections.OrderedDict()
        self._acts: dict[
            ports.JobOperation, Callable[[http1_server.Exchange, ports.JobCall], Awaitable[str]]
        ] = {
            ports.JobOperation.READ: self._read,
            ports.JobOperation.BODY: self._body,
            ports.JobOperation.END: self._end,
        }

    async def serve(
        self,
        exchange: http1_server.Exchange,
        caller: ports.Caller,
        table: route_table.RouteTable,
    ) -> bool:
        """Answer a call about jobs; ``False`` if it is none."""
        route = table.find(caller.host, exchange.raw_path)
        submits = route is not None and route.kind is routes.RouteKind.BATCH
        if not submits and (route is not None or not table.find_batch(caller.host)):
            return False
        begun_s = trio.current_time()
        operation = "submit"
        try:
            if route is not None:
                outcome = await self._submit(exchange, caller, route)
            else:
                call = self._job_calls.parse_job_call(exchange)
                if call is None:
                    return False
                operation = call.operation.value
                outcome = await self._acts[call.operation](exchange, call)
        except errors.CornelgradeError as exc:
            outcome = await self._refuse(exchange, caller, exc)
        self._job_calls_made.inc({"act": operation, "outcome": outcome.split(" ")[0]})
        _log.info(
            "job_call",
            act=operation,
            request=caller.request_id or exchange.path,
            outcome=outcome,
            total_s=trio.current_time() - begun_s,
            plan=table.plan.version,
        )
        return True

    async def _refuse(
        self, exchange: http1_server.Exchange, caller: ports.Caller, exc: errors.CornelgradeError
    ) -> str:
        """Answer a failed call; a promise that nothing runs is given only if it is true."""
        status, retry_after_s = _status(exc)
        headers = self._calls.refusal_headers(caller.request_id, retry_after_s)
        await exchange.answer(status, b"", headers)
        return f"{status} {exc.format_message()}"

    async def _submit(
        self, exchange: http1_server.Exchange, caller: ports.Caller, route: routes.Route
    ) -> str:
        if exchange.method != "POST":
            raise errors.Refusal(errors.Code.NOT_FOUND, "not a submission", step="submit")
        items = self._job_calls.parse_submission(exchange.body)
        now_ms = int(time.time() * _MS_PER_S)
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
        )
        with trio.CancelScope(shield=True):
            await self._accept(route, header, items)
        await exchange.answer(202, b"", self._calls.refusal_headers(caller.request_id, None))
        return "accepted"

    async def _accept(
        self, route: routes.Route, header: job_repository.JobHeader, items: tuple[ports.Item, ...]
    ) -> None:
        """Store a job that fits beside the tokens that wait.

        Near the bound it is reserved first and accepted once all that came before it is counted,
        so that jobs which come at the same time at several gateways don't exceed it together.

        :raises Refusal: ``RATE_LIMITED`` if it does not fit.
        """
        bound = route.job_policy.waiting_tokens
        if not bound:
            await self._book.open(await self._book.store(header, items))
            return
        headers = await self._book.headers()
        if any(f.header.job == header.job and f.header.accepted for f in headers):
            return
        waiting = _waiting(headers, header)
        if waiting + header.tokens > bound:
            raise _over(waiting, header.tokens, bound)
        if waiting + AT_ONCE * header.tokens <= bound:
            # What is stored may be an earlier try that was declined.
            await self._book.open(await self._book.store(header, items))
            return
        found = await self._book.store(msgspec.structs.replace(header, state="reserved"), items)
        headers = await self._book.headers()
        # Of two reservations the earlier goes first; one left by an earlier try has lost its place.
        before = [f for f in headers if not found.made or f.created < found.created]
        waiting = _waiting(before, header)
        if waiting + header.tokens > bound:
            await self._book.decline(found)
            raise _over(waiting, header.tokens, bound)
        await self._book.open(found)

    async def _view(self, job: str) -> _View:
        """Give what is known of a job, read from the store at the first call.

        :raises Refusal: ``NOT_FOUND`` if there is no such job.
        """
        view = self._views.get(job)
        if view is None:
            found = await self._book.find(job)
            if found is None or not found.header.accepted:
                raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="read")
            view = self._views.setdefault(job, _View(found.header))
        self._views.move_to_end(job)
        while len(self._views) > KEPT_JOBS:
            self._views.popitem(last=False)
        return view

    async def _read(self, exchange: http1_server.Exchange, call: ports.JobCall) -> str:
        view = await self._view(call.job)
        if len(view.results) <= call.after:
            await self._catch_up(view, call)
        page = tuple(_fitting(view.results[call.after :]))
        body = self._job_calls.encode_page(view.header.total, call.after, page)
        await exchange.answer(200, body)
        return f"{len(page)} results from {call.after}"

    async def _catch_up(self, view: _View, call: ports.JobCall) -> None:
        """Read what the store has behind the known results, waiting for it if there is nothing."""
        async with view.lock:
            if len(view.results) > call.after:
                return
            if not view.revision:
                await self._refresh(view, 0.0)
            elif not view.complete:
                await self._refresh(view, call.wait_s)
                return
            if call.wait_s and len(view.results) <= call.after and not view.complete:
                await self._refresh(view, call.wait_s)

    async def _refresh(self, view: _View, wait_s: float) -> None:
        listed, revision, reset = await self._book.results(view.header.job, view.revision, wait_s)
        if reset:
            listed, revision, _ = await self._book.results(view.header.job, 0, 0.0)
            view.results.clear()
        elif not view.revision:
            view.results.clear()
        view.results += [entry.result for entry in listed]
        view.revision = revision

    async def _body(self, exchange: http1_server.Exchange, call: ports.JobCall) -> str:
        found = await self._book.find(call.job)
        if found is None or found.header.state == "ended" or not found.header.accepted:
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {call.job}", step="read")
        for item in await self._book.items(found.header):
            if item.name == call.item:
                octets = (("content-type", "application/octet-stream"),)
                await exchange.answer(200, item.body, octets)
                return f"{len(item.body)} bytes"
        raise errors.Refusal(errors.Code.NOT_FOUND, f"no item {call.item}", step="read")

    async def _end(self, exchange: http1_server.Exchange, call: ports.JobCall) -> str:
        found = await self._book.find(call.job)
        if found is None or not found.header.accepted:
            raise errors.Refusal(errors.Code.NOT_FOUND, f"no job {call.job}", step="end")
        with trio.CancelScope(shield=True):
            header = await self._book.close(found, "ended")
        await exchange.answer(200, b"", ())
        return header.state


def _waiting(headers: Iterable[job_repository.Found], new: job_repository.JobHeader) -> int:
    """Count the tokens that wait on the new job's route, and those that are about to."""
    fresh_ms = new.received_ms - RESERVED_S * _MS_PER_S
    return sum(
        f.header.tokens
        for f in headers
        if f.header.route == new.route
        and f.header.job != new.job
        and (
            f.header.state == "open"
            or (f.header.state == "reserved" and f.header.received_ms > fresh_ms)
        )
    )


def _over(waiting: int, tokens: int, bound: int) -> errors.Refusal:
    return errors.Refusal(
        errors.Code.RATE_LIMITED,
        f"{waiting} tokens wait, {tokens} more are over {bound}",
        step="submit",
        retry_after_s=RETRY_AFTER_S,
    )


def _fitting(results: list[ports.ItemResult]) -> list[ports.ItemResult]:
    """Cut a list of results down to one answer's size, but to no less than one."""
    fitting: list[ports.ItemResult] = []
    size = 0
    for result in results:
        size += len(result.text)
        if fitting and size > PAGE_BYTES:
            break
        fitting.append(result)
    return fitting


def _status(exc: errors.CornelgradeError) -> tuple[int, float | None]:
    """Give status and time to come back."""
    if isinstance(exc, errors.Refusal):
        return exc.status, exc.retry_after_s
    if isinstance(exc, errors.BadInputError):
        return errors.STATUS[errors.Code.BAD_REQUEST], None
    if isinstance(exc, platform.UnavailableError) and not exc.outcome_unknown:
        return errors.STATUS[errors.Code.UNAVAILABLE], RETRY_AFTER_S
    return errors.STATUS[errors.Code.UPSTREAM_FAILED], None
