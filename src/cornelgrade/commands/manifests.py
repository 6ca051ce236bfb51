"""``manifest get|put|diff``: the wanted state of the fleet."""

import json
from typing import Any

import msgspec

from cornelgrade import errors, validation
from cornelgrade.commands import _client, _diff, _files, _output

_PATH = "/v1/manifest"


def get(args: dict[str, Any]) -> errors.ExitCode:
    """Write the manifest in force; its version goes into the JSON with ``--json``."""
    with _client.Client(args) as client:
        answer = client.call("GET", _PATH)
    document = json.loads(answer.content)
    if args["--json"]:
        _output.write_json({"version": _version(answer.headers), "manifest": document})
    else:
        _output.write_json(document)
    return errors.ExitCode.OK


def put(args: dict[str, Any]) -> errors.ExitCode:
    """Check a manifest here, then ask the system to accept it."""
    raw, _ = _files.read_manifest(args["FILE"])
    headers = {"Content-Type": "application/json"}
    if args["--if-match"]:
        headers["If-Match"] = f'"{args["--if-match"]}"'
    with _client.Client(args) as client:
        answer = client.call("PUT", _PATH, content=raw, headers=headers)
    version = _version(answer.headers)
    if args["--json"]:
        _output.write_json({"version": version})
    else:
        _output.write(f"accepted as version {version}")
    return errors.ExitCode.OK


def diff(args: dict[str, Any]) -> errors.ExitCode:
    """Compare a file with the manifest in force; the exit code is 1 if they differ."""
    _, wanted = _files.read_manifest(args["FILE"])
    with _client.Client(args) as client:
        answer = client.call("GET", _PATH)
    in_force = validation.load_manifest(answer.content)
    changes = _diff.changes(msgspec.to_builtins(in_force), msgspec.to_builtins(wanted))
    if args["--json"]:
        _output.write_json({"version": _version(answer.headers), "changes": changes})
    for change in () if args["--json"] else changes:
        _output.write(change.show())
    return errors.ExitCode.FAILED if changes else errors.ExitCode.OK


def _version(headers: Any) -> int:
    """Read the version out of an ``ETag``."""
    tag = headers.get("ETag", "").removeprefix("W/").strip('"')
    return int(tag) if tag.isdigit() else 0
