"""Read the examples of docs/API.md and compare responses with them."""

import dataclasses
import json
import pathlib
import re
from collections.abc import Iterator, Mapping

import httpx

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "API.md"
WILDCARD = "..."
_PART = re.compile(
    r"^## (?P<title>[^\n]+)$|<!-- given: (?P<given>.+?) -->|^```http\n(?P<block>.+?)^```",
    re.M | re.S,
)


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or a response as the page shows it."""

    start_line: str
    headers: dict[str, str]
    body: str


@dataclasses.dataclass(frozen=True)
class Example:
    """A request and its expected response.

    :param given: name of the state that the system must be in, empty for normal operation.
    """

    section: str
    given: str
    request: Message
    response: Message


def read_examples() -> Iterator[Example]:
    """Yield the page's examples in order; ``given`` applies until the next heading."""
    section = given = ""
    request: Message | None = None
    for part in _PART.finditer(re.sub(r"^###", "##", PAGE.read_text(), flags=re.M)):
        if part["title"]:
            section, given = part["title"], ""
        elif part["given"]:
            given = part["given"]
        elif request is None:
            request = _parse_message(part["block"])
        else:
            yield Example(section, given, request, _parse_message(part["block"]))
            request = None
    assert request is None, "a request without a response"


def _parse_message(block: str) -> Message:
    head, _, body = block.partition("\n\n")
    start_line, *lines = head.strip().splitlines()
    headers = dict(line.split(": ", 1) for line in lines)
    return Message(start_line, headers, body.strip("\n"))


def substitute(text: str, values: Mapping[str, str]) -> str:
    """Replace each ``$NAME`` by its value."""
    return re.sub(r"\$([A-Z_]+)", lambda match: values[match[1]], text)


def find_differences(response: httpx.Response, expected: Message) -> list[str]:
    """Return the ways in which a response differs from the expected one."""
    differences = []
    status = expected.start_line.split()[1]
    if str(response.status_code) != status:
        differences.append(f"status {response.status_code}, not {status}: {response.text[:300]}")
    for name, value in expected.headers.items():
        if not _matches(response.headers.get(name, ""), value):
            differences.append(f"{name}: {response.headers.get(name)!r}, not {value!r}")
    if expected.body.startswith("{"):
        differences += _find_json_differences(response.json(), json.loads(expected.body), "$")
    elif not _matches(response.text.strip(), expected.body) and expected.body:
        differences.append(f"body {response.text[:300]!r}")
    return differences


def _matches(text: str, pattern: str) -> bool:
    parts = [re.escape(part) for part in pattern.split(WILDCARD)]
    return re.fullmatch(".*".join(parts), text, re.S) is not None


def _find_json_differences(value, expected, path: str) -> list[str]:
    if expected == WILDCARD:
        return []
    if isinstance(expected, dict) and isinstance(value, dict):
        missing = [f"{path}.{name}: missing" for name in expected if name not in value]
        present = [name for name in expected if name in value]
        nested = [_find_json_differences(value[n], expected[n], f"{path}.{n}") for n in present]
        return missing + sum(nested, [])
    if isinstance(expected, list) and isinstance(value, list) and len(value) >= len(expected):
        pairs = enumerate(zip(value, expected, strict=False))
        return sum([_find_json_differences(v, e, f"{path}[{i}]") for i, (v, e) in pairs], [])
    if isinstance(expected, str) and isinstance(value, str) and _matches(value, expected):
        return []
    return [] if value == expected else [f"{path}: {value!r}, not {expected!r}"]
