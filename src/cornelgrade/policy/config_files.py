"""Formats of configuration files, and whether a new version replaces the one in force."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from cornelgrade.policy import findings


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A configuration that was decoded and reviewed.

    :param document: its content as JSON values, with the number of keys in place of the keys.
    :param keys: digests of each team's keys.
    :param keys_path: path of a team's keys, with ``{team}`` for its name.
    :param version: its number; ``None`` if versions are numbered when they are accepted.
    """

    findings: tuple[findings.Finding, ...]
    document: Any = None
    keys: Mapping[str, frozenset[Any]] = dataclasses.field(default_factory=dict)
    keys_path: str = ""
    version: int | None = None


class Format(Protocol):
    """One format of configuration files."""

    @property
    def kind(self) -> str:
        """Name of the format."""

    def recognizes(self, document: Any) -> bool:
        """Return whether a JSON value is a configuration of this format."""

    def read(self, raw: bytes) -> Reading:
        """Decode and review a configuration.

        :raises BadInputError: if it can't be decoded; lists every problem.
        """


def review_replacement(
    in_force: Reading, proposed: Reading, *, differs: bool
) -> tuple[findings.Finding, ...]:
    """Return why a configuration would not replace the one in force, nothing if it would.

    :param differs: whether their contents differ.
    """
    if not differs or in_force.version is None or proposed.version is None:
        return ()
    if proposed.version > in_force.version:
        return ()
    message = (
        f"version {proposed.version} is not above version {in_force.version}, which is in force, "
        "so all VMs ignore it"
    )
    return (findings.make_error("$.version", message),)
