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


# Guards against losing a load report, or the runs beside it, to odd entries in its list of runs.
@pytest.mark.parametrize(
    "odd",
    [b"7", b"[]", b'["r2"]', b'["r2",1,-1,0]', b'["r2",1,true,0]', b"[7,1,2,0]", b'["\xff",1,2,0]'],
)
async def test_odd_runs_are_left_out(odd):
    runs = b'[["r1",90,3,0],' + odd + b',["r1",null,2]]'
    body = msgspec.json.encode({"running": 1, "waiting": 0, "runs": msgspec.Raw(runs)})
    report = calls.CallFormat().parse_load(body)
    assert report is not None
    assert report.events_made == {"r1": 2}


# Guards against a list of runs that fills the memory of the process that asked for it.
async def test_long_list_of_runs_is_cut():
    runs = [(f"r{number}", 0, 1, 0) for number in range(calls.MAX_RUNS + 1)]
    body = msgspec.json.encode({"running": 1, "waiting": 0, "runs": runs})
    report = calls.CallFormat().parse_load(body)
    assert report is not None
    assert len(report.events_made) == calls.MAX_RUNS


@pytest.mark.parametrize("runs", [None, 7, "runs", {"r1": 1}])
async def test_report_with_odd_runs_still_tells_the_load(runs):
    body = msgspec.json.encode({"running": 1, "waiting": 0, "runs": runs})
    report = calls.CallFormat().parse_load(body)
    assert report is not None
    assert (report.running, report.events_made) == (1, {})
