"""Single connections of living engines, and which streams are on them."""

import re

import msgspec

from cornelgrade.standins import fault_proxy

_REQUEST = re.compile(rb"\r\nx-request-id: ([^\r]+)\r\n", re.IGNORECASE)
_EVENT = re.compile(rb"id: (\d+)\n")
_EVENT_STREAM = b"text/event-stream"
_CHUNKED = b"transfer-encoding: chunked"


class Stream(msgspec.Struct, frozen=True):
    """A stream on a connection between two of its events.

    :param last_event: number of the event that was relayed last.
    :param framed: whether its response has chunks.
    """

    request: str
    last_event: int
    framed: bool


def read_stream(connection: fault_proxy.RelayedConnection) -> Stream | None:
    """Return the stream on a connection, ``None`` if it isn't between two events of one."""
    head, _, body = connection.response.partition(b"\r\n\r\n")
    named = _REQUEST.search(connection.request)
    numbers = _EVENT.findall(body)
    if named is None or not numbers or _EVENT_STREAM not in head:
        return None
    framed = _CHUNKED in head.lower()
    if not body.endswith(b"\n\n\r\n" if framed else b"\n\n"):
        return None
    return Stream(named[1].decode(), int(numbers[-1]), framed)
