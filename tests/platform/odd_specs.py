"""Specs of engines' entries that no engine writes."""

import msgspec


def nested(depth, opening=b"[", closing=b"]"):
    """Return JSON that is nested this deeply."""
    return opening * depth + b"1" * (opening != b"[") + closing * depth


def by_name(**sound):
    """Return odd specs by the name of their entry; ``sound`` are fields that all of them have."""
    entry = {"address": "127.0.0.1:9", "state": "ready", "slots": 4, **sound}
    changes = {
        "slots": {"slots": msgspec.Raw(b"9" * 400)},
        "slots-negative": {"slots": -1},
        "born": {"born": msgspec.Raw(b"9" * 400)},
        "born-negative": {"born": -5},
        "address": {"address": "a b:80"},
        "port": {"address": "127.0.0.1:99999999"},
        "port-zero": {"address": "127.0.0.1:0"},
        "service": {"service": None},
        "unknown": {"unknown": msgspec.Raw(nested(5_000))},
        "a b\r\nc": {},
    }
    specs = {name: msgspec.json.encode({**entry, **change}) for name, change in changes.items()}
    return specs | {"deep": nested(5_000), "deeper": nested(200_000)}
