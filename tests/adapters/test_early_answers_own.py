"""Upstreams of the product's own interface that answer a long upload early, or with an odd head."""

import pytest
import trio
from tests.edge import test_early_answers, test_odd_heads

from cornelgrade.adapters import engine, upstream_http
from cornelgrade.services import _relay

LOAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


async def call_upstream(nursery, early, body):
    """Return the body of a whole response, or ``None`` if the call failed."""
    listeners = await nursery.start(trio.serve_tcp, early.serve, 0)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    call = engine.Call("s", "POST", "/v1/completions", body, new_connection=True)
    async with upstream_http.HttpUpstream("e", address) as upstream:
        try:
            async with upstream.call(call) as response:
                return (await _relay.collect_response(_relay.relay_whole(response)))[1]
        except engine.CallError:
            return None


# Guards against recording a part of an answer as the whole one: the HTTP library reads the response
# also after a failed write, and takes the end of the connection for that of the answer.
@pytest.mark.parametrize("pause_s", [0.05, 0.6])
@pytest.mark.parametrize("answer", [test_early_answers.PLAIN, test_early_answers.FAILURE])
async def test_part_of_an_early_answer_is_not_complete(nursery, answer, pause_s):
    early = test_early_answers.EarlyUpstream(answer + test_early_answers.PART, pause_s)
    for _ in range(3):
        assert await call_upstream(nursery, early, test_early_answers.UPLOAD) is None
    assert early.answered == 3
    nursery.cancel_scope.cancel()


# Guards against refusing an early answer whose framing shows that it is whole.
async def test_whole_early_answer_is_taken(nursery):
    answer = test_early_answers.HEAD + b"content-length: 1500\r\n\r\n" + test_early_answers.PART
    early = test_early_answers.EarlyUpstream(answer, 0.2)
    got = await call_upstream(nursery, early, test_early_answers.UPLOAD)
    assert got == test_early_answers.PART
    nursery.cancel_scope.cancel()


# Guards against passing on a response whose head is invalid. A folded line is not detected.
@pytest.mark.parametrize(
    "name", [n for n in test_odd_heads.HEADS if not n.endswith("before a name")]
)
async def test_response_with_an_invalid_head_fails(nursery, name):
    odd = test_odd_heads.OddUpstream(
        test_odd_heads.HEADS[name] + b"\r\n" + test_odd_heads.BODY, 0.0
    )
    assert await call_upstream(nursery, odd, b"q") is None
    nursery.cancel_scope.cancel()
