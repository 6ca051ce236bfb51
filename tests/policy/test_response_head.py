import pytest

from cornelgrade.policy import response_head

FIRST = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("lines", "valid"),
    [
        (b"x-odd: 1\r\n", True),
        (b"x-odd: a\tb\xff\r\n", True),
        (b"x-odd: 1\n", True),
        (b"x-odd: 1\r\n content-length: 5\r\n", False),
        (b"x-odd: 1\r\n\tcontent-length: 5\r\n", False),
        (b" content-length: 5\r\n", False),
        (b"x-\x01odd: 1\r\n", False),
        (b"x-odd: \x01\r\n", False),
        (b"x-odd: 1\rcontent-length: 5\r\n", False),
    ],
)
def test_head_with_an_odd_line_is_invalid(lines, valid):
    fault = response_head.find_syntax_fault(FIRST + lines + b"\r\n \x00 is the body")
    assert (not fault) is valid


def test_head_that_has_not_arrived_whole_is_not_judged():
    assert not response_head.find_syntax_fault(FIRST + b"x-odd: 1\r\n content-length")


@pytest.mark.parametrize(
    ("version", "status", "headers", "valid"),
    [
        ("1.1", 200, [(b"content-length", b"1")], True),
        ("1.0", 599, [], True),
        ("2.0", 200, [], False),
        ("1.1", 600, [], False),
        ("1.1", 0, [], False),
        ("1.1", 200, [(b"x-odd", b"a\x01")], False),
        ("1.1", 200, [(b"content-length", b"1"), (b"transfer-encoding", b"chunked")], False),
    ],
)
def test_head_of_no_response_is_invalid(version, status, headers, valid):
    assert (not response_head.find_fault(version, status, headers)) is valid
