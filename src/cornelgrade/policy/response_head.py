"""Whether the head of a response is valid, beyond what parsers of HTTP/1.1 check.

Sources: RFC 9110, sections 5.5 and 15; RFC 9112, sections 2.2, 2.3, 5.2 and 6.3.
"""

import re
from collections.abc import Collection

MIN_STATUS = 100
MAX_STATUS = 599
_MAJOR_VERSION = "1."
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_CONTROL = re.compile(rb"\r(?!\n)|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_CONTROL_MESSAGE = "a header has a control character"
# A parser that joins a folded line with the one before loses the field that the line may be.
_SYNTAX_FAULTS = (
    (re.compile(rb"\n[ \t]"), "a header line begins with a blank"),
    (_CONTROL, _CONTROL_MESSAGE),
)


def find_syntax_fault(received: bytes) -> str:
    """Return what is wrong with the text of the head that begins a response.

    :param received: what has arrived, with the body behind the head or only a part of it.
    :returns: empty if nothing is wrong, or the head has not arrived whole.
    """
    end = _HEAD_END.search(received)
    if end is None:
        return ""
    head = received[: end.end()]
    return next((reason for pattern, reason in _SYNTAX_FAULTS if pattern.search(head)), "")


def find_fault(version: str, status: int, headers: Collection[tuple[bytes, bytes]]) -> str:
    """Return what is wrong with a parsed head, empty if nothing is.

    :param version: of the protocol, such as ``1.1``.
    :param headers: names in lower case and values.
    """
    if not version.startswith(_MAJOR_VERSION):
        return f"version {version} of HTTP"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status}"
    names = {name for name, _ in headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        return "both a length and chunks"
    if any(_CONTROL.search(value) for _, value in headers):
        return _CONTROL_MESSAGE
    return ""
