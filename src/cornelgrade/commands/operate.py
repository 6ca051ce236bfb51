"""``status`` and ``explain``: the state of the fleet and the history of one subject."""

from typing import Any

from cornelgrade import errors, log_explain, reports, validation
from cornelgrade.commands import _client, _output


def status(args: dict[str, Any]) -> errors.ExitCode:
    """Show the state of the fleet as one gateway reports it."""
    with _client.Client(args) as client:
        report = _client.decode(client.call("GET", "/v1/status"), reports.Status)
    if args["--json"]:
        _output.write_json(report)
    else:
        _write_status(report)
    return errors.ExitCode.OK


def explain(args: dict[str, Any]) -> errors.ExitCode:
    """Show the history of one subject."""
    if args["--logs"]:
        return _explain_from_logs(args)
    with _client.Client(args) as client:
        response = client.call("GET", f"/v1/explain/{_client.quote_identifier(args['ID'])}")
    history = _client.decode(response, reports.History)
    if args["--json"]:
        _output.write_json(history)
        return errors.ExitCode.OK
    for step in history.steps:
        source = f"{step.vm} {step.step}"
        _output.write(
            f"{_output.format_time(step.at_s)}  {source}: {step.sentence}{_format_peer(step.peer)}"
        )
    if history.silent:
        _output.write(f"No answer from {', '.join(history.silent)}; the history may have gaps.")
    return errors.ExitCode.OK


def _explain_from_logs(args: dict[str, Any]) -> errors.ExitCode:
    """Show the log lines about an identifier and the cause of its outcome, from collected logs."""
    text = validation.read_file(args["--logs"]).decode(errors="replace")
    explanation = log_explain.explain_subject(text.splitlines(), args["ID"])
    if args["--json"]:
        _output.write_json(explanation)
        return errors.ExitCode.OK
    for entry in sorted((*explanation.own, *explanation.around), key=lambda e: e.at_s):
        _output.write(f"{'*' if entry in explanation.own else ' '} {entry.text}")
    if not explanation.own:
        _output.write(f"No log line mentions {args['ID']}.")
        return errors.ExitCode.FAILED
    if explanation.elsewhere:
        _output.write(f"{explanation.elsewhere} other attempts failed at its upstreams meanwhile.")
    if explanation.cause:
        _output.write(f"Outcome: {explanation.cause}.")
    return errors.ExitCode.OK


def _format_peer(peer: str) -> str:
    return f" ({peer})" if peer else ""


def _write_status(report: reports.Status) -> None:
    confirmed = "" if report.manifest_confirmed else ", unconfirmed"
    ready = "ready" if report.ready else "not ready"
    _output.write(
        f"{report.vm} in {report.failure_domain} ({report.region}), {report.software}, {ready}"
    )
    _output.write(f"manifest version {report.manifest_version}{confirmed}")
    _write_degraded(report)
    if report.members:
        _output.write()
        _output.write_table(
            ("VM", "FAILURE DOMAIN", "STATE", "MANIFEST"), [*map(_member_row, report.members)]
        )
    if report.teams:
        _output.write()
        _output.write_table(
            ("TEAM", "ADMITTED", "SHARE", "REFUSED"), [*map(_team_row, report.teams)]
        )
    if report.upstreams:
        _output.write()
        header = ("UPSTREAM", "FAILURE DOMAIN", "STATE", "OUTSTANDING", "NOTE")
        _output.write_table(header, [*map(_upstream_row, report.upstreams)])


def _write_degraded(report: reports.Status) -> None:
    if not report.degraded and not report.jobs_at_risk:
        _output.write("nothing is degraded")
    for item in report.degraded:
        _output.write(f"degraded since {_output.format_time(item.since_s)}: {item.what}")
    for job in report.jobs_at_risk:
        _output.write(f"job {job.id} may miss {_output.format_time(job.due_s)}: {job.reason}")


def _member_row(member: reports.MemberReport) -> tuple[str, ...]:
    behind = " (behind)" if member.behind else ""
    version = f"{member.manifest_version}{behind}"
    return (member.vm, member.failure_domain, member.state, version)


def _team_row(team: reports.TeamReport) -> tuple[str, ...]:
    refused = ", ".join(f"{reason} {count}" for reason, count in sorted(team.refused.items()))
    return (team.name, str(team.admitted), f"{team.share:.1%}", refused)


def _upstream_row(upstream: reports.UpstreamReport) -> tuple[str, ...]:
    outstanding = str(upstream.outstanding)
    return (upstream.name, upstream.failure_domain, upstream.state, outstanding, upstream.note)
