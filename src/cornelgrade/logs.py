"""Structured logs through logbook: one line of key=value pairs per event."""

import sys
from typing import TextIO

import logbook

from cornelgrade import log_stream

Value = str | int | float | bool | None


def quote_value(value: Value) -> str:
    """Format a value, quoted if needed so that a line can be split on spaces."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(ch in text for ch in ' "=\n\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_line(event: str, pairs: dict[str, Value]) -> str:
    """Format an event and its pairs as one line."""
    return " ".join(
        [f"event={quote_value(event)}", *(f"{k}={quote_value(v)}" for k, v in pairs.items())]
    )


class Logger:
    """Logs the events of one service.

    :param service: the name logged with each event.
    """

    def __init__(self, service: str) -> None:
        self._log = logbook.Logger(service)

    def debug(self, event: str, **pairs: Value) -> None:
        """Log an event of interest to developers only."""
        self._log.debug(format_line(event, pairs))

    def info(self, event: str, **pairs: Value) -> None:
        """Log an event of normal operation."""
        self._log.info(format_line(event, pairs))

    def warning(self, event: str, **pairs: Value) -> None:
        """Log an event that an operator may want to look into."""
        self._log.warning(format_line(event, pairs))

    def error(self, event: str, **pairs: Value) -> None:
        """Log an event that needs an operator's attention."""
        self._log.error(format_line(event, pairs))


_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "service={record.channel} {record.message}"
)


def make_handler(
    level: str, vm: str, stream: TextIO | log_stream.BoundedStream | None = None
) -> logbook.StreamHandler:
    """Return the log handler of a process.

    :param level: the lowest level that is logged.
    :param vm: the VM's name, logged on each line.
    :param stream: where to write; defaults to standard error.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.format_string = f"{_FORMAT} vm={vm}"
    return handler
