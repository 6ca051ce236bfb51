"""Files that a person names on the command line."""

from cornelgrade import errors, manifest, validation
from cornelgrade.policy import manifest_rules


def read_manifest(path: str) -> tuple[bytes, manifest.Manifest]:
    """Read and check a manifest as far as that goes without the fleet.

    :raises BadInputError: with every problem.
    """
    raw = validation.read_file(path)
    made = validation.load_manifest(raw)
    problems = manifest_rules.problems(made)
    if problems:
        raise errors.BadInputError(problems, step="manifest")
    return raw, made
