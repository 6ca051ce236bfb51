"""Output of the commands, as text or JSON."""

import datetime
import json
import sys
from typing import Any

import msgspec


def write(text: str = "") -> None:
    """Write one line to standard output."""
    print(text)


def write_error(text: str) -> None:
    """Write one line to standard error."""
    print(text, file=sys.stderr)


def write_json(value: Any) -> None:
    """Write a value as indented JSON."""
    print(json.dumps(msgspec.to_builtins(value), indent=2, ensure_ascii=False))


def format_time(at_s: float) -> str:
    """Format a Unix time in seconds as UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S}.{moment.microsecond // 1000:03d}Z"


def write_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Write a header and rows in aligned columns."""
    widths = [max(len(row[i]) for row in [header, *rows]) for i in range(len(header))]
    for row in [header, *rows]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


class ProgressLine:
    """A progress line on standard error, rewritten in place; disabled unless it is a terminal."""

    def __init__(self) -> None:
        self._enabled = sys.stderr.isatty()
        self._width = 0

    def update(self, text: str) -> None:
        """Replace the text of the line."""
        if not self._enabled:
            return
        sys.stderr.write("\r" + text.ljust(self._width))
        sys.stderr.flush()
        self._width = len(text)

    def finish(self) -> None:
        """Keep the last text and start a new line."""
        if self._enabled and self._width:
            sys.stderr.write("\n")
