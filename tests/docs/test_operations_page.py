import pathlib
import re

import msgspec
import pytest

from cornelgrade import cli, errors, settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
PAGE = (DOCS / "OPERATIONS.md").read_text()


def metric_names() -> set[str]:
    """Read metric names from the source, since some metrics are created late."""
    sources = (DOCS.parent / "src").rglob("*.py")
    pattern = re.compile(r"metrics\.(?:counter|gauge|histogram)\(\s*\"(\w+)\"")
    return {name for path in sources for name in pattern.findall(path.read_text())}


def first_cells(section: str) -> list[str]:
    """Return the first column of the table after a heading or sentence."""
    rows = re.findall(r"^\| `?([^|`]+)`? \|", PAGE.split(section)[1].split("\n#")[0], re.M)
    return [row.strip() for row in rows if not set(row) <= set("- ")][1:]


def test_exactly_the_existing_settings_are_documented():
    names = {field.name for field in msgspec.structs.fields(settings.Settings)}
    assert set(first_cells("## Settings")) == names


def test_exactly_the_existing_metrics_are_documented():
    rows = first_cells("### Metrics")
    assert set(rows) == metric_names()
    assert len(rows) == len(set(rows))


@pytest.mark.parametrize("code", list(errors.ExitCode))
def test_every_exit_code_is_documented(code):
    assert str(code.value) in first_cells("## Command line")
    assert re.search(rf"\b{code.value} ", cli.USAGE.split("Exit codes:")[1])


@pytest.mark.parametrize("path", sorted([*DOCS.glob("*.md"), DOCS.parent / "README.md"]))
def test_links_lead_to_existing_pages(path):
    for link in re.findall(r"\]\(([^)#]+)\)", path.read_text()):
        assert link.startswith("http") or (path.parent / link).exists(), link


def test_tests_named_on_the_page_exist():
    sources = "\n".join(path.read_text() for path in (DOCS.parent / "tests").rglob("test_*.py"))
    named = set(re.findall(r"`(test_\w+)`", PAGE))
    assert named
    assert {name for name in named if f"def {name}(" not in sources} == set()
