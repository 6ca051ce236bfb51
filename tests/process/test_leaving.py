"""A leaving upstream gets no new work after 2 s, whichever sign comes first."""

import threading
import time

import httpx
import pytest
from tests.process import harness, load

BOUND_S = 2.0
LIST_LAG_S = 30.0
TOKENS = 5


@pytest.fixture
def fleet():
    with harness.Fleet(vms=3, engines=3, engine={"step_s": 0.005}) as made:
        made.switch("platform", vm_lag_s=LIST_LAG_S)
        yield made


class Asking:
    """Asks one question after the other at each VM until it is told to stop."""

    def __init__(self, fleet: harness.Fleet, callers: int) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self.told: list[load.Told] = []
        self._threads = [
            threading.Thread(target=self._ask, args=(index,)) for index in range(callers)
        ]

    def __enter__(self) -> "Asking":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, index: int) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            prompt = f"question {number} of caller {index}"
            self.told.append(load.stream(self._fleet, prompt, TOKENS, index % 3))


def calls(fleet: harness.Fleet, name: str) -> int:
    return fleet.counters(name)["calls"]


def assert_no_new_work(fleet: harness.Fleet, name: str) -> None:
    """Wait for the bound, then see that the upstream gets no call while the others do."""
    time.sleep(BOUND_S)
    before = calls(fleet, name)
    others = sum(calls(fleet, f"engine-{i}") for i in range(3))
    time.sleep(2.0)
    assert calls(fleet, name) == before
    assert sum(calls(fleet, f"engine-{i}") for i in range(3)) > others


def test_engine_that_says_so_gets_no_new_work(fleet):
    with Asking(fleet, 6) as asking:
        time.sleep(1.0)
        assert calls(fleet, "engine-0") > 0
        fleet.switch("engine-0", leaving=True)
        assert_no_new_work(fleet, "engine-0")
    assert all(one.ended for one in asking.told)


def test_idle_engine_that_says_so_gets_none_of_the_first_work(fleet):
    fleet.switch("engine-0", leaving=True)
    time.sleep(BOUND_S)
    with Asking(fleet, 6):
        time.sleep(2.0)
    assert calls(fleet, "engine-0") == 0


def test_upstream_that_the_platform_lists_gets_no_new_work(fleet):
    fleet.switch("platform", vm_lag_s=0.0)
    listed = [{"name": "engine-0", "state": "leaving", "failure_domain": harness.DOMAINS[0]}]
    with Asking(fleet, 6) as asking:
        time.sleep(1.0)
        url = f"http://{fleet.controls['platform']}/v1/vms"
        httpx.put(url, json=listed, trust_env=False).raise_for_status()
        assert_no_new_work(fleet, "engine-0")
    assert all(one.ended for one in asking.told)
