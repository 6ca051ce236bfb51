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


def run(pytester, lines: str, *args: str):
    pytester.makeconftest(pathlib.Path(conftest.__file__).read_text())
    pytester.makepyfile(test_some=TESTS)
    pytester.path.joinpath(conftest.FILE).write_text("# test id | ...\n\n" + lines)
    return pytester.runpytest("-p", "no:cacheprovider", *args)


def listed(*names: str) -> str:
    return "".join(ENTRY.format(name) for name in names)


def test_listed_failures_do_not_fail_the_run_and_are_printed(pytester):
    result = run(pytester, listed("test_red", "test_setup"))
    result.assert_outcomes(xfailed=2, passed=1, skipped=1)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_red: failed as listed: saw 1 where 2 was due (issue 9*"])


def test_failure_that_is_not_listed_fails_the_run(pytester):
    result = run(pytester, listed("test_setup"))
    result.assert_outcomes(failed=1, xfailed=1, passed=1, skipped=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_listed_test_that_passes_fails_the_run(pytester):
    result = run(pytester, listed("test_red", "test_setup", "test_green"))
    result.assert_outcomes(failed=1, xfailed=2, skipped=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*test_green: NOT AS LISTED*"])


def test_listed_test_that_is_skipped_fails_the_run(pytester):
    result = run(pytester, listed("test_red", "test_setup", "test_skipped"))
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "lines",
    [
        listed("test_gone"),
        "test_gone.py::test_x | pytest | saw | issue 9\n",
        "test_some.py::test_red | no fields\n",
        "test_some.py::test_red | | saw | issue 9\n",
        listed("test_red", "test_red"),
    ],
)
def test_entry_that_is_wrong_or_has_no_test_fails_the_run(pytester, lines):
    assert run(pytester, lines).ret == pytest.ExitCode.USAGE_ERROR


def test_part_of_the_tests_can_be_run_alone(pytester):
    result = run(pytester, listed("test_red", "test_setup"), "test_some.py::test_green")
    assert result.ret == pytest.ExitCode.OK


def test_entry_without_its_file_fails_every_run(pytester):
    lines = "test_gone.py::test_x | pytest | saw | issue 9\n"
    result = run(pytester, lines, "test_some.py::test_green")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
