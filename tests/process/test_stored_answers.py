"""A keyed answer is stored before its last byte leaves, and kept in an outage until it can be."""

import concurrent.futures
import time

import pytest
from tests.process import harness

WAIT_S = 15.0
BODY = {"model": "lishe", "prompt": "iron for a child of two", "max_tokens": 8}


@pytest.fixture(scope="module")
def fleet():
    with harness.Fleet(vms=2, engines=2, workers=False) as made:
        yield made


def ask(fleet, vm, key, **change):
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        return client.post("/v1/completions", json={**BODY, **change})


def completions(fleet) -> int:
    return sum(fleet.counters(f"engine-{index}")["completions"] for index in (0, 1))


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("lost", [0, 2])
def test_resend_at_another_vm_gets_the_same_bytes(fleet, stream, lost):
    key = f"bytes-{stream}-{lost}"
    before = completions(fleet)
    fleet.switch("platform", lose_answers=lost)
    first = ask(fleet, 0, key, stream=stream)
    again = ask(fleet, 1, key, stream=stream)
    assert first.status_code == again.status_code == 200
    assert first.content == again.content
    assert again.headers["cornelgrade-replayed"] == "true"
    assert completions(fleet) == before + 1


def test_stream_cut_off_by_its_caller_is_stored_whole(fleet):
    request = {"json": {**BODY, "stream": True, "max_tokens": 40}}
    with (
        fleet.call(0, headers={"Idempotency-Key": "left"}) as client,
        client.stream("POST", "/v1/completions", **request) as answer,
    ):
        next(answer.iter_lines())
    again = ask(fleet, 1, "left", stream=True, max_tokens=40)
    assert again.text.endswith("data: [DONE]\n\n")
    assert again.text.count("data: ") == 41


def test_outage_is_served_marked_and_recorded_later(fleet):
    fleet.switch("platform", down=True)
    answers = {}
    for number in range(10):
        answers[number] = ask(fleet, 0, f"outage-{number}")
        assert answers[number].status_code == 200
        assert answers[number].headers["cornelgrade-recorded"] == "false"
    fleet.switch("platform")
    before = completions(fleet)
    for number, answer in answers.items():
        wait_recorded(fleet, f"outage-{number}")
        again = ask(fleet, 1, f"outage-{number}")
        assert again.content == answer.content
    assert completions(fleet) == before


def wait_recorded(fleet, key) -> None:
    end_s = time.monotonic() + WAIT_S
    with fleet.call(1) as client:
        while client.get(f"/v1/requests/{key}").status_code != 200:
            assert time.monotonic() < end_s
            time.sleep(0.1)


def test_twins_that_both_ran_in_an_outage_of_claims_get_the_same_bytes(fleet):
    """The service's answer counts its effects, so two runs answer differently."""
    fleet.switch("refills-0", slow_s=1.0)
    fleet.switch("platform", down=True)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        sent = [pool.submit(look_up, fleet, vm, "twins") for vm in (0, 1)]
        time.sleep(0.5)
        fleet.switch("platform")
        answers = [one.result() for one in sent]
    fleet.switch("refills-0")
    assert fleet.counters("refills-0")["effects"]["twins"] == 2
    assert answers[0].content == answers[1].content == look_up(fleet, 0, "twins").content


def look_up(fleet, vm, key):
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        return client.post("/v1/services/refills/look-up", content=b"{}")
