"""Compares two JSON documents; entries of an array are matched by their names."""

import enum
import json
from collections.abc import Iterator
from typing import Any

import msgspec


class Kind(enum.StrEnum):
    """What happened to a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


_SIGNS = {Kind.ADDED: "+", Kind.REMOVED: "-", Kind.CHANGED: "~"}


class Change(msgspec.Struct, frozen=True):
    """One difference; ``old`` and ``new`` are JSON texts, empty where there is no value."""

    kind: Kind
    path: str
    old: str = ""
    new: str = ""

    def show(self) -> str:
        """Give the line that a person reads."""
        value = " -> ".join(text for text in (self.old, self.new) if text)
        return f"{_SIGNS[self.kind]} {self.path}: {value}"


def changes(old: Any, new: Any) -> tuple[Change, ...]:
    """Give the differences from ``old`` to ``new`` in document order."""
    return tuple(_walk(old, new, "$"))


def _walk(old: Any, new: Any, path: str) -> Iterator[Change]:
    if old == new:
        return
    left, right = _keyed(old), _keyed(new)
    if left is None or right is None or isinstance(old, dict) != isinstance(new, dict):
        yield Change(Kind.CHANGED, path, json.dumps(old), json.dumps(new))
        return
    for key, value in left.items():
        inner = path + _step(old, key)
        if key in right:
            yield from _walk(value, right[key], inner)
        else:
            yield Change(Kind.REMOVED, inner, old=json.dumps(value))
    for key, value in right.items():
        if key not in left:
            yield Change(Kind.ADDED, path + _step(new, key), new=json.dumps(value))


def _keyed(value: Any) -> dict[str, Any] | None:
    """Give an object's fields or an array's named entries, ``None`` for anything else."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list | tuple) and all(isinstance(x, dict) and "name" in x for x in value):
        return {entry["name"]: entry for entry in value}
    return None


def _step(container: Any, key: str) -> str:
    return f".{key}" if isinstance(container, dict) else f"[{key}]"
