"""``job submit|status|results|cancel|list``: a team's batch jobs."""

import hashlib
import pathlib
import sys
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from cornelgrade import errors
from cornelgrade.commands import _client, _output

POLL_S = 0.5
UNAVAILABLE_TIMEOUT_S = 60.0
_READ_BYTES = 1 << 16
_DONE_STATE = "done"
_FINAL_STATES = (_DONE_STATE, "cancelled")


class Job(msgspec.Struct, frozen=True):
    """A job as the API returns it; ``finished`` counts results and final errors."""

    id: str
    state: str
    items: int = 0
    finished: int = 0
    failed: int = 0
    at_risk: bool = False


class JobList(msgspec.Struct, frozen=True):
    """One page of ``GET /v1/jobs``; pass ``next`` as ``after`` to get the following page."""

    jobs: tuple[Job, ...] = ()
    next: str | None = None


def submit(args: dict[str, Any]) -> errors.ExitCode:
    """Submit a file; with ``--wait``, the exit code is 1 unless every item succeeds."""
    path = args["FILE"]
    headers = {"Content-Type": "application/x-ndjson"}
    headers["Idempotency-Key"] = args["--job-key"] or f"file-{_hash_file(path)}"
    headers |= _build_option_headers(args)
    with _client.Client(args) as client, open(path, "rb") as body:
        response = client.call("POST", "/v1/jobs", content=body, headers=headers)
        job = _client.decode(response, Job)
        if not args["--wait"]:
            return _write_job(args, job)
        job = _wait_until_ended(client, job)
    _write_job(args, job)
    succeeded = job.state == _DONE_STATE and not job.failed
    return errors.ExitCode.OK if succeeded else errors.ExitCode.FAILED


def status(args: dict[str, Any]) -> errors.ExitCode:
    """Show one job."""
    with _client.Client(args) as client:
        job = _client.decode(client.call("GET", _job_path(args)), Job)
    return _write_job(args, job)


def results(args: dict[str, Any]) -> errors.ExitCode:
    """Write the results as they arrive, one JSON line per item in item order."""
    with _client.Client(args) as client:
        for line in client.stream_lines(f"{_job_path(args)}/results"):
            sys.stdout.write(line + "\n")
    return errors.ExitCode.OK


def cancel(args: dict[str, Any]) -> errors.ExitCode:
    """Cancel a job; the results of finished items stay readable."""
    with _client.Client(args) as client:
        job = _client.decode(client.call("DELETE", _job_path(args)), Job)
    return _write_job(args, job)


def list_jobs(args: dict[str, Any]) -> errors.ExitCode:
    """List the team's jobs."""
    with _client.Client(args) as client:
        jobs = list(_iter_jobs(client))
    if args["--json"]:
        _output.write_json({"jobs": jobs})
    else:
        _output.write_table(("JOB", "STATE", "FINISHED", "FAILED"), [_job_row(job) for job in jobs])
    return errors.ExitCode.OK


def _iter_jobs(client: _client.Client) -> Iterator[Job]:
    """Yield the team's jobs, requesting one page at a time."""
    after: str | None = ""
    while after is not None:
        response = client.call("GET", "/v1/jobs", params={"after": after} if after else {})
        page = _client.decode(response, JobList)
        yield from page.jobs
        after = page.next


def _wait_until_ended(client: _client.Client, job: Job) -> Job:
    """Poll a job until it has ended, retrying while the gateway is unavailable.

    :raises NotReachableError: if no poll succeeded for :data:`UNAVAILABLE_TIMEOUT_S`.
    :raises Refusal: if the system refused a poll for good, or for that long.
    """
    progress = _output.ProgressLine()
    last_response_s = time.monotonic()
    while job.state not in _FINAL_STATES:
        progress.update(_describe_job(job))
        time.sleep(POLL_S)
        try:
            response = client.call("GET", f"/v1/jobs/{_client.quote_identifier(job.id)}")
        except (errors.NotReachableError, errors.Refusal) as exc:
            if not _is_retryable(exc) or time.monotonic() - last_response_s > UNAVAILABLE_TIMEOUT_S:
                raise
            continue
        last_response_s = time.monotonic()
        job = _client.decode(response, Job)
    progress.update(_describe_job(job))
    progress.finish()
    return job


def _is_retryable(exc: errors.CornelgradeError) -> bool:
    """Return whether a retry may succeed."""
    return not isinstance(exc, errors.Refusal) or exc.retry_after_s is not None


def _hash_file(path: str) -> str:
    """Return a file's digest, read in blocks to bound memory.

    :raises BadInputError: if the file cannot be read.
    """
    hasher = hashlib.blake2b(digest_size=12)
    try:
        with pathlib.Path(path).open("rb") as body:
            while block := body.read(_READ_BYTES):
                hasher.update(block)
    except OSError as exc:
        raise errors.BadInputError((f"{path}: {exc.strerror}",), step="read") from exc
    return hasher.hexdigest()


def _build_option_headers(args: dict[str, Any]) -> dict[str, str]:
    headers = {}
    for option in ("Priority", "Service"):
        if value := args[f"--{option.lower()}"]:
            headers[f"Cornelgrade-{option}"] = value
    if args["--due"]:
        headers["Cornelgrade-Deadline-Ms"] = str(_parse_milliseconds(args["--due"]))
    return headers


def _parse_milliseconds(text: str) -> int:
    try:
        return int(float(text) * 1000)
    except (ValueError, OverflowError):
        raise errors.BadInputError((f"--due: {text} is not a number",), step="arguments") from None


def _job_path(args: dict[str, Any]) -> str:
    return f"/v1/jobs/{_client.quote_identifier(args['ID'])}"


def _write_job(args: dict[str, Any], job: Job) -> errors.ExitCode:
    if args["--json"]:
        _output.write_json(job)
    else:
        _output.write(_describe_job(job))
    return errors.ExitCode.OK


def _describe_job(job: Job) -> str:
    risk = ", may miss its due time" if job.at_risk else ""
    counts = f"{job.finished} of {job.items} items finished, {job.failed} failed"
    return f"job {job.id} {job.state}: {counts}{risk}"


def _job_row(job: Job) -> tuple[str, ...]:
    return (job.id, job.state, f"{job.finished}/{job.items}", str(job.failed))
