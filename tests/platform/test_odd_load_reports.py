"""Load reports of engines with odd values."""

import msgspec
import pytest
from tests.platform import odd_specs

from cornelgrade.platform import calls

DEEP = [
    odd_specs.nested(depth, *brackets)
    for depth in (5_000, 200_000)
    for brackets in ((b"[", b"]"), (b'{"a":', b"}"))
]


# Guards against a faulty engine's load report that ends the process that asked for it.
@pytest.mark.parametrize("field", ["running", "waiting", "born", "unknown"])
@pytest.mark.parametrize("raw", [b"9" * 400, b"-1", b"1" + b"0" * 20, *DEEP], ids=range(7))
async def test_odd_load_report_is_no_report(field, raw):
    body = msgspec.json.encode({"running": 1, "waiting": 0, field: msgspec.Raw(raw)})
    report = calls.CallFormat().parse_load(body)
    assert (report is not None) == (field == "unknown" and raw not in DEEP)
