"""A non-idempotent call runs at most once, at whichever step its gateway is killed."""

import concurrent.futures
import dataclasses
import time

import httpx
import pytest
from tests.process import harness

PATH = "/v1/services/refills/confirm"
DEADLINE_S = 1.5
WAIT_S = 20.0
RESEND_VMS = (1, 2)
EFFECTS_BY_OUTCOME = {"answered": {1}, "no": {0}, "unknown": {0, 1}, "yes": {1}}


@dataclasses.dataclass(frozen=True)
class Step:
    """The step at which the gateway is killed.

    :param switches: faults set before the request is sent, by stand-in.
    :param kill_after_s: seconds from the request to the kill; ``None`` kills after the response.
    :param once_running: faults set once the service has received the call.
    :param effects: number of effects in the service at the time of the kill.
    :param resend_outcome: outcome that the resent calls report.
    """

    switches: dict
    kill_after_s: float | None
    effects: int
    resend_outcome: str
    once_running: dict = dataclasses.field(default_factory=dict)


STEPS = {
    "before the run record": Step({"platform": {"slow_s": 1.5}}, 0.3, 0, "answered"),
    "after the run record, before dispatch": Step(
        {"refills-0-proxy": {"lose": "up"}}, 0.6, 0, "unknown"
    ),
    "after dispatch, before the effect": Step({"refills-0": {"slow_s": 1.0}}, 0.5, 0, "unknown"),
    "after the effect, before its answer": Step(
        {"refills-0-proxy": {"lose": "down"}}, 0.6, 1, "unknown"
    ),
    "after the answer, before the commit": Step(
        {"refills-0": {"slow_s": 0.5}}, 1.0, 1, "unknown", {"platform": {"slow_s": 1.5}}
    ),
    "after the commit": Step({}, None, 1, "answered"),
}


@pytest.fixture(scope="module")
def fleet():
    changes = {"online": {"default_deadline_s": DEADLINE_S}}
    with harness.Fleet(vms=3, engines=1, workers=False, proxied=True, manifest=changes) as made:
        yield made


def send(fleet, vm: int, key: str, body: bytes = b"{}") -> httpx.Response | None:
    """Send a call and return its response, or ``None`` if the connection failed."""
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        try:
            return client.post(PATH, content=body)
        except httpx.TransportError:
            return None


def get_outcome(response: httpx.Response) -> str:
    """Return ``answered`` for a success, else whether the error says that the call ran."""
    return "answered" if response.is_success else response.json()["error"]["ran"]


def count_effects(fleet, key: str) -> int:
    return fleet.counters("refills-0")["effects"].get(key, 0)


def clear_faults(fleet) -> None:
    for name in ("platform", "platform-proxy", "refills-0", "refills-0-proxy"):
        fleet.switch(name)


def wait_for_calls(fleet, calls: int) -> None:
    end_s = time.monotonic() + WAIT_S
    while fleet.counters("refills-0")["calls"] < calls:
        assert time.monotonic() < end_s
        time.sleep(0.01)


def send_and_kill_gateway(fleet, step: Step, key: str, lost: int, pool) -> httpx.Response | None:
    """Send a call, kill its gateway at the step, and return the caller's response, if any."""
    calls = fleet.counters("refills-0")["calls"]
    for name, switches in {"platform": {"lose_answers": lost}, **step.switches}.items():
        fleet.switch(name, **switches)
    sent = pool.submit(send, fleet, 0, key)
    started_s = time.monotonic()
    if step.once_running:
        wait_for_calls(fleet, calls + 1)
    for name, switches in step.once_running.items():
        fleet.switch(name, **switches)
    if step.kill_after_s is None:
        sent.result()
    else:
        time.sleep(max(0.0, started_s + step.kill_after_s - time.monotonic()))
    fleet.vms[0].gateway.kill()
    assert count_effects(fleet, key) == step.effects
    clear_faults(fleet)
    return sent.result()


def restart_gateway(fleet) -> None:
    fleet.vms[0].gateway.restart()
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        try:
            if httpx.get(f"{fleet.vms[0].url}/readyz", trust_env=False).status_code == 200:
                return
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise AssertionError(fleet.vms[0].gateway.text())


def assert_outcomes_match_effects(fleet, key: str, responses: list[httpx.Response]) -> None:
    count = count_effects(fleet, key)
    for response in responses:
        assert count in EFFECTS_BY_OUTCOME[get_outcome(response)], (count, response.text)
    assert len({a.content for a in responses if a.is_success}) <= 1


@pytest.mark.parametrize("lost", [0, 1])
@pytest.mark.parametrize("name", STEPS)
def test_killed_at_any_step_and_sent_again_at_two_gateways(fleet, name, lost):
    step, key = STEPS[name], f"{name}-{lost}"
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        first = send_and_kill_gateway(fleet, step, key, lost, pool)
        fleet.switch("platform", lose_answers=lost)
        resent = [pool.submit(send, fleet, vm, key) for vm in RESEND_VMS]
        responses = [future.result() for future in resent]
    restart_gateway(fleet)
    responses.append(send(fleet, 0, key))
    assert {get_outcome(response) for response in responses} == {step.resend_outcome}
    assert count_effects(fleet, key) <= 1
    assert_outcomes_match_effects(fleet, key, responses + [first] * (first is not None))


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_same_key_at_all_gateways_at_once(fleet, lost):
    key = f"at-once-{lost}"
    fleet.switch("platform", lose_answers=lost)
    fleet.switch("refills-0", slow_s=0.2)
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        sent = [pool.submit(send, fleet, vm, key) for vm in (0, 1, 2) * 2]
        responses = [future.result() for future in sent]
    clear_faults(fleet)
    assert count_effects(fleet, key) == 1
    assert [get_outcome(response) for response in responses] == ["answered"] * 6
    assert_outcomes_match_effects(fleet, key, responses)


def test_platform_down_is_a_truthful_not_run(fleet):
    fleet.switch("platform", down=True)
    response = send(fleet, 1, "down")
    assert (response.status_code, get_outcome(response)) == (503, "no")
    assert int(response.headers["retry-after"]) >= 1
    assert count_effects(fleet, "down") == 0
    clear_faults(fleet)
    end_s = time.monotonic() + WAIT_S
    while not (response := send(fleet, 1, "down")).is_success:
        assert get_outcome(response) == "no"
        assert time.monotonic() < end_s
        time.sleep(0.2)
    assert count_effects(fleet, "down") == 1


def test_other_body_under_the_same_key_is_refused(fleet):
    assert send(fleet, 0, "bodies").is_success
    assert send(fleet, 1, "bodies", b'{"other": 1}').status_code == 409
    assert count_effects(fleet, "bodies") == 1


def test_stored_answer_is_readable_at_every_gateway(fleet):
    stored = send(fleet, 0, "readable")
    for vm in (0, 1, 2):
        with fleet.call(vm) as client:
            shown = client.get("/v1/requests/readable")
        assert (shown.status_code, shown.content) == (stored.status_code, stored.content)
