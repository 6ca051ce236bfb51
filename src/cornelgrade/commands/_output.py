"""How commands write: text for people, JSON for programs."""

import datetime
import json
import sys
from typing import Any

import msgspec


def write(text: str = "") -> None:
    """Write one line to standard output."""
    print(text)


def write_json(value: Any) -> None:
    """Write a value as indented JSON."""
    print(json.dumps(msgspec.to_builtins(value), indent=2, ensure_ascii=False))


def clock(at_s: float) -> str:
    """Write a Unix time in seconds as UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S}.{moment.microsecond // 1000:03d}Z"


def table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Write rows under a head in aligned columns."""
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(len(head))]
    for row in [head, *rows]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


class Progress:
    """One line of progress, rewritten in place on a terminal and left out elsewhere."""

    def __init__(self) -> None:
        self._shown = sys.stderr.isatty()
        self._width = 0

    def update(self, text: str) -> None:
        """Replace the line."""
        if not self._shown:
            return
        sys.stderr.write("\r" + text.ljust(self._width))
        sys.stderr.flush()
        self._width = len(text)

    def end(self) -> None:
        """Leave the last line standing."""
        if self._shown and self._width:
            sys.stderr.write("\n")
