import json

import pytest
from tests import samples

from cornelgrade import errors, validation


def find_problems(document) -> tuple[str, ...]:
    with pytest.raises(errors.BadInputError) as caught:
        validation.load_manifest(json.dumps(document).encode())
    return caught.value.problems


def test_valid_manifest_is_decoded_with_defaults():
    loaded = validation.load_manifest(json.dumps(samples.MANIFEST).encode())
    assert loaded.upstreams[0].slots == 8
    assert loaded.batch.chunk_items == 250


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"colour": 1}, "$.colour: unknown field"),
        ({"services": {}}, "$.services: Expected `array`, got `object`"),
        ({"batch": 3}, "$.batch: Expected `object`, got `int`"),
        ({"batch": {"lean": 2}}, "$.batch.lean: Expected `float` <= 1.0"),
        ({"batch": {"lean": "x"}}, "$.batch.lean: Expected `float`, got `str`"),
        (
            {"upstreams": [samples.UPSTREAM, {**samples.UPSTREAM, "slots": 0}]},
            "$.upstreams[1].slots: Expected `int` >= 1",
        ),
        (
            {"upstreams": [{**samples.UPSTREAM, "role": "cook"}]},
            "$.upstreams[0].role: Invalid enum value 'cook'",
        ),
        (
            {"teams": [{**samples.TEAM, "priorities": []}]},
            "$.teams[0].priorities: Expected `array` of length >= 1",
        ),
        (
            {"teams": [{**samples.TEAM, "priorities": ["A b"]}]},
            "$.teams[0].priorities[0]: Expected `str`",
        ),
        ({"teams": [None]}, "$.teams[0]: Expected `object`, got `null`"),
    ],
)
def test_problem_is_reported_at_its_path(change, expected):
    (only,) = find_problems({**samples.MANIFEST, **change})
    assert only.startswith(expected)


def test_every_problem_is_reported_at_once():
    broken = {
        "services": [{"name": "UPPER", "kind": "odd"}],
        "teams": [samples.TEAM, {"name": "x", "extra": True}],
        "upstreams": [{**samples.UPSTREAM, "slots": "many"}],
        "online": {"queue_limit": 0},
    }
    paths = [line.split(":")[0] for line in find_problems(broken)]
    assert sorted(paths) == [
        "$.online.queue_limit",
        "$.priorities",
        "$.services[0].kind",
        "$.services[0].name",
        "$.teams[1].extra",
        "$.teams[1].key_hashes",
        "$.teams[1].priorities",
        "$.upstreams[0].slots",
    ]


@pytest.mark.parametrize("raw", [b"", b"{", b"[1,]", b"\xff\xfe", b'{"a": 1} x'])
def test_invalid_json_is_reported_as_one_problem(raw):
    with pytest.raises(errors.BadInputError) as caught:
        validation.load_manifest(raw)
    (only,) = caught.value.problems
    assert only.startswith("$: not JSON")


def test_settings_are_loaded_from_a_file(tmp_path):
    path = tmp_path / "entry-1.json"
    path.write_text(
        json.dumps({**samples.SETTINGS, "tls": {"certificate_file": "a", "key_file": "b"}})
    )
    assert validation.load_settings(str(path)).tls.key_file == "b"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"tls": {"certificate_file": "a"}}, "$.tls.key_file: required field is missing"),
        ({"tls": 1}, "$.tls: Expected `object`, got `int`"),
        ({"data_folder": 7}, "$.data_folder: Expected `str`, got `int`"),
        ({"gateway_address": "localhost:1"}, "$.gateway_address: Expected `str` matching regex"),
        ({"roles": ["gateway", "cook"]}, "$.roles[1]: Invalid enum value 'cook'"),
    ],
)
def test_invalid_setting_is_reported_at_its_path(tmp_path, change, expected):
    path = tmp_path / "bad.json"
    path.write_text(json.dumps({**samples.SETTINGS, **change}))
    with pytest.raises(errors.BadInputError) as caught:
        validation.load_settings(str(path))
    (only,) = caught.value.problems
    assert only.startswith(expected)


def test_missing_file_is_bad_input(tmp_path):
    with pytest.raises(errors.BadInputError, match="No such file"):
        validation.load_settings(str(tmp_path / "none.json"))
