"""Calls about batch jobs, as the platform's clients make them."""

import base64
import binascii
import re
import urllib.parse

import msgspec

from cornelgrade import errors
from cornelgrade.adapters import http1_server
from cornelgrade.platform import calls
from cornelgrade.services.edge import ports

_WAIT = "x-wait-ms"
_MS_PER_S = 1000.0
_MAX_ITEMS = 200
_MAX_WAIT_S = 1.0
_STATES = {
    ports.ItemEnd.COMPLETED: "completed",
    ports.ItemEnd.GIVEN_UP: "dead_letter",
}
# What can stand in the head of a request (RFC 9110, sections 5.1 and 5.5; RFC 3986): an item that
# is accepted must be one that can be sent.
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE = re.compile(r"(?:[\x21-\x7e\x80-\xff](?:[ \t\x21-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?")
_PATH = re.compile(r"/[\x21-\x7e]*")
# Method and first part of the path of calls about an accepted job.
_ACTS = {
    ("GET", "lots"): ports.JobOperation.READ,
    ("GET", "items"): ports.JobOperation.BODY,
    ("DELETE", "lots"): ports.JobOperation.END,
}


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str
    tokens: int
    headers: dict[str, str] = {}


class _Lot(msgspec.Struct):
    items: list[_Item]


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str


class _Results(msgspec.Struct):
    # Items of the whole job, not of this answer.
    total: int
    # The position from which to read on.
    next: int
    results: list[_Result]


class JobCalls:
    """Implements :class:`ports.JobCallFormat`."""

    def parse_job_call(self, exchange: http1_server.Exchange) -> ports.JobCall | None:
        """Read a call about an accepted job, ``None`` if it is none."""
        parts = exchange.path.split("/")
        operation = _ACTS.get((exchange.method, parts[1] if len(parts) == 3 else ""))
        if operation is None:
            return None
        return ports.JobCall(
            operation=operation,
            job=urllib.parse.unquote(parts[2]),
            after=_count(exchange.query.get("after", "0"), "after"),
            item=exchange.query.get("id", ""),
            wait_s=min(_MAX_WAIT_S, _count(exchange.headers.get(_WAIT, "0"), _WAIT) / _MS_PER_S),
        )

    def parse_submission(self, body: bytes) -> tuple[ports.Item, ...]:
        """Read the items of a new job."""
        try:
            lot = msgspec.json.decode(body, type=_Lot)
            items = tuple(_item(item) for item in lot.items)
        except (msgspec.DecodeError, UnicodeDecodeError, binascii.Error, ValueError) as exc:
            raise _bad(str(exc)) from exc
        names = {item.name for item in items}
        if not 0 < len(items) <= _MAX_ITEMS or len(names) < len(items):
            raise _bad(f"{len(items)} items with {len(names)} ids")
        return items

    def encode_page(self, total: int, after: int, results: tuple[ports.ItemResult, ...]) -> bytes:
        """Write results from position ``after`` on."""
        listed = [_Result(r.item, _STATES[r.end], r.text) for r in results]
        return msgspec.json.encode(_Results(total, after + len(listed), listed))


def _item(got: _Item) -> ports.Item:
    headers = tuple((k.lower(), v) for k, v in got.headers.items())
    body = base64.b64decode(got.body, validate=True)
    if not _PATH.fullmatch(got.path) or got.tokens < 0:
        raise ValueError(f"item {got.id}: path {got.path!r}, {got.tokens} tokens")
    if not _NAME.fullmatch(got.id):
        raise ValueError(f"item {got.id!r}: no proper id")
    for name, value in headers:
        if not _NAME.fullmatch(name) or not _VALUE.fullmatch(value):
            raise ValueError(f"item {got.id}: header {name!r}")
    return ports.Item(got.id, got.path, headers, body, got.tokens)


def _count(text: str, name: str) -> int:
    if not calls.is_count(text):
        raise _bad(f"{name}={text!r} is no count")
    return int(text)


def _bad(problem: str) -> errors.BadInputError:
    return errors.BadInputError((problem,), step="read job call")
