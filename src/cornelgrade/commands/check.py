"""``check FILE``: is a settings file or a manifest correct?"""

from typing import Any

import msgspec

from cornelgrade import errors, validation
from cornelgrade.commands import _files, _output


def check(args: dict[str, Any]) -> errors.ExitCode:
    """Check one file; an object with a ``vm`` is taken for settings, all else for a manifest.

    :raises BadInputError: with every problem.
    """
    path = args["FILE"]
    raw = validation.read_file(path)
    kind = "settings" if _has_vm(raw) else "manifest"
    if kind == "settings":
        validation.load_settings(path)
    else:
        _files.read_manifest(path)
    if args["--json"]:
        _output.write_json({"file": path, "kind": kind, "problems": []})
    else:
        _output.write(f"{path}: {kind} is correct")
    return errors.ExitCode.OK


def _has_vm(raw: bytes) -> bool:
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return isinstance(value, dict) and "vm" in value
