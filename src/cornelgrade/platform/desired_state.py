"""Review and comparison of the operator's configuration before it is sent."""

import dataclasses
import re
from collections.abc import Iterator
from typing import Any

from cornelgrade.platform import calls, plans
from cornelgrade.policy import config_files, findings, plan_review

_SECTIONS = frozenset(("version", "routes", "tenants"))
_FIELD = re.compile(r"\.([a-z_]+(?:\.[a-z_]+)*)")
_SPLIT_ENTRY = re.compile(r"\$\.routes\[(\d+)\]\.trafficSplit\[(\d+)\]")
# The platform's names of the fields of :class:`routes.Plan`; others have the same name.
_NAMES = {
    "path_prefix": "pathPrefix",
    "targets": "trafficSplit",
    "timeout_s": "timeoutMs",
    "job_policy.item_ttl_s": "itemTtlS",
    "job_policy.waiting_tokens": "cap",
    "slots": "engine.slots",
    "max_connections": "maxConnections",
    "limits.header_bytes": "limits.maxHeaderBytes",
    "limits.body_bytes": "limits.maxBodyBytes",
    "limits.header_timeout_s": "limits.headerTimeoutMs",
    "limits.idle_timeout_s": "limits.idleTimeoutMs",
    "teams": "tenants",
    "key_digests": "apiKeys",
    "rate_limit.rate_per_s": "ratePerS",
    "rate_limit.burst": "burst",
}


class DesiredState:
    """Implements :class:`config_files.Format` for the operator's configuration."""

    kind = "desired-state"

    def recognizes(self, document: Any) -> bool:
        """Return whether a JSON value is a configuration of the platform."""
        return isinstance(document, dict) and not _SECTIONS.isdisjoint(document)

    def read(self, raw: bytes) -> config_files.Reading:
        """Decode and review a configuration.

        :raises BadInputError: if it is invalid.
        """
        draft = plans.decode_draft(raw)
        found = [*plan_review.review(draft.plan), *_find_format_problems(draft)]
        keys = {team.name: frozenset(team.key_digests) for team in draft.plan.teams or ()}
        return config_files.Reading(
            findings=tuple(_translate(finding, draft) for finding in found),
            document=draft.document,
            keys=keys,
            keys_path="$.tenants[{team}].apiKeys",
            version=draft.plan.version,
        )


def _find_format_problems(draft: plans.Draft) -> Iterator[findings.Finding]:
    for i, route in enumerate(draft.document["routes"]):
        if not plans.is_known_kind(route["kind"]):
            message = "the kind is unknown and treated as unsafe"
            yield findings.make_warning(f"$.routes[{i}].kind", message)
        if route["service"] and any(part["weight"] > 0 for part in route["trafficSplit"]):
            message = f"service {route['service']} is not used, since the route has a trafficSplit"
            yield findings.make_warning(f"$.routes[{i}].service", message)
    for i, team in enumerate(draft.plan.teams or ()):
        if not team.name or not calls.is_field_value(team.name):
            message = "the name can't be sent as a header, so the team is left out"
            yield findings.make_error(f"$.tenants[{i}].name", message)


def _translate(finding: findings.Finding, draft: plans.Draft) -> findings.Finding:
    """Return a finding with the path in the file."""
    path = _FIELD.sub(lambda match: "." + _NAMES.get(match[1], match[1]), finding.path)
    split_entry = _SPLIT_ENTRY.match(path)
    if split_entry:
        route = draft.document["routes"][int(split_entry[1])]
        if int(split_entry[2]) >= len(route["trafficSplit"]):
            path = f"$.routes[{split_entry[1]}].service"
    return dataclasses.replace(finding, path=path)
