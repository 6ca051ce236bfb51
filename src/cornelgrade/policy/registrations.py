"""Which upstreams are registered, through outages in which registrations lapse.

A registration that is missing is gone, unless the platform was away when it lapsed: an upstream
that lives registers again soon after the platform is back, so it is kept, in doubt, until then.
"""

import dataclasses

from cornelgrade import routes

# Living upstreams are registered again about two seconds after an outage; one that is not by then
# is gone.
REREGISTRATION_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """An upstream's registration.

    :param doubted_until_s: it lapsed in an outage and is kept until then, 0 while it stands.
    """

    upstream: routes.Upstream
    doubted_until_s: float = 0.0


Registrations = dict[str, Registration]


def stand(known: Registrations, upstreams: tuple[routes.Upstream, ...]) -> Registrations:
    """Take over registrations that were written."""
    return known | {up.name: Registration(up) for up in upstreams}


def lapse(known: Registrations, names: frozenset[str], returned_s: float) -> Registrations:
    """Take back registrations that are missing.

    :param returned_s: when the platform was last away, on the process's clock.
    """
    until_s = returned_s + REREGISTRATION_GRACE_S
    return {
        name: _mark_suspect(reg, until_s) if name in names else reg for name, reg in known.items()
    }


def _mark_suspect(reg: Registration, until_s: float) -> Registration:
    return dataclasses.replace(reg, doubted_until_s=reg.doubted_until_s or until_s)


def usable(known: Registrations, now_s: float) -> tuple[Registration, ...]:
    """Give those that may get new work."""
    return tuple(
        reg
        for reg in known.values()
        if not reg.upstream.leaving and (not reg.doubted_until_s or now_s < reg.doubted_until_s)
    )


def forget(known: Registrations, now_s: float) -> Registrations:
    """Drop those whose time in doubt is over."""
    return {
        name: reg
        for name, reg in known.items()
        if not reg.doubted_until_s or now_s < reg.doubted_until_s
    }
