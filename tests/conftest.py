"""Lets the tests listed in KNOWN-RED.txt fail, and no others.

A line is ``test id | command and seed | what was seen | issue``. A listed test must fail: one that
passes fails the run, and so does an entry whose test does not exist.
"""

import dataclasses
import pathlib

import pytest

FILE = "KNOWN-RED.txt"
FIELDS = 4


@dataclasses.dataclass(frozen=True)
class Entry:
    test: str
    command: str
    seen: str
    issue: str


def read_entries(path: pathlib.Path) -> dict[str, Entry]:
    if not path.exists():
        return {}
    entries: dict[str, Entry] = {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELDS or not all(fields):
            raise pytest.UsageError(f"{FILE}: an entry has {FIELDS} fields: {line}")
        if fields[0] in entries:
            raise pytest.UsageError(f"{FILE}: listed twice: {fields[0]}")
        entries[fields[0]] = Entry(*fields)
    return entries


ENTRIES = pytest.StashKey[dict[str, Entry]]()
OUTCOMES = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[ENTRIES] = read_entries(config.rootpath / FILE)
    config.stash[OUTCOMES] = {}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark listed tests before any are deselected; without arguments, all must be there."""
    entries = config.stash[ENTRIES]
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(strict=True, reason=entries[item.nodeid].seen))
    missing = entries.keys() - {item.nodeid for item in items}
    whole = config.args_source is not pytest.Config.ArgsSource.ARGS
    for test in sorted(missing):
        if whole or not (config.rootpath / test.split("::")[0]).exists():
            raise pytest.UsageError(f"{FILE}: no such test: {test}")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    """Note how a listed test ended; one that was skipped instead of run fails."""
    report = (yield).get_result()
    if item.nodeid not in item.config.stash[ENTRIES]:
        return
    red = hasattr(report, "wasxfail")
    if report.skipped and not red:
        report.outcome = "failed"
        report.longrepr = f"listed in {FILE} but skipped"
    if report.when == "call" or not report.passed:
        outcome = "failed as listed" if red else "NOT AS LISTED"
        item.config.stash[OUTCOMES][item.nodeid] = outcome


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    entries = config.stash[ENTRIES]
    if not entries:
        return
    terminalreporter.section(f"{FILE}: {len(entries)} tests may fail")
    for test, entry in entries.items():
        outcome = config.stash[OUTCOMES].get(test, "not run")
        terminalreporter.line(f"{test}: {outcome}: {entry.seen} ({entry.issue}; {entry.command})")
