import pytest

from cornelgrade.policy import placement, upstream_limit


# Guards against a response with a nonsense limit that stops a process or shuts an upstream out.
@pytest.mark.parametrize(
    ("texts", "per_s", "rejected"),
    [
        ((), None, ()),
        (("2.5",), 2.5, ()),
        (("2.5", "1.5"), 1.5, ()),
        (("soon", "4"), 4.0, ("soon",)),
        (("0",), upstream_limit.MIN_RATE_PER_S, ()),
        (("1e300",), upstream_limit.MAX_RATE_PER_S, ()),
        (("",), None, ("",)),
        (("-1",), None, ("-1",)),
        (("nan",), None, ("nan",)),
        (("inf",), None, ("inf",)),
        (("2,5",), None, ("2,5",)),
    ],
)
def test_limit_is_the_lowest_number_that_can_be_read(texts, per_s, rejected):
    assert upstream_limit.read_limit(texts) == upstream_limit.Reading(per_s, rejected)


def test_only_a_response_without_any_text_says_that_there_is_no_limit():
    assert upstream_limit.read_limit(()).is_readable
    assert not upstream_limit.read_limit(("soon",)).is_readable


# Guards against a limited upstream that lies idle because the others are never full.
def test_cheaper_upstream_without_allowance_is_asked_for():
    idle = placement.Candidate("idle", 8, local=True, has_allowance=False)
    busy = placement.Candidate("busy", 8, local=True, own=3)
    full = placement.Candidate("full", 8, local=True, own=9, has_allowance=False)
    assert placement.list_limited((idle, busy, full), busy) == (idle,)
    assert not placement.are_all_limited((idle, busy, full))
    assert placement.are_all_limited((idle, full))
