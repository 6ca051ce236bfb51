"""``check FILE``: reviews settings, a manifest or the platform's desired state."""

import collections
import dataclasses
from typing import Any

from cornelgrade import errors, json_lines, validation
from cornelgrade.commands import _client, _diff, _formats, _output, manifests
from cornelgrade.policy import config_files, findings

# The value of ``--against`` that names the version in force at the gateway.
CURRENT = "current"


def check(args: dict[str, Any]) -> errors.ExitCode:
    """Review one file, and compare it with another version if ``--against`` names one.

    :raises BadInputError: if a file can't be read or ``--against`` does not fit.
    """
    path, against = args["FILE"], args["--against"]
    raw = validation.read_file(path)
    fmt = _formats.choose_format(raw, args["--format"])
    found, reading = _review(raw, fmt)
    changes: tuple[_diff.Change, ...] = ()
    if against is not None and reading is not None:
        in_force = _read_against(args, fmt)
        changes = _diff.compare_readings(in_force, reading)
        found += config_files.review_replacement(in_force, reading, differs=bool(changes))
    found = _locate(raw, found, is_readable=reading is not None)
    counts = collections.Counter(finding.severity for finding in found)
    failed = counts[findings.Severity.ERROR] or (args["--strict"] and found)
    report = {
        "file": path,
        "kind": fmt.kind,
        "problems": [f.format_problem() for f in found if f.severity is findings.Severity.ERROR],
        "findings": found,
        "against": against,
        "differences": None if against is None or reading is None else changes,
    }
    if args["--json"]:
        _output.write_json(report)
    else:
        _write_text(path, fmt, found, counts)
        for change in changes:
            _output.write(change.format_line())
    return errors.ExitCode.BAD_INPUT if failed else errors.ExitCode.OK


def _review(
    raw: bytes, fmt: config_files.Format
) -> tuple[tuple[findings.Finding, ...], config_files.Reading | None]:
    """Return what is found in a file, and its content if it can be decoded."""
    try:
        reading = fmt.read(raw)
    except errors.BadInputError as exc:
        return tuple(findings.parse_problem(problem) for problem in exc.problems), None
    return reading.findings, reading


def _locate(
    raw: bytes, found: tuple[findings.Finding, ...], *, is_readable: bool
) -> tuple[findings.Finding, ...]:
    """Return findings with their lines, in the order of the file.

    :param is_readable: whether the file could be decoded; its repeated fields are added then.
        In a file that can't be decoded, a key may stand in the place of a field's name.
    """
    error_line = json_lines.find_error_line(raw)
    if error_line:
        return tuple(dataclasses.replace(finding, line=error_line) for finding in found)
    index = json_lines.index_lines(raw)
    if is_readable:
        message = "the field repeats; only its last value counts"
        found += tuple(findings.make_error(path, message) for path in index.repeated)
    placed = (dataclasses.replace(finding, line=index.find(finding.path)) for finding in found)
    return tuple(sorted(placed, key=lambda finding: finding.line))


def _read_against(args: dict[str, Any], fmt: config_files.Format) -> config_files.Reading:
    """Read the version that ``--against`` names.

    :raises BadInputError: if there is no such version or it is invalid.
    """
    against = args["--against"]
    problem = ""
    if fmt.kind == _formats.SETTINGS:
        problem = "settings have no version in force"
    elif against == CURRENT and fmt.kind != _formats.MANIFEST:
        problem = f"gateways show the version in force of a manifest only, not of a {fmt.kind} file"
    if problem:
        raise errors.BadInputError((f"--against: {problem}",), step="check")
    raw = _fetch_current(args) if against == CURRENT else validation.read_file(against)
    try:
        return fmt.read(raw)
    except errors.BadInputError as exc:
        problems = tuple(f"--against {against}: {problem}" for problem in exc.problems)
        raise errors.BadInputError(problems, step="check") from exc


def _fetch_current(args: dict[str, Any]) -> bytes:
    with _client.Client(args) as client:
        return client.call("GET", manifests.PATH).content


def _write_text(
    path: str,
    fmt: config_files.Format,
    found: tuple[findings.Finding, ...],
    counts: collections.Counter[findings.Severity],
) -> None:
    for finding in found:
        _output.write_error(
            f"{path}:{finding.line}: {finding.severity}: {finding.format_problem()}"
        )
    listed = [
        f"{counts[severity]} {severity}" + ("s" if counts[severity] > 1 else "")
        for severity in findings.Severity
        if counts[severity]
    ]
    verdict = "has errors" if counts[findings.Severity.ERROR] else "is correct"
    _output.write(f"{path}: {fmt.kind} {verdict}" + (f" ({', '.join(listed)})" if listed else ""))
