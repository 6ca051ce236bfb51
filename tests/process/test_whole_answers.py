"""Callers receive complete responses to their own prompts when engines or connections fail."""

import concurrent.futures
import time

import pytest
from tests.process import harness, load

TOKENS = 40
CALLERS = 12
ENGINE_CONFIG = {"step_s": 0.02, "slots": 8}
GAP_TIMEOUT_S = 1.0


@pytest.fixture
def fleet():
    policy = {"online": {"first_token_timeout_s": 1.0, "token_gap_timeout_s": GAP_TIMEOUT_S}}
    with harness.Fleet(
        engines=3, workers=False, engine=ENGINE_CONFIG, proxied=True, manifest=policy
    ) as running_fleet:
        yield running_fleet


def stream_with_fault(fleet, inject_fault) -> list[load.StreamResult]:
    """Inject a fault while streams are running and return what the callers received."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(load.stream_many, fleet, CALLERS, TOKENS)
        time.sleep(0.5)
        inject_fault(fleet)
        return pending.result()


def assert_complete(results: list[load.StreamResult]) -> None:
    for result in results:
        assert result.ended, result
        assert "".join(result.tokens) == load.expected_text(result.prompt, TOKENS)


@pytest.mark.parametrize(
    ("name", "switches"),
    [
        ("engine-0", {"crash": True, "restart_s": 60}),
        ("engine-0-proxy", {"cut": True}),
        ("engine-0", {"truncate_after": 5}),
    ],
    ids=["engine dies", "connections reset", "answers truncated"],
)
def test_broken_streams_go_on_without_a_missing_or_doubled_token(fleet, name, switches):
    results = stream_with_fault(fleet, lambda running_fleet: running_fleet.switch(name, **switches))
    assert_complete(results)


@pytest.mark.parametrize(
    ("name", "switches"),
    [
        ("engine-0-proxy", {"freeze": True}),
        ("engine-0-proxy", {"lose": "down"}),
        ("engine-0", {"silence": True}),
    ],
    ids=["connections freeze", "answers vanish", "engine falls silent on open connections"],
)
def test_silent_connection_is_left_within_a_second_of_its_bound(fleet, name, switches):
    results = stream_with_fault(fleet, lambda running_fleet: running_fleet.switch(name, **switches))
    assert_complete(results)
    assert max(result.longest_gap_s for result in results) < GAP_TIMEOUT_S + 1.0


# Guards against a stream of which two software versions wrote a part each.
def test_broken_streams_go_on_at_the_software_version_that_began_them():
    versions = ("v1", "v1", "v2", "v2", "v2", "v1")
    with harness.Fleet(
        engines=6, workers=False, engine=ENGINE_CONFIG, versions=versions
    ) as running_fleet:
        results = stream_with_fault(
            running_fleet, lambda fleet: fleet.switch("engine-0", crash=True, restart_s=60)
        )
        assert "event=attempt_failed" in running_fleet.vms[0].gateway.text()
    for result in results:
        assert result.ended, result
        whole = [load.expected_text(result.prompt, TOKENS, version) for version in ("v1", "v2")]
        assert "".join(result.tokens) in whole


def test_idle_connection_that_went_silent_does_not_hold_a_later_question(fleet):
    load.stream_many(fleet, CALLERS, 2)
    for engine in range(3):
        fleet.switch(f"engine-{engine}-proxy", freeze=True)
    results = load.stream_many(fleet, CALLERS, TOKENS)
    assert_complete(results)
    assert max(result.longest_gap_s for result in results) < 2.0


def test_stream_that_cannot_go_on_ends_with_an_explicit_error(fleet):
    def crash_all(running_fleet):
        for engine in range(3):
            running_fleet.switch(f"engine-{engine}", crash=True, restart_s=60)

    results = stream_with_fault(fleet, crash_all)
    for result in results:
        assert not result.ended
        assert result.error is not None, result
        assert result.error["ran"] in ("yes", "unknown", "no")
