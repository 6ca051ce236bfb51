"""Line numbers of the values of a JSON document, by path."""

import dataclasses
import re
from collections.abc import Iterator

import msgspec

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+', re.DOTALL)
_LAST_STEP = re.compile(r"(?:\.[^.\[]*|\[\d+\])$")
_ERROR_POSITION = re.compile(r"\(byte (\d+)\)")
_ROOT = "$"


@dataclasses.dataclass(frozen=True, slots=True)
class LineIndex:
    """Where the values of a document are.

    :param lines: line of each value by path, such as ``$.teams[2].name``; of fields that repeat,
        the last one.
    :param repeated: paths of fields that occur more than once in their object.
    """

    lines: dict[str, int]
    repeated: tuple[str, ...] = ()

    def find(self, path: str) -> int:
        """Return the line of a value, or of the closest value around it if it is missing."""
        while path not in self.lines:
            outer = _LAST_STEP.sub("", path)
            path = outer if outer != path else _ROOT
        return self.lines[path]


@dataclasses.dataclass(slots=True)
class _Container:
    """An array or object that is being read.

    :ivar child: path of the current field or entry.
    :ivar keys: names of the fields so far. Paths don't tell fields apart whose names have dots.
    """

    path: str
    is_object: bool
    child: str = ""
    position: int = 0
    awaits_key: bool = False
    keys: set[str] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.awaits_key = self.is_object
        self.child = f"{self.path}[0]"

    def advance(self) -> None:
        """Begin the next field or entry."""
        self.position += 1
        self.awaits_key = self.is_object
        self.child = f"{self.path}[{self.position}]"


def index_lines(raw: bytes) -> LineIndex:
    """Return the lines of all values of a document, which has to be valid JSON."""
    lines = {_ROOT: 1}
    repeated = []
    containers: list[_Container] = []
    for line, token in _read_tokens(raw):
        top = containers[-1] if containers else None
        if token in (b"}", b"]"):
            containers.pop()
        elif token == b"," and top:
            top.advance()
        elif top and top.awaits_key:
            key = msgspec.json.decode(token)
            top.child = f"{top.path}.{key}"
            top.awaits_key = False
            if key in top.keys:
                repeated.append(top.child)
            top.keys.add(key)
            lines[top.child] = line
        elif token != b":":
            path = top.child if top else _ROOT
            if not top or not top.is_object:
                lines[path] = line
            if token in (b"{", b"["):
                containers.append(_Container(path, token == b"{"))
    return LineIndex(lines, tuple(repeated))


def find_error_line(raw: bytes) -> int:
    """Return the line at which a document stops being valid JSON, 0 if it is valid.

    A document that is nested too deeply counts as invalid in its first line.
    """
    try:
        raw.decode()
        msgspec.json.decode(raw)
    except UnicodeDecodeError as exc:
        return _count_line(raw, exc.start)
    except msgspec.DecodeError as exc:
        position = _ERROR_POSITION.search(str(exc))
        return _count_line(raw, int(position[1]) if position else len(raw.rstrip()))
    except RecursionError:
        return 1
    return 0


def _read_tokens(raw: bytes) -> Iterator[tuple[int, bytes]]:
    line, counted = 1, 0
    for match in _TOKEN.finditer(raw):
        line += raw.count(b"\n", counted, match.start())
        counted = match.start()
        yield line, match[0]


def _count_line(raw: bytes, position: int) -> int:
    return 1 + raw.count(b"\n", 0, position)
