"""``check FILE``: validates a settings file or a manifest."""

from typing import Any

import msgspec

from cornelgrade import errors, validation
from cornelgrade.commands import _files, _output


def check(args: dict[str, Any]) -> errors.ExitCode:
    """Validate one file: as settings if it is an object with a ``vm``, else as a manifest.

    :raises BadInputError: if the file is invalid; lists every problem.
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
