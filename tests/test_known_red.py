import pathlib

import pytest
from tests import conftest

pytest_plugins = ["pytester"]

TESTS = """
import pytest

def test_red():
    assert 1 == 2

def test_green():
    pass

@pytest.fixture
def broken():
    raise RuntimeError("broken")

def test_setup(broken):
    pass

def test_skipped():
    pytest.skip("not here")
"""
ENTRY = "test_some.py::{} | pytest, seed 1 | saw 1 where 2 was due | issue 9\n"


def run_listed(pytester, lines: str, *args: str):
    pytester.makeconftest(pathlib.Path(conftest.__file__).read_text())
    pytester.makepyfile(test_some=TESTS)
    pytester.path.joinpath(conftest.KNOWN_RED_FILE).write_text("# test id | ...\n\n" + lines)
    return pytester.runpytest("-p", "no:cacheprovider", *args)


def list_entries(*names: str) -> str:
    return "".join(ENTRY.format(name) for name in names)


def test_listed_failures_do_not_fail_the_run_and_are_printed(pytester):
    result = run_listed(pytester, list_entries("test_red", "test_setup"))
    result.assert_outcomes(xfailed=2, passed=1, skipped=1)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_red: failed as listed: saw 1 where 2 was due (issue 9*"])


def test_unlisted_failure_fails_the_run(pytester):
    result = run_listed(pytester, list_entries("test_setup"))
    result.assert_outcomes(failed=1, xfailed=1, passed=1, skipped=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_listed_test_that_passes_fails_the_run(pytester):
    result = run_listed(pytester, list_entries("test_red", "test_setup", "test_green"))
    result.assert_outcomes(failed=1, xfailed=2, skipped=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*test_green: NOT AS LISTED*"])


def test_listed_test_that_is_skipped_fails_the_run(pytester):
    result = run_listed(pytester, list_entries("test_red", "test_setup", "test_skipped"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "lines",
    [
        list_entries("test_gone"),
        "test_gone.py::test_x | pytest | saw | issue 9\n",
        "test_some.py::test_red | no fields\n",
        "test_some.py::test_red | | saw | issue 9\n",
        list_entries("test_red", "test_red"),
    ],
)
def test_malformed_entry_or_missing_test_fails_the_run(pytester, lines):
    assert run_listed(pytester, lines).ret == pytest.ExitCode.USAGE_ERROR


def test_single_test_can_be_run_without_the_listed_ones(pytester):
    result = run_listed(
        pytester, list_entries("test_red", "test_setup"), "test_some.py::test_green"
    )
    assert result.ret == pytest.ExitCode.OK


def test_entry_whose_file_is_missing_fails_every_run(pytester):
    lines = "test_gone.py::test_x | pytest | saw | issue 9\n"
    result = run_listed(pytester, lines, "test_some.py::test_green")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
