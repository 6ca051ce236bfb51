"""Compares two JSON documents; array entries are matched by their ``name``."""

import enum
import json
from collections.abc import Iterator
from typing import Any

import msgspec

from cornelgrade.policy import config_files


class ChangeKind(enum.StrEnum):
    """How a value differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


_SIGNS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


class Change(msgspec.Struct, frozen=True):
    """One difference; ``old`` and ``new`` are JSON texts, empty if the value is absent."""

    kind: ChangeKind
    path: str
    old: str = ""
    new: str = ""

    def format_line(self) -> str:
        """Return the change as one line of text."""
        value = " -> ".join(text for text in (self.old, self.new) if text)
        return f"{_SIGNS[self.kind]} {self.path}: {value}"


def find_changes(old: Any, new: Any) -> tuple[Change, ...]:
    """Return the changes from ``old`` to ``new`` in document order."""
    return tuple(_compare_values(old, new, "$"))


def compare_readings(old: config_files.Reading, new: config_files.Reading) -> tuple[Change, ...]:
    """Return the changes between two configurations; keys are counted, not shown."""
    keys = tuple(_compare_keys(old, new))
    paths = {change.path for change in keys}
    found = find_changes(old.document, new.document)
    return (*(change for change in found if change.path not in paths), *keys)


def _compare_keys(old: config_files.Reading, new: config_files.Reading) -> Iterator[Change]:
    for team, before in old.keys.items():
        after = new.keys.get(team, before)
        if after != before:
            counts = {"added": len(after - before), "removed": len(before - after)}
            yield Change(
                ChangeKind.CHANGED,
                new.keys_path.format(team=team),
                json.dumps({"count": len(before)}),
                json.dumps({"count": len(after), **counts}),
            )


def _compare_values(old: Any, new: Any, path: str) -> Iterator[Change]:
    if old == new:
        return
    old_values, new_values = _index_by_key(old), _index_by_key(new)
    if old_values is None or new_values is None or isinstance(old, dict) != isinstance(new, dict):
        yield Change(ChangeKind.CHANGED, path, json.dumps(old), json.dumps(new))
        return
    for key, value in old_values.items():
        value_path = path + _format_key(old, key)
        if key in new_values:
            yield from _compare_values(value, new_values[key], value_path)
        else:
            yield Change(ChangeKind.REMOVED, value_path, old=json.dumps(value))
    for key, value in new_values.items():
        if key not in old_values:
            yield Change(ChangeKind.ADDED, path + _format_key(new, key), new=json.dumps(value))


def _index_by_key(value: Any) -> dict[str, Any] | None:
    """Return an object's fields or an array's entries by name, ``None`` for anything else."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list | tuple) and all(isinstance(x, dict) and "name" in x for x in value):
        return {entry["name"]: entry for entry in value}
    return None


def _format_key(container: Any, key: str) -> str:
    return f".{key}" if isinstance(container, dict) else f"[{key}]"
