"""Which upstreams are registered, across platform outages in which registrations expire.

A missing registration means that the upstream is gone, unless it expired while the platform was
unavailable. A live upstream then registers again soon after the outage, so until that time it is
kept and marked as suspect.
"""

import dataclasses

import msgspec

from cornelgrade import routes

# Live upstreams are registered again about two seconds after an outage.
REREGISTRATION_GRACE_S = 2.0


class Registration(msgspec.Struct, frozen=True):
    """An upstream's registration.

    :param suspect_until_s: time until which it is kept after it expired in an outage; 0 while it is
        valid.
    :param replaced_ms: the start that it names although the upstream reports another one; 0 if it
        reports that one.
    """

    upstream: routes.Upstream
    suspect_until_s: float = 0.0
    replaced_ms: int = 0


Registrations = dict[str, Registration]


def register(known: Registrations, upstreams: tuple[routes.Upstream, ...]) -> Registrations:
    """Add registrations that were written."""
    return known | {up.name: _register(known.get(up.name), up) for up in upstreams}


def _register(known: Registration | None, up: routes.Upstream) -> Registration:
    """Return a registration; one of a start that was replaced says nothing of the present start."""
    if known is None or not known.replaced_ms or known.replaced_ms != up.started_ms:
        return Registration(up)
    return Registration(_restart(up, known.upstream.started_ms), replaced_ms=known.replaced_ms)


def record_start(known: Registrations, up: routes.Upstream, started_ms: int) -> Registrations:
    """Take into account which start an upstream reported.

    :param up: the upstream as registered when it was asked.
    """
    reg = known.get(up.name)
    if reg is None or reg.upstream != up or not up.started_ms or started_ms in (0, up.started_ms):
        return known
    replaced_ms = reg.replaced_ms or up.started_ms
    restarted = msgspec.structs.replace(
        reg, upstream=_restart(up, started_ms), replaced_ms=replaced_ms
    )
    return known | {up.name: restarted}


def _restart(up: routes.Upstream, started_ms: int) -> routes.Upstream:
    return dataclasses.replace(up, started_ms=started_ms, restarted=True)


def mark_missing(known: Registrations, names: frozenset[str], returned_s: float) -> Registrations:
    """Mark missing registrations as suspect for a while after the platform returned.

    :param returned_s: time at which the platform was last unavailable, on the process's clock.
    """
    until_s = returned_s + REREGISTRATION_GRACE_S
    return {
        name: _mark_suspect(reg, until_s) if name in names else reg for name, reg in known.items()
    }


def _mark_suspect(reg: Registration, until_s: float) -> Registration:
    return msgspec.structs.replace(reg, suspect_until_s=reg.suspect_until_s or until_s)


def list_usable(known: Registrations, now_s: float) -> tuple[Registration, ...]:
    """Return the registrations whose upstreams may receive new work."""
    return tuple(
        reg
        for reg in known.values()
        if not reg.upstream.leaving and (not reg.suspect_until_s or now_s < reg.suspect_until_s)
    )


def drop_expired(known: Registrations, now_s: float) -> Registrations:
    """Drop the suspect registrations that were not renewed in time."""
    return {
        name: reg
        for name, reg in known.items()
        if not reg.suspect_until_s or now_s < reg.suspect_until_s
    }
