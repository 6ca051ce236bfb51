"""The formats of the files that ``check`` reads."""

from typing import Any

import msgspec

from cornelgrade import errors, settings, validation
from cornelgrade.policy import config_files, manifest_review

SETTINGS = "settings"
MANIFEST = "manifest"


class _Settings:
    """Settings of a process."""

    kind = SETTINGS

    def recognizes(self, document: Any) -> bool:
        """Return whether a JSON value is an object with a ``vm``."""
        return isinstance(document, dict) and "vm" in document

    def read(self, raw: bytes) -> config_files.Reading:
        """Decode settings.

        :raises BadInputError: if they are invalid.
        """
        validation.decode(raw, settings.Settings, step="settings")
        return config_files.Reading(())


class _Manifest:
    """The product's manifest."""

    kind = MANIFEST

    def recognizes(self, document: Any) -> bool:
        """Return whether a JSON value may be a manifest: every value that is nothing else."""
        return True

    def read(self, raw: bytes) -> config_files.Reading:
        """Decode and review a manifest.

        :raises BadInputError: if it is invalid.
        """
        loaded = validation.load_manifest(raw)
        document = msgspec.to_builtins(loaded)
        for team in document["teams"]:
            team["key_hashes"] = len(team["key_hashes"])
        return config_files.Reading(
            findings=manifest_review.review(loaded),
            document=document,
            keys={team.name: frozenset(team.key_hashes) for team in loaded.teams},
            keys_path="$.teams[{team}].key_hashes",
        )


def choose_format(raw: bytes, name: str | None) -> config_files.Format:
    """Return the format of a file.

    :param name: the format's name, ``None`` to tell it by the file's content.
    :raises BadInputError: if there is no format of this name.
    """
    formats = _list_formats()
    if name is None:
        document = _decode(raw)
        return next(fmt for fmt in formats if fmt.recognizes(document))
    by_kind = {fmt.kind: fmt for fmt in formats}
    if name not in by_kind:
        problem = f"--format: {name} is none of {', '.join(by_kind)}"
        raise errors.BadInputError((problem,), step="check")
    return by_kind[name]


def _list_formats() -> tuple[config_files.Format, ...]:
    """Return all formats; the first one that recognizes a file is the file's."""
    # Imported on use, so that the other commands start fast.
    from cornelgrade.platform import desired_state

    return _Settings(), desired_state.DesiredState(), _Manifest()


def _decode(raw: bytes) -> Any:
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
