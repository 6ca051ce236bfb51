"""``/v1/jobs``: batch jobs of a team, streamed in and out."""

import contextlib
import uuid
from collections.abc import AsyncIterator, Iterator
from typing import Any

import msgspec
import quart

from cornelgrade import errors, kernel, manifest, settings
from cornelgrade.adapters import platform
from cornelgrade.services import (
    drain,
    job_ending,
    job_records,
    job_report,
    job_store,
    job_submission,
    ports,
)
from cornelgrade.services.web import access, body_flow_control

PATH = "/v1/jobs"
DEFAULT_DUE_S = 86_400.0
LONGEST_DUE_S = 30 * 86_400.0
MAX_PAGE = 100
_DEFAULT_PAGE = 20
_FLUSH_BYTES = 64_000


class JobPage(msgspec.Struct, frozen=True):
    """A page of a team's jobs; pass ``next`` as ``after`` for the following one."""

    jobs: tuple[job_report.JobView, ...]
    next: str | None = None


class ResultLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One item's outcome; ``response`` is the upstream's answer, ``error`` why there is none."""

    custom_id: str
    index: int
    outcome: str
    status: int = 0
    upstream: str = ""
    attempts: int = 0
    response: msgspec.Raw | str | None = None
    error: msgspec.Raw | str | None = None


def create_blueprint(
    kern: kernel.Kernel, cfg: settings.Settings, store: job_store.JobStore | None = None
) -> quart.Blueprint:
    """Make the routes of batch jobs.

    :param store: the jobs, by default over the kernel's service ``platform``.
    """
    made = quart.Blueprint("jobs", __name__)
    made.record_once(_gate_bodies)

    def jobs() -> job_store.JobStore:
        nonlocal store
        if store is None:
            store = job_store.JobStore(kern.find("platform", platform.Platform))
        return store

    @made.post(PATH)
    async def submit() -> quart.Response:
        caller = access.caller(kern, quart.request)
        order = _order(caller, quart.request)
        with _counted(kern), _platform_errors():
            body = body_flow_control.parts(quart.request)
            accepted = await job_submission.submit(jobs(), order, body)
            shown = await _view_or_header(jobs(), accepted.header)
        verb = "Submitted again" if accepted.again else "Submitted"
        _note(kern, caller, shown.id, "submit", f"{verb} with {shown.items} items.")
        return _json(shown, 200 if accepted.again else 201)

    @made.get(PATH)
    async def page() -> quart.Response:
        caller = access.caller(kern, quart.request)
        limit = min(MAX_PAGE, _number("limit", _DEFAULT_PAGE))
        after = quart.request.args.get("after", "")
        with _platform_errors():
            headers = await jobs().headers(caller.team.name, after, limit)
            shown = [await job_report.view(jobs(), header) for header in headers if _real(header)]
        following = headers[-1].job if len(headers) == limit else None
        return _json(JobPage(tuple(shown), following))

    @made.get(f"{PATH}/<job>")
    async def status(job: str) -> quart.Response:
        caller = access.caller(kern, quart.request)
        with _platform_errors():
            header = await _header(jobs(), caller.team.name, job)
            return _json(await job_report.view(jobs(), header))

    @made.get(f"{PATH}/<job>/results")
    async def results(job: str) -> quart.Response:
        caller = access.caller(kern, quart.request)
        first = _number("after", -1) + 1
        with _platform_errors():
            header = await _header(jobs(), caller.team.name, job)
        body = _buffered(_result_lines(jobs(), header, first))
        return quart.Response(body, content_type="application/x-ndjson")

    @made.delete(f"{PATH}/<job>")
    async def cancel(job: str) -> quart.Response:
        caller = access.caller(kern, quart.request)
        with _counted(kern), _platform_errors():
            await _header(jobs(), caller.team.name, job)
            cancelled = await job_ending.cancel(jobs(), caller.team.name, job)
            if cancelled is None:
                raise _not_found(job)
            _note(kern, caller, job, "cancel", f"Cancel asked for; it is {cancelled.state}.")
            return _json(await _view_or_header(jobs(), cancelled))

    return made


def _note(kern: kernel.Kernel, caller: access.Caller, job: str, step: str, sentence: str) -> None:
    if kern.has("histories"):
        histories = kern.find("histories", ports.Histories)
        histories.record(f"{caller.team.name}/{job}", step, sentence)


def _gate_bodies(state: quart.blueprints.BlueprintSetupState) -> None:
    app: Any = state.app
    app.asgi_app = body_flow_control.BodyFlowControl(app.asgi_app, PATH)


def _real(header: job_records.Header) -> bool:
    return header.state is not job_records.JobState.ABANDONED


async def _header(store: job_store.JobStore, team: str, job: str) -> job_records.Header:
    found = await store.header(team, job)
    if found is None or not _real(found.header):
        raise _not_found(job)
    return found.header


async def _view_or_header(
    store: job_store.JobStore, header: job_records.Header
) -> job_report.JobView:
    """Describe a job that was just written, without its progress if that can't be read."""
    try:
        return await job_report.view(store, header)
    except platform.UnavailableError:
        return job_report.plain_view(header)


def _not_found(job: str) -> errors.Refusal:
    return errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="find job")


@contextlib.contextmanager
def _counted(kern: kernel.Kernel) -> Iterator[None]:
    """Let a drain wait for the request, where the process has one."""
    if not kern.has("drain"):
        yield
        return
    with kern.find("drain", drain.Drain).request(f"job-{uuid.uuid4().hex}"):
        yield


@contextlib.contextmanager
def _platform_errors() -> Iterator[None]:
    """Turn the platform's outage into a refusal."""
    try:
        yield
    except platform.UnavailableError as exc:
        ran = errors.Ran.UNKNOWN if exc.outcome_unknown else errors.Ran.NO
        raise errors.Refusal(
            errors.Code.UNAVAILABLE,
            f"the platform is out: {exc.message}",
            step=exc.step,
            ran=ran,
            retry_after_s=exc.retry_after_s or 5.0,
            peer="platform",
        ) from exc


def _bad(message: str) -> errors.Refusal:
    return errors.Refusal(errors.Code.BAD_REQUEST, message, step="read request")


def _number(name: str, default: int) -> int:
    text = quart.request.args.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as exc:
        raise _bad(f"{name}: {text!r} is no number") from exc


def _order(caller: access.Caller, req: quart.Request) -> job_submission.Order:
    key = req.headers.get("Idempotency-Key", "").strip()
    if not key or len(key) > 255:
        raise _bad("send the job's key in Idempotency-Key, 1 to 255 characters")
    wanted = caller.accepted.manifest
    return job_submission.Order(
        team=caller.team.name,
        key=key,
        service=_service(wanted, _option(req, "Service")),
        priority=_priority(wanted, caller.team, _option(req, "Priority")),
        due_s=_due_s(req),
        chunk_items=wanted.batch.chunk_items,
    )


def _option(req: quart.Request, name: str) -> str | None:
    """Read an option from its header or from the query."""
    return req.headers.get(f"Cornelgrade-{name}") or req.args.get(name.lower().replace("-", "_"))


def _service(wanted: manifest.Manifest, name: str | None) -> manifest.Service:
    """Find the named service, or the only model service."""
    fitting = [
        service
        for service in wanted.services
        if (service.name == name if name else service.kind == "model")
    ]
    if len(fitting) != 1:
        raise _bad(f"no service {name}" if name else "name the service in Cornelgrade-Service")
    return fitting[0]


def _priority(
    wanted: manifest.Manifest, team: manifest.Team, name: str | None
) -> manifest.Priority:
    """Find the priority; without a name it is the last one of the team."""
    name = name or team.priorities[-1]
    if name not in team.priorities:
        raise errors.Refusal(
            errors.Code.FORBIDDEN, f"team {team.name} has no priority {name}", step="read request"
        )
    return next(priority for priority in wanted.priorities if priority.name == name)


def _due_s(req: quart.Request) -> float:
    """Read how long the job may take, in seconds or in the milliseconds of a deadline."""
    seconds, deadline_ms = _option(req, "Due-S"), req.headers.get("Cornelgrade-Deadline-Ms")
    try:
        due_s = float(seconds) if seconds else float(deadline_ms or DEFAULT_DUE_S * 1000) / 1000
    except ValueError as exc:
        raise _bad("the due time is no number") from exc
    if not 0 < due_s <= LONGEST_DUE_S:
        raise _bad(f"the due time must be within {LONGEST_DUE_S:.0f} s")
    return due_s


def _json(shown: msgspec.Struct, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(shown), status=status, content_type="application/json"
    )


async def _result_lines(
    store: job_store.JobStore, header: job_records.Header, first: int
) -> AsyncIterator[bytes]:
    """Give the lines of a job's results in item order, a chunk in memory at a time."""
    for chunk in range(max(0, first) // header.chunk_items, header.chunks):
        items = await store.items(header, chunk)
        async for outcome in store.outcomes(header, chunk):
            index = chunk * header.chunk_items + outcome.index
            if index >= first:
                yield _line(items[outcome.index], index, outcome) + b"\n"


def _line(item: job_records.Item, index: int, outcome: job_records.Outcome) -> bytes:
    said = _json_or_text(outcome.body)
    good = outcome.kind is job_records.OutcomeKind.OK
    return msgspec.json.encode(
        ResultLine(
            custom_id=item.custom_id,
            index=index,
            outcome=outcome.kind.value,
            status=outcome.status,
            upstream=outcome.upstream,
            attempts=outcome.attempts,
            response=said if good else None,
            error=None if good else said,
        )
    )


def _json_or_text(body: bytes) -> msgspec.Raw | str | None:
    if not body:
        return None
    try:
        return msgspec.Raw(msgspec.json.encode(msgspec.json.decode(body)))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body.decode(errors="replace")


async def _buffered(lines: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Join lines into larger parts."""
    part = bytearray()
    async for line in lines:
        part += line
        if len(part) >= _FLUSH_BYTES:
            yield bytes(part)
            part.clear()
    if part:
        yield bytes(part)
