"""Derives from snapshots what is degraded, and tracks since when."""

from collections.abc import Iterable, Mapping

from cornelgrade import reports
from cornelgrade.services import ports

_MEMBER_CONDITIONS = {
    ports.MemberState.SUSPECT: "does not answer probes",
    ports.MemberState.DEAD: "is dead",
}


def members(view: ports.View | None, version: int) -> tuple[reports.MemberReport, ...]:
    """Return a report for each member, which is behind if any member has a later manifest in force.

    :param version: manifest version in force at this VM.
    """
    if view is None:
        return ()
    newest = max((m.manifest_version for m in view.members), default=version)
    newest = max(newest, version)
    rows = []
    for member in sorted(view.members, key=lambda m: (m.failure_domain, m.vm)):
        theirs = version if member.vm == view.self_vm else member.manifest_version
        rows.append(
            reports.MemberReport(
                vm=member.vm,
                failure_domain=member.failure_domain,
                state=member.state.value,
                manifest_version=theirs,
                behind=theirs < newest and member.state is not ports.MemberState.DEAD,
            )
        )
    return tuple(rows)


def list_conditions(
    view: ports.View | None,
    accepted: ports.AcceptedManifest | None,
    upstreams: Iterable[reports.UpstreamReport],
) -> tuple[str, ...]:
    """Describe each degraded condition in one short sentence."""
    version = accepted.version if accepted else 0
    conditions: list[str] = []
    if accepted is None:
        conditions.append("no manifest is in force")
    elif not accepted.confirmed:
        conditions.append(f"manifest version {version} is not confirmed by the platform")
    for member in view.members if view else ():
        if member.state in _MEMBER_CONDITIONS:
            conditions.append(f"VM {member.vm} {_MEMBER_CONDITIONS[member.state]}")
    for report in members(view, version):
        if report.behind:
            conditions.append(f"VM {report.vm} is behind in its manifest")
    for upstream in upstreams:
        if upstream.state != reports.UP:
            conditions.append(f"upstream {upstream.name} is {upstream.state}")
    return tuple(conditions)


def track_start_times(
    known: Mapping[str, float], now: Iterable[str], at_s: float
) -> dict[str, float]:
    """Return the start time of each current condition: the known one, or ``at_s`` if it is new."""
    return {what: known.get(what, at_s) for what in now}
