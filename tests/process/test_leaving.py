"""A leaving upstream gets no new work after 2 s, whether it or the platform reports it first."""

import threading
import time

import httpx
import pytest
from tests.process import harness, load

DRAIN_BOUND_S = 2.0
LIST_LAG_S = 30.0
TOKENS = 5


@pytest.fixture
def fleet():
    with harness.Fleet(vms=3, engines=3, engine={"step_s": 0.005}) as running_fleet:
        running_fleet.switch("platform", vm_lag_s=LIST_LAG_S)
        yield running_fleet


class ContinuousCallers:
    """Callers that stream one completion after another until the context exits."""

    def __init__(self, fleet: harness.Fleet, callers: int) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self.results: list[load.StreamResult] = []
        self._threads = [
            threading.Thread(target=self._run_caller, args=(index,)) for index in range(callers)
        ]

    def __enter__(self) -> "ContinuousCallers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, index: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            prompt = f"question {number} of caller {index}"
            self.results.append(load.stream(self._fleet, prompt, TOKENS, index % 3))


def list_as_leaving(fleet: harness.Fleet, name: str) -> None:
    """Make the platform list an upstream of the first failure domain as leaving."""
    listed = [{"name": name, "state": "leaving", "failure_domain": harness.DOMAINS[0]}]
    url = f"http://{fleet.controls['platform']}/v1/vms"
    httpx.put(url, json=listed, trust_env=False).raise_for_status()


def count_calls(fleet: harness.Fleet, name: str) -> int:
    return fleet.counters(name)["calls"]


def assert_no_new_work(fleet: harness.Fleet, name: str) -> None:
    """Assert that after the bound the upstream gets no calls while the others do."""
    time.sleep(DRAIN_BOUND_S)
    before = count_calls(fleet, name)
    others = sum(count_calls(fleet, f"engine-{i}") for i in range(3))
    time.sleep(2.0)
    assert count_calls(fleet, name) == before
    assert sum(count_calls(fleet, f"engine-{i}") for i in range(3)) > others


def test_engine_that_says_so_gets_no_new_work(fleet):
    with ContinuousCallers(fleet, 6) as traffic:
        time.sleep(1.0)
        assert count_calls(fleet, "engine-0") > 0
        fleet.switch("engine-0", leaving=True)
        assert_no_new_work(fleet, "engine-0")
    assert all(result.ended for result in traffic.results)


def test_idle_engine_that_says_so_gets_none_of_the_first_work(fleet):
    fleet.switch("engine-0", leaving=True)
    time.sleep(DRAIN_BOUND_S)
    with ContinuousCallers(fleet, 6):
        time.sleep(2.0)
    assert count_calls(fleet, "engine-0") == 0


def test_gateway_that_starts_later_learns_which_upstreams_are_leaving(fleet):
    fleet.switch("platform", vm_lag_s=0.0)
    list_as_leaving(fleet, "engine-0")
    late = fleet.vms[0].gateway
    late.wait_for("event=upstream_leaving")
    late.kill()
    earlier_output = len(late.text())
    late.restart()
    late.wait_for("event=upstreams_updated", after=earlier_output)
    time.sleep(DRAIN_BOUND_S)
    for number in range(20):
        assert load.stream(fleet, f"question {number}", TOKENS, 0).ended
    assert count_calls(fleet, "engine-0") == 0


def test_upstream_that_the_platform_lists_gets_no_new_work(fleet):
    fleet.switch("platform", vm_lag_s=0.0)
    with ContinuousCallers(fleet, 6) as traffic:
        time.sleep(1.0)
        list_as_leaving(fleet, "engine-0")
        assert_no_new_work(fleet, "engine-0")
    assert all(result.ended for result in traffic.results)
