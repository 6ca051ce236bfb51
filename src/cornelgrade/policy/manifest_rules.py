"""Validation of a whole manifest before it is accepted, and comparison of two manifests."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from cornelgrade import errors, manifest

_NAMED_SECTIONS = ("services", "priorities", "teams", "upstreams", "models")
_SECTIONS_USED_BY_JOBS = ("services", "models", "teams", "priorities")
_SINGLE_SECTIONS = ("batch", "online")
_MAX_DIFFERENCES = 12
_UNSET = "unset"


@dataclasses.dataclass(frozen=True, slots=True)
class NamesInUse:
    """Names that open jobs use and that therefore may not be removed."""

    services: frozenset[str] = frozenset()
    models: frozenset[str] = frozenset()
    teams: frozenset[str] = frozenset()
    priorities: frozenset[str] = frozenset()


def decode(raw: bytes) -> manifest.Manifest:
    """Decode a manifest from JSON.

    :raises BadInputError: if it is malformed, with the path of the error.
    """
    try:
        return msgspec.json.decode(raw, type=manifest.Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.BadInputError((str(exc),), step="decode manifest") from exc


def encode(submitted: manifest.Manifest) -> bytes:
    """Encode a manifest in the canonical form whose digests are compared."""
    return msgspec.json.encode(submitted)


def find_problems(
    submitted: manifest.Manifest, in_use: NamesInUse | None = None
) -> tuple[str, ...]:
    """Return all errors of a manifest with their paths, none if it can be accepted."""
    found = [
        *_find_duplicates(submitted),
        *_find_unknown_references(submitted),
        *_find_capacity_errors(submitted),
        *_find_removed(submitted, in_use or NamesInUse()),
    ]
    return tuple(f"$.{line}" for line in found)


def _collect_names(items: Iterable[Any]) -> frozenset[str]:
    return frozenset(item.name for item in items)


def _find_repeats(path: str, what: str, values: Iterable[str]) -> Iterable[str]:
    first: dict[str, int] = {}
    for i, value in enumerate(values):
        if value in first:
            yield f"{path.format(i=i)}: {what} {value} is already at {path.format(i=first[value])}"
        first.setdefault(value, i)


def _find_duplicates(submitted: manifest.Manifest) -> Iterable[str]:
    for kind in _NAMED_SECTIONS:
        names = (item.name for item in getattr(submitted, kind))
        yield from _find_repeats(f"{kind}[{{i}}].name", "name", names)
    for i, model in enumerate(submitted.models):
        names = (adapter.name for adapter in model.adapters)
        yield from _find_repeats(f"models[{i}].adapters[{{i}}].name", "adapter", names)
    addresses = (upstream.address for upstream in submitted.upstreams)
    yield from _find_repeats("upstreams[{i}].address", "address", addresses)
    owners: dict[str, str] = {}
    for i, team in enumerate(submitted.teams):
        for j, hashed in enumerate(team.key_hashes):
            owner = owners.setdefault(hashed, team.name)
            if owner != team.name:
                yield f"teams[{i}].key_hashes[{j}]: key is already team {owner}'s"


def _find_unknown_references(submitted: manifest.Manifest) -> Iterable[str]:
    services, models = _collect_names(submitted.services), _collect_names(submitted.models)
    priorities = _collect_names(submitted.priorities)
    for i, service in enumerate(submitted.services):
        for j, name in enumerate(service.models):
            if name not in models:
                yield f"services[{i}].models[{j}]: unknown model {name}"
        if service.kind == "plain" and service.models:
            yield f"services[{i}].models: a plain service has no models"
    for i, team in enumerate(submitted.teams):
        for j, name in enumerate(team.priorities):
            if name not in priorities:
                yield f"teams[{i}].priorities[{j}]: unknown priority {name}"
    for i, upstream in enumerate(submitted.upstreams):
        if upstream.service not in services:
            yield f"upstreams[{i}].service: unknown service {upstream.service}"


def _find_capacity_errors(submitted: manifest.Manifest) -> Iterable[str]:
    slots: collections.Counter[str] = collections.Counter()
    prefill: collections.Counter[str] = collections.Counter()
    for upstream in submitted.upstreams:
        slots[upstream.service] += upstream.slots
        if upstream.role == "prefill":
            prefill[upstream.service] += upstream.slots
    for i, service in enumerate(submitted.services):
        if not slots[service.name]:
            yield f"services[{i}]: no upstream serves {service.name}"
        elif slots[service.name] == prefill[service.name]:
            yield f"services[{i}]: every upstream of {service.name} has the role prefill"
    capacity = submitted.online.queue_limit + sum(slots.values())
    for i, team in enumerate(submitted.teams):
        if team.burst > capacity:
            yield f"teams[{i}].burst: {team.burst} is over queue_limit plus all slots ({capacity})"


def removes_names(submitted: manifest.Manifest, current: manifest.Manifest) -> bool:
    """Return whether a manifest removes a name that a job under the current one may use."""
    return any(
        _collect_names(getattr(current, kind)) - _collect_names(getattr(submitted, kind))
        for kind in _SECTIONS_USED_BY_JOBS
    )


def _find_removed(submitted: manifest.Manifest, in_use: NamesInUse) -> Iterable[str]:
    for kind in _SECTIONS_USED_BY_JOBS:
        for name in sorted(getattr(in_use, kind) - _collect_names(getattr(submitted, kind))):
            yield f"{kind}: {name} is missing, but an open job uses it"


def describe_differences(theirs: manifest.Manifest, yours: manifest.Manifest) -> str:
    """Describe in one line how two manifests differ."""
    found = [*_compare_named_sections(theirs, yours), *_compare_single_sections(theirs, yours)]
    shown = found[:_MAX_DIFFERENCES]
    if len(found) > len(shown):
        shown.append(f"and {len(found) - len(shown)} more")
    return "; ".join(shown) or "none"


def _compare_named_sections(theirs: manifest.Manifest, yours: manifest.Manifest) -> Iterable[str]:
    for kind in _NAMED_SECTIONS:
        old = {item.name: msgspec.to_builtins(item) for item in getattr(theirs, kind)}
        new = {item.name: msgspec.to_builtins(item) for item in getattr(yours, kind)}
        for name in [*old, *(name for name in new if name not in old)]:
            if name not in new:
                yield f"{kind}.{name} only in theirs"
            elif name not in old:
                yield f"{kind}.{name} only in yours"
            else:
                yield from _compare_fields(f"{kind}.{name}", old[name], new[name])


def _compare_single_sections(theirs: manifest.Manifest, yours: manifest.Manifest) -> Iterable[str]:
    for kind in _SINGLE_SECTIONS:
        old = msgspec.to_builtins(getattr(theirs, kind))
        new = msgspec.to_builtins(getattr(yours, kind))
        yield from _compare_fields(kind, old, new)


def _compare_fields(path: str, old: dict[str, Any], new: dict[str, Any]) -> Iterable[str]:
    for field in old | new:
        theirs, yours = old.get(field, _UNSET), new.get(field, _UNSET)
        if theirs == yours:
            continue
        if isinstance(theirs, list | tuple):
            yield f"{path}.{field} differs"
        else:
            yield f"{path}.{field} {theirs} in theirs, {yours} in yours"
