import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import window


def seen(**changes) -> window.EngineLoad:
    return window.EngineLoad(**{"slots": 8, "online": 0, "batch": 0} | changes)


@pytest.mark.parametrize(
    ("changes", "lean", "expected"),
    [
        ({}, 1.0, 8),
        ({}, 0.5, 8),
        ({}, 0.0, 8),
        ({"online": 1}, 0.0, 0),
        ({"online": 1}, 0.25, 3),
        ({"online": 1}, 0.5, 7),
        ({"online": 3}, 1.0, 5),
        ({"online": 9}, 1.0, 0),
        ({"heard_age_s": 10.0}, 1.0, 0),
        ({"heard_age_s": 10.0, "reported": 0}, 1.0, 2),
        ({"heard_age_s": 10.0, "reported": 6, "batch": 2, "batch_then": 2}, 1.0, 2),
        ({"heard_age_s": 10.0, "reported": 6}, 1.0, 1),
        ({"heard_age_s": 10.0, "reported": 8}, 1.0, 0),
        ({"heard_age_s": 10.0, "reported": 2, "reported_waiting": 1}, 1.0, 0),
    ],
)
def test_batch_limit_for_a_load(changes, lean, expected):
    assert window.compute_batch_limit(seen(**changes), lean) == expected


@given(slots=st.integers(1, 256), lean=st.floats(0, 1))
def test_idle_engine_is_filled_in_under_300_ms_after_preemption(slots, lean):
    state = window.preempt_batch(seen(slots=slots), 1, 0.0, lean).window
    ticks = 0
    while state.limit < window.compute_batch_limit(seen(slots=slots), lean):
        ticks += 1
        state = window.on_tick(state, seen(slots=slots), ticks * window.TICK_S, lean).window
    assert ticks * window.TICK_S < 0.3


SEEN = st.builds(
    window.EngineLoad,
    slots=st.integers(1, 64),
    online=st.integers(0, 80),
    batch=st.integers(0, 64),
    report_age_s=st.floats(0, 10),
    reported=st.none() | st.integers(0, 128),
    reported_waiting=st.integers(0, 3),
    batch_at_report=st.integers(0, 64),
)


@given(state=SEEN, slots=st.integers(0, 64), lean=st.floats(0, 1))
def test_preemption_closes_the_window_and_cancels_only_running_items(state, slots, lean):
    decision = window.preempt_batch(state, slots, 5.0, lean)
    assert decision.window.limit == 0
    assert min(state.batch, slots) <= decision.cancel <= state.batch


@given(state=SEEN, lean=st.floats(0, 1), limit=st.integers(0, 64))
def test_tick_never_grows_the_window_beyond_the_limit(state, lean, limit):
    decision = window.on_tick(window.Window(limit), state, 1.0, lean)
    assert decision.window.limit <= window.compute_batch_limit(state, lean)


@given(state=SEEN, lean=st.floats(0, 1))
def test_online_requests_beyond_the_slots_cancel_batch_items(state, lean):
    over = state.online + state.batch - state.slots
    if state.reports_fresh and over > 0:
        decision = window.on_tick(window.Window(64), state, 1.0, lean)
        assert decision.cancel >= min(over, state.batch)
