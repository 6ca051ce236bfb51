"""What is degraded, worked out from snapshots, and since when."""

from collections.abc import Iterable, Mapping

from cornelgrade import reports
from cornelgrade.services import ports

_MEMBER_WORDS = {
    ports.MemberState.SUSPECT: "does not answer probes",
    ports.MemberState.DEAD: "is dead",
}


def members(view: ports.View | None, version: int) -> tuple[reports.MemberReport, ...]:
    """Report the members; one is behind if a later manifest is in force anywhere.

    :param version: the version in force at this VM.
    """
    if view is None:
        return ()
    newest = max((m.manifest_version for m in view.members), default=version)
    newest = max(newest, version)
    made = []
    for member in sorted(view.members, key=lambda m: (m.failure_domain, m.vm)):
        theirs = version if member.vm == view.self_vm else member.manifest_version
        made.append(
            reports.MemberReport(
                vm=member.vm,
                failure_domain=member.failure_domain,
                state=member.state.value,
                manifest_version=theirs,
                behind=theirs < newest and member.state is not ports.MemberState.DEAD,
            )
        )
    return tuple(made)


def degraded(
    view: ports.View | None,
    accepted: ports.AcceptedManifest | None,
    upstreams: Iterable[reports.UpstreamReport],
) -> tuple[str, ...]:
    """Say what works less well than it should, one short sentence each."""
    version = accepted.version if accepted else 0
    found: list[str] = []
    if accepted is None:
        found.append("no manifest is in force")
    elif not accepted.confirmed:
        found.append(f"manifest version {version} is not confirmed by the platform")
    for member in view.members if view else ():
        if member.state in _MEMBER_WORDS:
            found.append(f"VM {member.vm} {_MEMBER_WORDS[member.state]}")
    for report in members(view, version):
        if report.behind:
            found.append(f"VM {report.vm} is behind in its manifest")
    for upstream in upstreams:
        if upstream.state != reports.UP:
            found.append(f"upstream {upstream.name} is {upstream.state}")
    return tuple(found)


def since(known: Mapping[str, float], now: Iterable[str], at_s: float) -> dict[str, float]:
    """Keep the first time of what goes on, note the time of what is new, forget what is over."""
    return {what: known.get(what, at_s) for what in now}
