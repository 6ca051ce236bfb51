"""The whole path with real processes: a question streamed back, a job run to readable results."""

import pytest
from tests.process import harness

BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 5}


@pytest.fixture(scope="module")
def fleet():
    with harness.Fleet(vms=1, engines=2) as made:
        yield made


def test_question_is_answered_whole(fleet):
    with fleet.call() as client:
        answer = client.post("/v1/completions", json=BODY)
    assert answer.status_code == 200
    assert answer.json()["usage"]["completion_tokens"] == 5


def test_question_is_streamed_with_its_end_marker(fleet):
    with (
        fleet.call() as client,
        client.stream("POST", "/v1/completions", json={**BODY, "stream": True}) as answer,
    ):
        events = [line for line in answer.iter_lines() if line]
    assert len(events) == 6
    assert events[-1] == "data: [DONE]"
