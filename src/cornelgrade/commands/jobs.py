"""``job submit|status|results|cancel|list``: batch work of a team."""

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
GIVE_UP_S = 60.0
_READ_BYTES = 1 << 16
_DONE = "done"
_ENDED = (_DONE, "cancelled")


class Job(msgspec.Struct, frozen=True):
    """A job as the system reports it; ``finished`` counts results and final errors."""

    id: str
    state: str
    items: int = 0
    finished: int = 0
    failed: int = 0
    at_risk: bool = False


class JobList(msgspec.Struct, frozen=True):
    """One page of ``GET /v1/jobs``; ``next`` is passed as ``after`` for the following one."""

    jobs: tuple[Job, ...] = ()
    next: str | None = None


def submit(args: dict[str, Any]) -> errors.ExitCode:
    """Submit a file; with ``--wait`` the exit code is 1 unless every item has a result."""
    path = args["FILE"]
    headers = {"Content-Type": "application/x-ndjson"}
    headers["Idempotency-Key"] = args["--job-key"] or f"file-{_digest(path)}"
    headers |= _optional_headers(args)
    with _client.Client(args) as client, open(path, "rb") as body:
        answer = client.call("POST", "/v1/jobs", content=body, headers=headers)
        job = _client.decode(answer, Job)
        if not args["--wait"]:
            return _show(args, job)
        job = _follow(client, job)
    _show(args, job)
    whole = job.state == _DONE and not job.failed
    return errors.ExitCode.OK if whole else errors.ExitCode.FAILED


def status(args: dict[str, Any]) -> errors.ExitCode:
    """Show one job."""
    with _client.Client(args) as client:
        job = _client.decode(client.call("GET", _path(args)), Job)
    return _show(args, job)


def results(args: dict[str, Any]) -> errors.ExitCode:
    """Write one JSON line an item, in item order, as they arrive."""
    with _client.Client(args) as client:
        for line in client.lines(f"{_path(args)}/results"):
            sys.stdout.write(line + "\n")
    return errors.ExitCode.OK


def cancel(args: dict[str, Any]) -> errors.ExitCode:
    """Stop a job; finished items stay readable."""
    with _client.Client(args) as client:
        job = _client.decode(client.call("DELETE", _path(args)), Job)
    return _show(args, job)


def list_jobs(args: dict[str, Any]) -> errors.ExitCode:
    """Show the team's jobs."""
    with _client.Client(args) as client:
        jobs = list(_all_jobs(client))
    if args["--json"]:
        _output.write_json({"jobs": jobs})
    else:
        _output.table(("JOB", "STATE", "FINISHED", "FAILED"), [_row(job) for job in jobs])
    return errors.ExitCode.OK


def _all_jobs(client: _client.Client) -> Iterator[Job]:
    """Read page after page."""
    after: str | None = ""
    while after is not None:
        answer = client.call("GET", "/v1/jobs", params={"after": after} if after else {})
        page = _client.decode(answer, JobList)
        yield from page.jobs
        after = page.next


def _follow(client: _client.Client, job: Job) -> Job:
    """Ask for a job until it has ended; a gateway that is away for a while is asked again.

    :raises NotReachableError: if nothing answered for :data:`GIVE_UP_S`.
    """
    progress = _output.Progress()
    heard_s = time.monotonic()
    while job.state not in _ENDED:
        progress.update(_sentence(job))
        time.sleep(POLL_S)
        try:
            answer = client.call("GET", f"/v1/jobs/{_client.segment(job.id)}")
        except (errors.NotReachableError, errors.Refusal) as exc:
            if not _passing(exc) or time.monotonic() - heard_s > GIVE_UP_S:
                raise
            continue
        heard_s = time.monotonic()
        job = _client.decode(answer, Job)
    progress.update(_sentence(job))
    progress.end()
    return job


def _passing(exc: errors.CornelgradeError) -> bool:
    """Tell whether asking again may help."""
    return not isinstance(exc, errors.Refusal) or exc.retry_after_s is not None


def _digest(path: str) -> str:
    """Hash a file in bounded memory.

    :raises BadInputError: if it cannot be read.
    """
    hasher = hashlib.blake2b(digest_size=12)
    try:
        with pathlib.Path(path).open("rb") as body:
            while block := body.read(_READ_BYTES):
                hasher.update(block)
    except OSError as exc:
        raise errors.BadInputError((f"{path}: {exc.strerror}",), step="read") from exc
    return hasher.hexdigest()


def _optional_headers(args: dict[str, Any]) -> dict[str, str]:
    headers = {}
    for option in ("Priority", "Service"):
        if value := args[f"--{option.lower()}"]:
            headers[f"Cornelgrade-{option}"] = value
    if args["--due"]:
        headers["Cornelgrade-Deadline-Ms"] = str(_milliseconds(args["--due"]))
    return headers


def _milliseconds(text: str) -> int:
    try:
        return int(float(text) * 1000)
    except (ValueError, OverflowError):
        raise errors.BadInputError((f"--due: {text} is no number",), step="arguments") from None


def _path(args: dict[str, Any]) -> str:
    return f"/v1/jobs/{_client.segment(args['ID'])}"


def _show(args: dict[str, Any], job: Job) -> errors.ExitCode:
    if args["--json"]:
        _output.write_json(job)
    else:
        _output.write(_sentence(job))
    return errors.ExitCode.OK


def _sentence(job: Job) -> str:
    risk = ", may miss its due time" if job.at_risk else ""
    counts = f"{job.finished} of {job.items} items finished, {job.failed} failed"
    return f"job {job.id} {job.state}: {counts}{risk}"


def _row(job: Job) -> tuple[str, ...]:
    return (job.id, job.state, f"{job.finished}/{job.items}", str(job.failed))
