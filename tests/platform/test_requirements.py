"""What is installed beside the daemons on the platform."""

import pathlib
from importlib import metadata

import pytest
from packaging import requirements, utils

ROOT = pathlib.Path(__file__).parents[2]


def read_pins(path):
    lines = (ROOT / path).read_text().split()
    return {
        utils.canonicalize_name(name): pin for name, _, pin in (x.partition("==") for x in lines)
    }


LISTED = read_pins("deploy/requirements.txt")


@pytest.mark.parametrize("name", sorted(LISTED))
def test_listed_distributions_bring_all_that_they_require(name):
    """Guards against daemons that end at once: the list is installed without dependencies."""
    needed = [requirements.Requirement(text) for text in metadata.requires(name) or ()]
    applying = [req for req in needed if req.marker is None or req.marker.evaluate({"extra": ""})]
    missing = [req.name for req in applying if utils.canonicalize_name(req.name) not in LISTED]
    assert missing == []


def test_listed_distributions_are_pinned_as_in_the_lock_file():
    """Guards against a platform that runs other versions than the tests."""
    locked = read_pins("requirements.lock")
    assert {name: locked.get(name) for name in LISTED} == LISTED
