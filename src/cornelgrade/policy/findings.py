"""What a review of a configuration finds."""

import dataclasses
import enum
from collections.abc import Hashable, Iterable, Iterator
from typing import TypeVar

T = TypeVar("T", bound=Hashable)


class Severity(enum.StrEnum):
    """How serious a finding is.

    An ``ERROR`` is what the system rejects, ignores or can never serve; a ``WARNING`` is what it
    serves as written, but what is probably not meant.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a review found.

    :param path: path of the value, such as ``$.teams[2].burst``.
    :param line: its line in the file, 0 if not known.
    """

    severity: Severity
    path: str
    message: str
    line: int = 0

    def format_problem(self) -> str:
        """Return path and message as one line of text."""
        return f"{self.path}: {self.message}"


def make_error(path: str, message: str) -> Finding:
    """Return an error."""
    return Finding(Severity.ERROR, path, message)


def make_warning(path: str, message: str) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, path, message)


def parse_problem(problem: str) -> Finding:
    """Return the error that a line with path and message describes."""
    path, _, message = problem.partition(": ")
    return make_error(path, message)


def find_repeats(values: Iterable[T]) -> Iterator[tuple[int, int]]:
    """Yield the position of each value that occurred before, and of its first occurrence."""
    first: dict[T, int] = {}
    for position, value in enumerate(values):
        if first.setdefault(value, position) != position:
            yield position, first[value]
