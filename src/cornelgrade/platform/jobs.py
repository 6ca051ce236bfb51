"""The platform's HTTP calls for batch jobs."""

import base64
import binascii
import re
import urllib.parse

import msgspec

from cornelgrade import errors
from cornelgrade.adapters import http1_server
from cornelgrade.platform import calls
from cornelgrade.services.edge import ports

_WAIT_HEADER = "x-wait-ms"
_MS_PER_S = 1000.0
_MAX_ITEMS = 200
_MAX_WAIT_S = 1.0
_ITEM_STATES = {
    ports.ItemEnd.COMPLETED: "completed",
    ports.ItemEnd.GIVEN_UP: "dead_letter",
}
# Characters that are valid in a request head (RFC 9110, section 5.1; RFC 3986). Items are
# checked when the job is accepted, because an item with other characters could not be sent.
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[\x21-\x7e]*")
# Calls for an accepted job, by method and first path segment.
_ACTIONS = {
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
    # Number of items of the job, not of this page.
    total: int
    # The ``after`` of the next page.
    next: int
    results: list[_Result]


class JobCallFormat:
    """Implements :class:`ports.JobCallFormat`."""

    def parse_called_job(self, exchange: http1_server.Exchange) -> str | None:
        """Return the job that a call names, ``None`` if the request is not such a call."""
        _, job = _split_call(exchange)
        return job

    def parse_job_call(self, exchange: http1_server.Exchange) -> ports.JobCall | None:
        """Parse a call for an accepted job, ``None`` if the request is not such a call."""
        operation, job = _split_call(exchange)
        if operation is None or job is None:
            return None
        return ports.JobCall(
            operation=operation,
            job=job,
            after=_parse_unsigned(exchange.query.get("after", "0"), "after"),
            item=exchange.query.get("id", ""),
            wait_s=min(
                _MAX_WAIT_S,
                _parse_unsigned(exchange.headers.get(_WAIT_HEADER, "0"), _WAIT_HEADER) / _MS_PER_S,
            ),
        )

    def parse_submission(self, body: bytes) -> tuple[ports.Item, ...]:
        """Decode the items of a new job."""
        try:
            lot = msgspec.json.decode(body, type=_Lot)
            items = tuple(_decode_item(item) for item in lot.items)
        except (msgspec.DecodeError, UnicodeDecodeError, binascii.Error, ValueError) as exc:
            raise _bad_input(str(exc)) from exc
        names = {item.name for item in items}
        if not 0 < len(items) <= _MAX_ITEMS or len(names) < len(items):
            raise _bad_input(f"{len(items)} items with {len(names)} distinct ids")
        return items

    def encode_page(self, total: int, after: int, results: tuple[ports.ItemResult, ...]) -> bytes:
        """Encode a page of results that starts at position ``after``."""
        listed = [_Result(r.item, _ITEM_STATES[r.end], r.text) for r in results]
        return msgspec.json.encode(_Results(total, after + len(listed), listed))


def _split_call(exchange: http1_server.Exchange) -> tuple[ports.JobOperation | None, str | None]:
    parts = exchange.path.split("/")
    operation = _ACTIONS.get((exchange.method, parts[1] if len(parts) == 3 else ""))
    return operation, None if operation is None else urllib.parse.unquote(parts[2])


def _decode_item(item: _Item) -> ports.Item:
    headers = tuple((k.lower(), v) for k, v in item.headers.items())
    body = base64.b64decode(item.body, validate=True)
    if not _PATH.fullmatch(item.path) or item.tokens < 0:
        raise ValueError(f"item {item.id}: invalid path {item.path!r} or token count {item.tokens}")
    if not _TOKEN.fullmatch(item.id):
        raise ValueError(f"item {item.id!r}: invalid id")
    for name, value in headers:
        if not _TOKEN.fullmatch(name) or not calls.is_field_value(value):
            raise ValueError(f"item {item.id}: invalid header {name!r}")
    return ports.Item(item.id, item.path, headers, body, item.tokens)


def _parse_unsigned(text: str, name: str) -> int:
    if not calls.is_unsigned_integer(text):
        raise _bad_input(f"{name}={text!r} is not an unsigned integer")
    return int(text)


def _bad_input(problem: str) -> errors.BadInputError:
    return errors.BadInputError((problem,), step="read job call")
