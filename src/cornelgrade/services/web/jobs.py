"""``/v1/jobs``: a team's batch jobs; items and results are streamed."""

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
MAX_DUE_S = 30 * 86_400.0
MAX_PAGE_JOBS = 100
_DEFAULT_PAGE_JOBS = 20
_MIN_PART_BYTES = 64_000


class JobPage(msgspec.Struct, frozen=True):
    """A page of a team's jobs; pass ``next`` as ``after`` to get the following page."""

    jobs: tuple[job_report.JobView, ...]
    next: str | None = None


class ResultLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One item's outcome: the upstream's ``response``, or an ``error`` why there is none."""

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
    """Create the routes of batch jobs.

    :param store: the job store; by default one that uses the kernel's service ``platform``.
    """
    routes = quart.Blueprint("jobs", __name__)
    routes.record_once(_add_flow_control)

    def get_store() -> job_store.JobStore:
        nonlocal store
        if store is None:
            store = job_store.JobStore(kern.find("platform", platform.Platform))
        return store

    @routes.post(PATH)
    async def submit_job() -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        job_request = _parse_job_request(caller, quart.request)
        with _track_request(kern), _refuse_on_outage():
            body = body_flow_control.iter_body(quart.request)
            accepted_job = await job_submission.submit(get_store(), job_request, body)
            job_view = await _view_written_job(get_store(), accepted_job.header)
        verb = "Submitted again" if accepted_job.resubmitted else "Submitted"
        _record_step(kern, caller, job_view.id, "submit", f"{verb} with {job_view.items} items.")
        return _json_response(job_view, 200 if accepted_job.resubmitted else 201)

    @routes.get(PATH)
    async def list_jobs() -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        limit = min(MAX_PAGE_JOBS, _parse_int_arg("limit", _DEFAULT_PAGE_JOBS))
        after = quart.request.args.get("after", "")
        with _refuse_on_outage():
            headers = await get_store().headers(caller.team.name, after, limit)
            views = [
                await job_report.view(get_store(), header)
                for header in headers
                if _is_visible(header)
            ]
        next_after = headers[-1].job if len(headers) == limit else None
        return _json_response(JobPage(tuple(views), next_after))

    @routes.get(f"{PATH}/<job>")
    async def get_job(job: str) -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        with _refuse_on_outage():
            header = await _find_header(get_store(), caller.team.name, job)
            return _json_response(await job_report.view(get_store(), header))

    @routes.get(f"{PATH}/<job>/results")
    async def get_results(job: str) -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        first_index = _parse_int_arg("after", -1) + 1
        with _refuse_on_outage():
            header = await _find_header(get_store(), caller.team.name, job)
        body = _join_lines(_iter_result_lines(get_store(), header, first_index))
        return quart.Response(body, content_type="application/x-ndjson")

    @routes.delete(f"{PATH}/<job>")
    async def cancel_job(job: str) -> quart.Response:
        caller = access.authenticate_caller(kern, quart.request)
        with _track_request(kern), _refuse_on_outage():
            await _find_header(get_store(), caller.team.name, job)
            cancelled = await job_ending.cancel(get_store(), caller.team.name, job)
            if cancelled is None:
                raise _job_not_found(job)
            _record_step(kern, caller, job, "cancel", f"Cancel asked for; it is {cancelled.state}.")
            return _json_response(await _view_written_job(get_store(), cancelled))

    return routes


def _record_step(
    kern: kernel.Kernel, caller: access.Caller, job: str, step: str, sentence: str
) -> None:
    if kern.has("histories"):
        histories = kern.find("histories", ports.Histories)
        histories.record(f"{caller.team.name}/{job}", step, sentence)


def _add_flow_control(state: quart.blueprints.BlueprintSetupState) -> None:
    app: Any = state.app
    app.asgi_app = body_flow_control.BodyFlowControl(app.asgi_app, PATH)


def _is_visible(header: job_records.Header) -> bool:
    return header.state is not job_records.JobState.ABANDONED


async def _find_header(store: job_store.JobStore, team: str, job: str) -> job_records.Header:
    stored = await store.header(team, job)
    if stored is None or not _is_visible(stored.header):
        raise _job_not_found(job)
    return stored.header


async def _view_written_job(
    store: job_store.JobStore, header: job_records.Header
) -> job_report.JobView:
    """Return the view of a job just written, without progress if the platform is unavailable."""
    try:
        return await job_report.view(store, header)
    except platform.UnavailableError:
        return job_report.view_from_header(header)


def _job_not_found(job: str) -> errors.Refusal:
    return errors.Refusal(errors.Code.NOT_FOUND, f"no job {job}", step="find job")


@contextlib.contextmanager
def _track_request(kern: kernel.Kernel) -> Iterator[None]:
    """Make a drain wait for the request, if the process has a drain service."""
    if not kern.has("drain"):
        yield
        return
    with kern.find("drain", drain.Drain).request(f"job-{uuid.uuid4().hex}"):
        yield


@contextlib.contextmanager
def _refuse_on_outage() -> Iterator[None]:
    """Raise a refusal when the platform is unavailable."""
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


def _bad_request(message: str) -> errors.Refusal:
    return errors.Refusal(errors.Code.BAD_REQUEST, message, step="read request")


def _parse_int_arg(name: str, default: int) -> int:
    text = quart.request.args.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as exc:
        raise _bad_request(f"{name}: {text!r} is no number") from exc


def _parse_job_request(caller: access.Caller, req: quart.Request) -> job_submission.JobRequest:
    key = req.headers.get("Idempotency-Key", "").strip()
    if not key or len(key) > 255:
        raise _bad_request("send the job's key in Idempotency-Key, 1 to 255 characters")
    current_manifest = caller.accepted.manifest
    return job_submission.JobRequest(
        team=caller.team.name,
        key=key,
        service=_find_service(current_manifest, _read_option(req, "Service")),
        priority=_find_priority(current_manifest, caller.team, _read_option(req, "Priority")),
        due_s=_parse_due_s(req),
        chunk_items=current_manifest.batch.chunk_items,
    )


def _read_option(req: quart.Request, name: str) -> str | None:
    """Read an option from its ``Cornelgrade-`` header, else from the query string."""
    return req.headers.get(f"Cornelgrade-{name}") or req.args.get(name.lower().replace("-", "_"))


def _find_service(current_manifest: manifest.Manifest, name: str | None) -> manifest.Service:
    """Return the named service; without a name, the only model service."""
    matching = [
        service
        for service in current_manifest.services
        if (service.name == name if name else service.kind == "model")
    ]
    if len(matching) != 1:
        raise _bad_request(
            f"no service {name}" if name else "name the service in Cornelgrade-Service"
        )
    return matching[0]


def _find_priority(
    current_manifest: manifest.Manifest, team: manifest.Team, name: str | None
) -> manifest.Priority:
    """Return the named priority; without a name, the last one in the team's list."""
    name = name or team.priorities[-1]
    if name not in team.priorities:
        raise errors.Refusal(
            errors.Code.FORBIDDEN, f"team {team.name} has no priority {name}", step="read request"
        )
    return next(priority for priority in current_manifest.priorities if priority.name == name)


def _parse_due_s(req: quart.Request) -> float:
    """Return the time until the job is due, in seconds.

    ``Cornelgrade-Due-S`` takes precedence over ``Cornelgrade-Deadline-Ms``.
    """
    seconds, deadline_ms = _read_option(req, "Due-S"), req.headers.get("Cornelgrade-Deadline-Ms")
    try:
        due_s = float(seconds) if seconds else float(deadline_ms or DEFAULT_DUE_S * 1000) / 1000
    except ValueError as exc:
        raise _bad_request("the due time is no number") from exc
    if not 0 < due_s <= MAX_DUE_S:
        raise _bad_request(f"the due time must be within {MAX_DUE_S:.0f} s")
    return due_s


def _json_response(value: msgspec.Struct, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(value), status=status, content_type="application/json"
    )


async def _iter_result_lines(
    store: job_store.JobStore, header: job_records.Header, first_index: int
) -> AsyncIterator[bytes]:
    """Yield a job's results as JSON lines in item order, holding one chunk in memory.

    :param first: the index of the first item to return.
    """
    for chunk in range(max(0, first_index) // header.chunk_items, header.chunks):
        items = await store.items(header, chunk)
        async for outcome in store.outcomes(header, chunk):
            index = chunk * header.chunk_items + outcome.index
            if index >= first_index:
                yield _encode_result(items[outcome.index], index, outcome) + b"\n"


def _encode_result(item: job_records.Item, index: int, outcome: job_records.Outcome) -> bytes:
    body = _parse_json_or_text(outcome.body)
    succeeded = outcome.kind is job_records.OutcomeKind.OK
    return msgspec.json.encode(
        ResultLine(
            custom_id=item.custom_id,
            index=index,
            outcome=outcome.kind.value,
            status=outcome.status,
            upstream=outcome.upstream,
            attempts=outcome.attempts,
            response=body if succeeded else None,
            error=None if succeeded else body,
        )
    )


def _parse_json_or_text(body: bytes) -> msgspec.Raw | str | None:
    if not body:
        return None
    try:
        return msgspec.Raw(msgspec.json.encode(msgspec.json.decode(body)))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return body.decode(errors="replace")


async def _join_lines(lines: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Join lines into parts of at least ``_MIN_PART_BYTES``, but for the last."""
    part = bytearray()
    async for line in lines:
        part += line
        if len(part) >= _MIN_PART_BYTES:
            yield bytes(part)
            part.clear()
    if part:
        yield bytes(part)
