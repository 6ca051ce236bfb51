"""A call that may not be repeated runs at most once, whichever step its gateway dies at."""

import concurrent.futures
import dataclasses
import time

import httpx
import pytest
from tests.process import harness

PATH = "/v1/services/refills/confirm"
DEADLINE_S = 1.5
WAIT_S = 20.0
RESENDERS = (1, 2)
TRUTHS = {"answered": {1}, "no": {0}, "unknown": {0, 1}, "yes": {1}}


@dataclasses.dataclass(frozen=True)
class Step:
    """Where the gateway is killed.

    :param switches: faults before the request is sent, by stand-in.
    :param kill_after_s: seconds between the request and the kill; ``None`` kills after the answer.
    :param once_running: faults from the moment at which the service has the call.
    :param effects: effects that the service has had by the kill.
    :param resends: what resends are told.
    """

    switches: dict
    kill_after_s: float | None
    effects: int
    resends: str
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
    """Send a call; ``None`` if its connection broke."""
    with fleet.call(vm, headers={"Idempotency-Key": key}) as client:
        try:
            return client.post(PATH, content=body)
        except httpx.TransportError:
            return None


def meaning(answer: httpx.Response) -> str:
    """Give what an answer says of the call: that it is answered, or whether it ran."""
    return "answered" if answer.is_success else answer.json()["error"]["ran"]


def effects(fleet, key: str) -> int:
    return fleet.counters("refills-0")["effects"].get(key, 0)


def heal(fleet) -> None:
    for name in ("platform", "platform-proxy", "refills-0", "refills-0-proxy"):
        fleet.switch(name)


def wait_called(fleet, calls: int) -> None:
    end_s = time.monotonic() + WAIT_S
    while fleet.counters("refills-0")["calls"] < calls:
        assert time.monotonic() < end_s
        time.sleep(0.01)


def kill_at(fleet, step: Step, key: str, lost: int, pool) -> httpx.Response | None:
    """Send a call to the first gateway, kill that at the step, and give what the caller got."""
    calls = fleet.counters("refills-0")["calls"]
    for name, switches in {"platform": {"lose_answers": lost}, **step.switches}.items():
        fleet.switch(name, **switches)
    sent = pool.submit(send, fleet, 0, key)
    begun_s = time.monotonic()
    if step.once_running:
        wait_called(fleet, calls + 1)
    for name, switches in step.once_running.items():
        fleet.switch(name, **switches)
    if step.kill_after_s is None:
        sent.result()
    else:
        time.sleep(max(0.0, begun_s + step.kill_after_s - time.monotonic()))
    fleet.vms[0].gateway.kill()
    assert effects(fleet, key) == step.effects
    heal(fleet)
    return sent.result()


def come_back(fleet) -> None:
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


def assert_truthful(fleet, key: str, answers: list[httpx.Response]) -> None:
    count = effects(fleet, key)
    for answer in answers:
        assert count in TRUTHS[meaning(answer)], (count, answer.text)
    assert len({a.content for a in answers if a.is_success}) <= 1


@pytest.mark.parametrize("lost", [0, 1])
@pytest.mark.parametrize("name", STEPS)
def test_killed_at_any_step_and_sent_again_at_two_gateways(fleet, name, lost):
    step, key = STEPS[name], f"{name}-{lost}"
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        first = kill_at(fleet, step, key, lost, pool)
        fleet.switch("platform", lose_answers=lost)
        again = [pool.submit(send, fleet, vm, key) for vm in RESENDERS]
        answers = [one.result() for one in again]
    come_back(fleet)
    answers.append(send(fleet, 0, key))
    assert {meaning(answer) for answer in answers} == {step.resends}
    assert effects(fleet, key) <= 1
    assert_truthful(fleet, key, answers + [first] * (first is not None))


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_same_key_at_all_gateways_at_once(fleet, lost):
    key = f"at-once-{lost}"
    fleet.switch("platform", lose_answers=lost)
    fleet.switch("refills-0", slow_s=0.2)
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        sent = [pool.submit(send, fleet, vm, key) for vm in (0, 1, 2) * 2]
        answers = [one.result() for one in sent]
    heal(fleet)
    assert effects(fleet, key) == 1
    assert [meaning(answer) for answer in answers] == ["answered"] * 6
    assert_truthful(fleet, key, answers)


def test_platform_down_is_a_truthful_not_run(fleet):
    fleet.switch("platform", down=True)
    answer = send(fleet, 1, "down")
    assert (answer.status_code, meaning(answer)) == (503, "no")
    assert int(answer.headers["retry-after"]) >= 1
    assert effects(fleet, "down") == 0
    heal(fleet)
    end_s = time.monotonic() + WAIT_S
    while not (answer := send(fleet, 1, "down")).is_success:
        assert meaning(answer) == "no"
        assert time.monotonic() < end_s
        time.sleep(0.2)
    assert effects(fleet, "down") == 1


def test_other_body_under_the_same_key_is_refused(fleet):
    assert send(fleet, 0, "bodies").is_success
    assert send(fleet, 1, "bodies", b'{"other": 1}').status_code == 409
    assert effects(fleet, "bodies") == 1


def test_stored_answer_is_readable_at_every_gateway(fleet):
    stored = send(fleet, 0, "readable")
    for vm in (0, 1, 2):
        with fleet.call(vm) as client:
            shown = client.get("/v1/requests/readable")
        assert (shown.status_code, shown.content) == (stored.status_code, stored.content)
