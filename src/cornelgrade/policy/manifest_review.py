"""Review of a manifest before it is sent: the errors that the system rejects, and warnings."""

from collections.abc import Callable, Iterator

from cornelgrade import manifest
from cornelgrade.policy import findings, manifest_rules, plan_review, token_bucket

# About how long an online request holds a slot, in seconds.
SLOT_TIME_S = 1.0
# Limits of a section that should not be over another one: section, smaller limit, larger limit.
_ORDERED_LIMITS = (
    ("online", "first_token_timeout_s", "default_deadline_s"),
    ("online", "token_gap_timeout_s", "default_deadline_s"),
    ("online", "default_deadline_s", "retention_s"),
    ("batch", "lease_s", "retention_s"),
)


def review(submitted: manifest.Manifest) -> tuple[findings.Finding, ...]:
    """Return everything that is found in a manifest."""
    errors = [
        findings.parse_problem(problem) for problem in manifest_rules.find_problems(submitted)
    ]
    return (*errors, *(finding for rule in _RULES for finding in rule(submitted)))


def _find_team_problems(submitted: manifest.Manifest) -> Iterator[findings.Finding]:
    for i, team in enumerate(submitted.teams):
        path = f"$.teams[{i}]"
        if not team.key_hashes:
            message = f"team {team.name} has no keys, so no request can belong to it"
            yield findings.make_warning(f"{path}.key_hashes", message)
        limit = token_bucket.RateLimit(team.rate_per_s, team.burst)
        yield from plan_review.review_rate_limit(limit, path)


def _find_prefix_problems(submitted: manifest.Manifest) -> Iterator[findings.Finding]:
    for i, service in enumerate(submitted.services):
        prefixes = service.non_idempotent_routes
        for j, prefix in enumerate(prefixes):
            path = f"$.services[{i}].non_idempotent_routes[{j}]"
            if prefix and not prefix.startswith("/"):
                message = "never matches, so calls may be retried: it has to begin with a slash"
                yield findings.make_error(path, message)
            # Of equal prefixes, only the later ones are reported.
            others = (*prefixes[:j], *(other for other in prefixes[j + 1 :] if other != prefix))
            covering = next((other for other in others if prefix.startswith(other)), None)
            if covering is not None:
                yield findings.make_warning(path, f"has no effect beside {covering!r}")


def _find_unused_entries(submitted: manifest.Manifest) -> Iterator[findings.Finding]:
    models = {name for service in submitted.services for name in service.models}
    priorities = {name for team in submitted.teams for name in team.priorities}
    for i, model in enumerate(submitted.models):
        if model.name not in models:
            yield findings.make_warning(f"$.models[{i}]", f"no service has model {model.name}")
    for i, priority in enumerate(submitted.priorities):
        if priority.name not in priorities:
            message = f"no team may use priority {priority.name}"
            yield findings.make_warning(f"$.priorities[{i}]", message)


def _find_contradictory_limits(submitted: manifest.Manifest) -> Iterator[findings.Finding]:
    for section, smaller, larger in _ORDERED_LIMITS:
        limits = getattr(submitted, section)
        low_s, high_s = getattr(limits, smaller), getattr(limits, larger)
        if low_s > high_s:
            message = f"{low_s:g} s is over {larger} ({high_s:g} s)"
            yield findings.make_warning(f"$.{section}.{smaller}", message)


def _find_excess_rates(submitted: manifest.Manifest) -> Iterator[findings.Finding]:
    rate_per_s = sum(team.rate_per_s for team in submitted.teams)
    slots = sum(upstream.slots for upstream in submitted.upstreams)
    if rate_per_s * SLOT_TIME_S > slots:
        message = (
            f"the teams' rates add up to {rate_per_s:g} requests/s; {slots} slots serve that only "
            f"if a request takes under {slots / rate_per_s:.2g} s"
        )
        yield findings.make_warning("$.teams", message)


_RULES: tuple[Callable[[manifest.Manifest], Iterator[findings.Finding]], ...] = (
    _find_team_problems,
    _find_prefix_problems,
    _find_unused_entries,
    _find_contradictory_limits,
    _find_excess_rates,
)
