"""Structured logs: one line of key=value pairs for each event, written through logbook."""

import sys
from typing import TextIO

import logbook

from cornelgrade import log_stream

Value = str | int | float | bool | None


def quote(value: Value) -> str:
    """Write one value so that a line can be split on spaces again."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(ch in text for ch in ' "=\n\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_line(event: str, pairs: dict[str, Value]) -> str:
    """Join an event and its pairs into one line."""
    return " ".join([f"event={quote(event)}", *(f"{k}={quote(v)}" for k, v in pairs.items())])


class Logger:
    """Writes events of one service.

    :param service: the name written with each event.
    """

    def __init__(self, service: str) -> None:
        self._log = logbook.Logger(service)

    def debug(self, event: str, **pairs: Value) -> None:
        """Write an event that only a developer wants."""
        self._log.debug(format_line(event, pairs))

    def info(self, event: str, **pairs: Value) -> None:
        """Write an event of ordinary work."""
        self._log.info(format_line(event, pairs))

    def warning(self, event: str, **pairs: Value) -> None:
        """Write an event that an operator may want to look at."""
        self._log.warning(format_line(event, pairs))

    def error(self, event: str, **pairs: Value) -> None:
        """Write an event that needs an operator."""
        self._log.error(format_line(event, pairs))


_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "service={record.channel} {record.message}"
)


def handler(
    level: str, vm: str, stream: TextIO | log_stream.BoundedStream | None = None
) -> logbook.StreamHandler:
    """Make the handler of one process.

    :param level: the lowest level that is written.
    :param vm: the VM's name, written on each line.
    :param stream: where to write, standard error if not given.
    """
    made = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    made.format_string = f"{_FORMAT} vm={vm}"
    return made
