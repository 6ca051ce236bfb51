"""Which upstreams are registered, across platform outages in which registrations expire.

A missing registration means that the upstream is gone, unless it expired while the platform was
unavailable. A live upstream then registers again soon after the outage, so until that time it is
kept and marked as suspect.
"""

import msgspec

from cornelgrade import routes

# Live upstreams are registered again about two seconds after an outage.
REREGISTRATION_GRACE_S = 2.0


class Registration(msgspec.Struct, frozen=True):
    """An upstream's registration.

    :param suspect_until_s: time until which it is kept after it expired in an outage; 0 while it is
        valid.
    """

    upstream: routes.Upstream
    suspect_until_s: float = 0.0


Registrations = dict[str, Registration]


def register(known: Registrations, upstreams: tuple[routes.Upstream, ...]) -> Registrations:
    """Add registrations that were written."""
    return known | {up.name: Registration(up) for up in upstreams}


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
