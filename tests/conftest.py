"""Mark the tests listed in KNOWN-RED.txt as expected failures.

A line is ``test id | command and seed | what was seen | issue``. A listed test must fail: the run
fails if it passes or is skipped, or if an entry's test does not exist.
"""

import dataclasses
import pathlib

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"
FIELD_COUNT = 4


@dataclasses.dataclass(frozen=True)
class Entry:
    test: str
    command: str
    observed: str
    issue: str


def read_entries(path: pathlib.Path) -> dict[str, Entry]:
    if not path.exists():
        return {}
    entries: dict[str, Entry] = {}
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise pytest.UsageError(
                f"{KNOWN_RED_FILE}: expected {FIELD_COUNT} fields in the entry: {line}"
            )
        if fields[0] in entries:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: duplicate entry: {fields[0]}")
        entries[fields[0]] = Entry(*fields)
    return entries


ENTRIES = pytest.StashKey[dict[str, Entry]]()
OUTCOMES = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    config.stash[ENTRIES] = read_entries(config.rootpath / KNOWN_RED_FILE)
    config.stash[OUTCOMES] = {}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark listed tests before any are deselected.

    In a run of the whole suite every listed test must exist; in a run of some tests, its file.
    """
    entries = config.stash[ENTRIES]
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(strict=True, reason=entries[item.nodeid].observed))
    missing = entries.keys() - {item.nodeid for item in items}
    full_run = config.args_source is not pytest.Config.ArgsSource.ARGS
    for test in sorted(missing):
        if full_run or not (config.rootpath / test.split("::")[0]).exists():
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: no such test: {test}")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    """Record the outcome of a listed test; fail it if it was skipped."""
    report = (yield).get_result()
    if item.nodeid not in item.config.stash[ENTRIES]:
        return
    expected_failure = hasattr(report, "wasxfail")
    if report.skipped and not expected_failure:
        report.outcome = "failed"
        report.longrepr = f"listed in {KNOWN_RED_FILE} but skipped"
    if report.when == "call" or not report.passed:
        outcome = "failed as listed" if expected_failure else "NOT AS LISTED"
        item.config.stash[OUTCOMES][item.nodeid] = outcome


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    entries = config.stash[ENTRIES]
    if not entries:
        return
    terminalreporter.section(f"{KNOWN_RED_FILE}: {len(entries)} tests are expected to fail")
    for test, entry in entries.items():
        outcome = config.stash[OUTCOMES].get(test, "not run")
        terminalreporter.line(
            f"{test}: {outcome}: {entry.observed} ({entry.issue}; {entry.command})"
        )
