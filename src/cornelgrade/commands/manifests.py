"""``manifest get|put|diff``: the desired state of the fleet."""

import json
from typing import Any

import msgspec

from cornelgrade import errors, validation
from cornelgrade.commands import _client, _diff, _files, _output

PATH = "/v1/manifest"


def get(args: dict[str, Any]) -> errors.ExitCode:
    """Write the manifest in force; ``--json`` adds its version."""
    with _client.Client(args) as client:
        response = client.call("GET", PATH)
    document = json.loads(response.content)
    if args["--json"]:
        _output.write_json({"version": _parse_version(response.headers), "manifest": document})
    else:
        _output.write_json(document)
    return errors.ExitCode.OK


def put(args: dict[str, Any]) -> errors.ExitCode:
    """Validate a manifest locally, then submit it."""
    raw, _ = _files.read_manifest(args["FILE"])
    headers = {"Content-Type": "application/json"}
    if args["--if-match"]:
        headers["If-Match"] = f'"{args["--if-match"]}"'
    with _client.Client(args) as client:
        response = client.call("PUT", PATH, content=raw, headers=headers)
    version = _parse_version(response.headers)
    if args["--json"]:
        _output.write_json({"version": version})
    else:
        _output.write(f"accepted as version {version}")
    return errors.ExitCode.OK


def diff(args: dict[str, Any]) -> errors.ExitCode:
    """Compare a file with the manifest in force; the exit code is 1 if they differ."""
    _, proposed = _files.read_manifest(args["FILE"])
    with _client.Client(args) as client:
        response = client.call("GET", PATH)
    in_force = validation.load_manifest(response.content)
    changes = _diff.find_changes(msgspec.to_builtins(in_force), msgspec.to_builtins(proposed))
    if args["--json"]:
        _output.write_json({"version": _parse_version(response.headers), "changes": changes})
    for change in () if args["--json"] else changes:
        _output.write(change.format_line())
    return errors.ExitCode.FAILED if changes else errors.ExitCode.OK


def _parse_version(headers: Any) -> int:
    """Return the version in an ``ETag`` header, 0 if there is none."""
    tag = headers.get("ETag", "").removeprefix("W/").strip('"')
    return int(tag) if tag.isdigit() else 0
