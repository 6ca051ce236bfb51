"""Reads the examples of docs/API.md and compares answers with them."""

import dataclasses
import json
import pathlib
import re
from collections.abc import Iterator, Mapping

import httpx

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "API.md"
ANYTHING = "..."
_PARTS = re.compile(
    r"^## (?P<title>[^\n]+)$|<!-- given: (?P<given>.+?) -->|^```http\n(?P<block>.+?)^```",
    re.M | re.S,
)


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or an answer as it stands on the page."""

    first: str
    headers: dict[str, str]
    body: str


@dataclasses.dataclass(frozen=True)
class Example:
    """A request and the answer that it should get.

    :param given: the state of the system in words, empty for the ordinary one.
    """

    section: str
    given: str
    request: Message
    answer: Message


def examples() -> Iterator[Example]:
    """Give the page's examples in order; ``given`` holds until the next heading."""
    section = given = ""
    request: Message | None = None
    for part in _PARTS.finditer(re.sub(r"^###", "##", PAGE.read_text(), flags=re.M)):
        if part["title"]:
            section, given = part["title"], ""
        elif part["given"]:
            given = part["given"]
        elif request is None:
            request = _message(part["block"])
        else:
            yield Example(section, given, request, _message(part["block"]))
            request = None
    assert request is None, "a request without an answer"


def _message(block: str) -> Message:
    head, _, body = block.partition("\n\n")
    first, *lines = head.strip().splitlines()
    headers = dict(line.split(": ", 1) for line in lines)
    return Message(first, headers, body.strip("\n"))


def filled(text: str, values: Mapping[str, str]) -> str:
    """Put values in the place of ``$NAME``."""
    return re.sub(r"\$([A-Z_]+)", lambda found: values[found[1]], text)


def differences(answer: httpx.Response, expected: Message) -> list[str]:
    """Say in which ways an answer is not the expected one."""
    found = []
    status = expected.first.split()[1]
    if str(answer.status_code) != status:
        found.append(f"status {answer.status_code}, not {status}: {answer.text[:300]}")
    for name, value in expected.headers.items():
        if not _like(answer.headers.get(name, ""), value):
            found.append(f"{name}: {answer.headers.get(name)!r}, not {value!r}")
    if expected.body.startswith("{"):
        found += _json_differences(answer.json(), json.loads(expected.body), "$")
    elif not _like(answer.text.strip(), expected.body) and expected.body:
        found.append(f"body {answer.text[:300]!r}")
    return found


def _like(text: str, pattern: str) -> bool:
    parts = [re.escape(part) for part in pattern.split(ANYTHING)]
    return re.fullmatch(".*".join(parts), text, re.S) is not None


def _json_differences(value, expected, path: str) -> list[str]:
    if expected == ANYTHING:
        return []
    if isinstance(expected, dict) and isinstance(value, dict):
        missing = [f"{path}.{name}: missing" for name in expected if name not in value]
        there = [name for name in expected if name in value]
        nested = [_json_differences(value[n], expected[n], f"{path}.{n}") for n in there]
        return missing + sum(nested, [])
    if isinstance(expected, list) and isinstance(value, list) and len(value) >= len(expected):
        pairs = enumerate(zip(value, expected, strict=False))
        return sum([_json_differences(v, e, f"{path}[{i}]") for i, (v, e) in pairs], [])
    if isinstance(expected, str) and isinstance(value, str) and _like(value, expected):
        return []
    return [] if value == expected else [f"{path}: {value!r}, not {expected!r}"]
