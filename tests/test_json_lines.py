import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cornelgrade import json_lines

DOCUMENT = b"""{
  "teams": [
    {"name": "a,\\"]}", "keys": []},

    {"name": "b",
     "limit": {"burst":
       3}}
  ],
  "a": [[1,
    2], {}]
}"""
TEAM = "$.teams[1]"
FOUND = [("$", 1), ("$.teams[0].keys", 3), (TEAM, 5), (f"{TEAM}.limit.burst", 6), ("$.a[0][1]", 10)]
MISSING = [(f"{TEAM}.x", 5), (f"{TEAM}.limit.burst.x[7]", 6), ("$.gone", 1), ("odd", 1)]
MALFORMED = [(b'{"a": 1,\n x}', 2), (b'{"a": 1,\n\n', 1), (b'{\n"a": "\xff"}', 2), (b"{}\n\n{", 3)]
VALUES = st.recursive(
    st.none() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


# Guards against an error that is reported at another line than the one to edit.
@pytest.mark.parametrize(("path", "line"), [*FOUND, *MISSING])
def test_value_or_the_one_around_it_has_its_line(path, line):
    assert json_lines.index_lines(DOCUMENT).find(path) == line


# Guards against a second list of teams that silently replaces the first one.
def test_repeated_field_is_found_and_the_last_one_counts():
    index = json_lines.index_lines(b'{"a": 1,\n"b": {"c": 1},\n"a": 2}')
    assert (index.repeated, index.find("$.a")) == (("$.a",), 3)


# Guards against a malformed file without a line, and against one that ends the command.
@pytest.mark.parametrize(("raw", "line"), [*MALFORMED, (b"[" * 100_000, 1), (b"", 1), (b"{}", 0)])
def test_malformed_document_has_the_line_of_its_error(raw, line):
    assert json_lines.find_error_line(raw) == line


# Guards against valid documents that the index can't read, whatever their strings contain. In the
# example, two fields of different objects have the same path.
@example({"": {"": None}, ".": None}, None)
@given(VALUES, st.sampled_from([None, 1]))
def test_last_line_of_any_document_is_that_of_its_end(value, indent):
    raw = json.dumps([value, 1], indent=indent, ensure_ascii=False).encode()
    index = json_lines.index_lines(raw)
    assert index.find("$[1]") == raw.count(b"\n") + (1 if indent is None else 0)
    assert not index.repeated
