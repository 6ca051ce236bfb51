"""``status`` and ``explain``: what operators look at."""

from typing import Any

from cornelgrade import errors, log_explain, reports, validation
from cornelgrade.commands import _client, _output


def status(args: dict[str, Any]) -> errors.ExitCode:
    """Show the fleet as one gateway sees it."""
    with _client.Client(args) as client:
        got = _client.decode(client.call("GET", "/v1/status"), reports.Status)
    if args["--json"]:
        _output.write_json(got)
    else:
        _write_status(got)
    return errors.ExitCode.OK


def explain(args: dict[str, Any]) -> errors.ExitCode:
    """Tell the history of one subject."""
    if args["--logs"]:
        return _explain_from_logs(args)
    with _client.Client(args) as client:
        answer = client.call("GET", f"/v1/explain/{_client.segment(args['ID'])}")
    history = _client.decode(answer, reports.History)
    if args["--json"]:
        _output.write_json(history)
        return errors.ExitCode.OK
    for step in history.steps:
        where = f"{step.vm} {step.step}"
        _output.write(f"{_output.clock(step.at_s)}  {where}: {step.sentence}{_at(step.peer)}")
    if history.silent:
        _output.write(f"No answer from {', '.join(history.silent)}; the history may have gaps.")
    return errors.ExitCode.OK


def _explain_from_logs(args: dict[str, Any]) -> errors.ExitCode:
    """Walk from an id to its cause by collected logs."""
    text = validation.read_file(args["--logs"]).decode(errors="replace")
    found = log_explain.explain_subject(text.splitlines(), args["ID"])
    if args["--json"]:
        _output.write_json(found)
        return errors.ExitCode.OK
    for entry in sorted((*found.own, *found.around), key=lambda e: e.at_s):
        _output.write(f"{'*' if entry in found.own else ' '} {entry.text}")
    if not found.own:
        _output.write(f"No line names {args['ID']}.")
        return errors.ExitCode.FAILED
    if found.elsewhere:
        _output.write(f"{found.elsewhere} other attempts failed at its upstreams meanwhile.")
    if found.cause:
        _output.write(f"Outcome: {found.cause}.")
    return errors.ExitCode.OK


def _at(peer: str) -> str:
    return f" ({peer})" if peer else ""


def _write_status(got: reports.Status) -> None:
    confirmed = "" if got.manifest_confirmed else ", unconfirmed"
    ready = "ready" if got.ready else "not ready"
    _output.write(f"{got.vm} in {got.failure_domain} ({got.region}), {got.software}, {ready}")
    _output.write(f"manifest version {got.manifest_version}{confirmed}")
    _write_degraded(got)
    if got.members:
        _output.write()
        _output.table(("VM", "FAILURE DOMAIN", "STATE", "MANIFEST"), [*map(_member, got.members)])
    if got.upstreams:
        _output.write()
        head = ("UPSTREAM", "FAILURE DOMAIN", "STATE", "OUTSTANDING", "NOTE")
        _output.table(head, [*map(_upstream, got.upstreams)])


def _write_degraded(got: reports.Status) -> None:
    if not got.degraded and not got.jobs_at_risk:
        _output.write("nothing is degraded")
    for item in got.degraded:
        _output.write(f"degraded since {_output.clock(item.since_s)}: {item.what}")
    for job in got.jobs_at_risk:
        _output.write(f"job {job.id} may miss {_output.clock(job.due_s)}: {job.reason}")


def _member(member: reports.MemberReport) -> tuple[str, ...]:
    behind = " (behind)" if member.behind else ""
    version = f"{member.manifest_version}{behind}"
    return (member.vm, member.failure_domain, member.state, version)


def _upstream(upstream: reports.UpstreamReport) -> tuple[str, ...]:
    outstanding = str(upstream.outstanding)
    return (upstream.name, upstream.failure_domain, upstream.state, outstanding, upstream.note)
