import itertools

from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.services import histories


def make_histories(**bounds) -> histories.Histories:
    ticks = itertools.count()
    return histories.Histories(now_s=lambda: float(next(ticks)), **bounds)


def test_history_lists_the_oldest_step_first():
    service = make_histories()
    service.record("r1", "admit", "Taken.")
    service.record("r2", "admit", "Another.")
    service.record("r1", "route", "Chose engine-1.", peer="engine-1")
    first, second = service.get_steps("r1")
    assert (first.at_s, first.sentence) == (0.0, "Taken.")
    assert (second.step, second.peer) == ("route", "engine-1")


def test_unknown_subject_has_an_empty_history():
    assert make_histories().get_steps("nothing") == ()


def test_only_the_newest_steps_of_a_subject_are_kept():
    service = make_histories(max_steps=3)
    for number in range(10):
        service.record("r1", "step", str(number))
    assert [step.sentence for step in service.get_steps("r1")] == ["7", "8", "9"]


def test_least_recently_updated_subject_is_evicted_first():
    service = make_histories(max_bytes=3 * 1400)
    for subject in ("a", "b", "c", "a", "d"):
        service.record(subject, "step", "x")
    assert service.get_steps("b") == ()
    assert service.get_steps("a") and service.get_steps("d")


def test_long_sentence_is_truncated():
    service = make_histories()
    service.record("r1", "step", "x" * 10_000)
    assert len(service.get_steps("r1")[0].sentence) == histories.MAX_SENTENCE_CHARACTERS


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 700)), max_size=300))
def test_memory_stays_bounded(notes):
    service = make_histories(max_steps=4, max_bytes=20_000)
    for subject, size in notes:
        service.record(str(subject), "step", "x" * size)
        assert 0 < service.estimated_bytes <= 20_000
