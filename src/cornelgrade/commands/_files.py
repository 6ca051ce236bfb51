"""Reads the files named on the command line."""

from cornelgrade import errors, manifest, validation
from cornelgrade.policy import manifest_rules


def read_manifest(path: str) -> tuple[bytes, manifest.Manifest]:
    """Read a manifest and run every check that does not need the fleet.

    :raises BadInputError: if the manifest is invalid; lists every problem.
    """
    raw = validation.read_file(path)
    loaded = validation.load_manifest(raw)
    problems = manifest_rules.find_problems(loaded)
    if problems:
        raise errors.BadInputError(problems, step="manifest")
    return raw, loaded
