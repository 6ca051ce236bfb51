"""Decodes JSON to which other writers have contributed parts that can't be decoded.

``msgspec`` rejects a whole document because of one part that is nested too deeply, a lone
surrogate, or a number that JSON doesn't have. Here, only that part is lost.
"""

import re
from typing import TypeVar

import msgspec

from cornelgrade import logs

# Far below the depth at which msgspec raises RecursionError, which depends on the caller's stack.
MAX_DEPTH = 256
_log = logs.Logger("foreign_json")
T = TypeVar("T")
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Strings are matched to skip the brackets in them. Runs of brackets are one match for speed.
_STRUCTURE = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]++|[\]}]++', re.DOTALL)
# Tokens that some encoders write and JSON doesn't have, and strings, to skip those in them.
_TOKENS = re.compile(rb'("(?:[^"\\]++|\\.)*+")|-?(?:NaN|Infinity)', re.DOTALL)
# Escaped surrogates with or without their pair, and other escapes, to skip escaped backslashes.
_ESCAPES = re.compile(
    rb"(\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2})"
    rb"|\\u[dD][89a-fA-F][0-9a-fA-F]{2}|(\\.)",
    re.DOTALL,
)
_CONTROL_TO_SPACE = bytes(b if b >= 0x20 else 0x20 for b in range(256))


def decode(raw: bytes | msgspec.Raw, kind: type[T], *, part_depth: int) -> T:
    """Decode a document; parts that are nested too deeply become ``null``.

    :param part_depth: the depth of the containers that are replaced if they are nested too deeply,
        1 for the document itself. The containers around them are kept.
    :raises msgspec.DecodeError: if the document is invalid otherwise.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.ValidationError:
        raise
    except _DECODE_ERRORS as exc:
        _log.warning("document_repaired", error=repr(exc))
    try:
        return msgspec.json.decode(_replace_deep_parts(_repair(bytes(raw)), part_depth), type=kind)
    except RecursionError as exc:
        raise msgspec.DecodeError(repr(exc)) from exc


def _repair(raw: bytes) -> bytes:
    """Replace what JSON doesn't allow: invalid UTF-8, control characters, lone surrogates, NaN."""
    text = raw.decode(errors="replace").encode().translate(_CONTROL_TO_SPACE)
    text = _ESCAPES.sub(lambda m: m[1] or m[2] or b"\\ufffd", text)
    if b"NaN" not in text and b"Infinity" not in text:
        return text
    return _TOKENS.sub(lambda m: m[1] or b"null", text)


def _replace_deep_parts(raw: bytes, part_depth: int) -> bytes:
    """Replace each container at ``part_depth`` by ``null`` if it is nested too deeply."""
    kept: list[bytes] = []
    copied = start = depth = 0
    is_deep = False
    outer = part_depth - 1
    for match in _STRUCTURE.finditer(raw):
        token = match[0]
        if token[0] in b"[{":
            if depth <= outer < depth + len(token):
                start, is_deep = match.start() + outer - depth, False
            depth += len(token)
            is_deep = is_deep or depth > MAX_DEPTH
        elif token[0] in b"]}":
            if depth - len(token) <= outer < depth and is_deep:
                kept += (raw[copied:start], b"null")
                copied, is_deep = match.start() + depth - outer, False
            depth -= len(token)
    return b"".join((*kept, raw[copied:]))
