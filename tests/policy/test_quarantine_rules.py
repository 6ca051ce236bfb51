import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelgrade.policy import quarantine

X = "x"


def crash(at_s=0.0, in_flight=1, suspects=0, *, upstream="u1", fingerprint="", own=True):
    return quarantine.Crash(upstream, at_s, in_flight, suspects, fingerprint, own)


@pytest.mark.parametrize(
    ("was_suspect", "others", "other_suspects", "counts"),
    [
        (False, 0, 0, True),
        (False, 1, 0, False),
        (False, 1, 1, False),
        (True, 0, 0, True),
        (True, 5, 0, True),
        (True, 5, 1, False),
    ],
)
def test_evidence_that_attributes_a_crash_to_a_request(was_suspect, others, other_suspects, counts):
    evidence = quarantine.Evidence("u1", 0.0, was_suspect, others, other_suspects)
    assert evidence.counts is counts


@pytest.mark.parametrize(
    ("crashes", "unstable", "expected"),
    [
        (("u1",), (False,), 1),
        (("u1", "u1"), (False, False), 2),
        (("u1", "u1"), (True, True), 1),
        (("u1", "u2"), (True, True), 2),
        (("u1", "u1", "u1", "u1"), (True,) * 4, 2),
    ],
)
def test_crashes_on_an_unstable_upstream_count_half(crashes, unstable, expected):
    evidence = tuple(
        quarantine.Evidence(name, 0.0, True, 0, 0, is_unstable)
        for name, is_unstable in zip(crashes, unstable, strict=True)
    )
    assert quarantine.crashes(quarantine.Entry(evidence)) == expected


def test_peer_report_is_matched_to_the_nearest_crash():
    first = quarantine.record_crash(None, X, crash(0.0), ())
    second = quarantine.record_crash(quarantine.clear_reported(first), X, crash(1.0), (crash(0.0),))
    updated = quarantine.add_peer_crash(second, X, crash(0.2, in_flight=3, own=False))
    assert [e.others for e in updated.evidence] == [3, 0]


def test_same_request_at_a_peer_is_not_counted_as_another():
    entry = quarantine.record_crash(None, X, crash(0.0), (crash(0.0, fingerprint=X, own=False),))
    assert quarantine.crashes(entry) == 1


def test_status_is_pending_only_while_peer_reports_can_change_it():
    entry = quarantine.record_crash(None, X, crash(0.0), ())
    assert quarantine.classify_request(entry, 0.0) is quarantine.RequestStatus.SUSPECT
    entry = quarantine.record_crash(
        quarantine.clear_reported(entry), X, crash(9.0, 1, 1, upstream="u2"), ()
    )
    assert quarantine.classify_request(entry, 9.0) is quarantine.RequestStatus.PENDING
    assert (
        quarantine.classify_request(entry, 9.0 + quarantine.REPORT_WAIT_S)
        is quarantine.RequestStatus.QUARANTINED
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["u1", "u2", "u3"]), st.integers(1, 5), st.booleans()),
        max_size=12,
    )
)
def test_request_that_always_ran_beside_a_suspect_is_not_quarantined(crashes):
    """No crash is attributed to a request that always ran beside another suspect."""
    entry = None
    for number, (upstream, others, at_peer) in enumerate(crashes):
        now_s = number * 10.0
        here = 0 if at_peer else others
        peers = crash(now_s, others, 1, upstream=upstream, own=False)
        reports = (peers,) if at_peer else ()
        own = crash(now_s, here + 1, bool(entry) + (not at_peer), upstream=upstream)
        entry = quarantine.record_crash(entry and quarantine.clear_reported(entry), X, own, reports)
    assert entry is None or quarantine.crashes(entry) == 0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.sampled_from(["u1", "u2", "u3"]), min_size=4, max_size=12))
def test_request_is_quarantined_after_two_crashes_alone(upstreams):
    entry = None
    for number, upstream in enumerate(upstreams[:2]):
        own = crash(number * 10.0, 1, bool(entry), upstream=upstream)
        entry = quarantine.record_crash(entry and quarantine.clear_reported(entry), X, own, ())
    assert quarantine.classify_request(entry, 11.0) is quarantine.RequestStatus.QUARANTINED


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("abcdefghijkl"), st.integers(0, 3)), max_size=40))
def test_each_peer_has_one_count(messages):
    entry = quarantine.Entry()
    for source, count in messages:
        entry = quarantine.merge_peer_count(entry, quarantine.PeerCount(source, count), 10.0, 0.0)
    assert len(entry.peer_counts) <= quarantine.MAX_PEER_COUNTS
    assert len({h.source for h in entry.peer_counts}) == len(entry.peer_counts)


# Guards against blaming a text that many callers send for crashes of the requests beside it.
def test_crash_with_several_copies_of_a_request_beside_others_counts_little():
    entry = None
    for number in range(quarantine.MAX_CRASHES_SEEN):
        own = crash(number * 10.0, 2, bool(entry), upstream=f"u{number}")
        entry = entry and quarantine.clear_reported(entry)
        entry = quarantine.record_crash(entry, X, own, (), shared=True)
    assert quarantine.classify_request(entry, 60.0) is quarantine.RequestStatus.SUSPECT


# Guards against a request that crashes upstreams without limit because its callers are many.
def test_request_of_several_callers_is_quarantined_in_the_end():
    entry = None
    for number in range(quarantine.MAX_CRASHES_SEEN * quarantine.SHARED_CRASHES_AS_ONE):
        own = crash(float(number), 2, bool(entry), upstream=f"u{number}")
        entry = entry and quarantine.clear_reported(entry)
        entry = quarantine.record_crash(entry, X, own, (), shared=True)
    assert quarantine.classify_request(entry, 60.0) is quarantine.RequestStatus.QUARANTINED


# Guards against letting a crash with nothing but copies of one request in flight go unblamed.
def test_crash_with_only_copies_of_a_request_in_flight_counts():
    entry = quarantine.record_crash(None, X, crash(0.0), (), shared=True)
    assert quarantine.crashes(entry) == 1


# Guards against a text that is immune to blame for what it does after it was served.
def test_request_that_completed_is_quarantined_after_six_later_crashes():
    statuses, entry = [], None
    for number in range(quarantine.MAX_CRASHES_SEEN):
        own = crash(float(number), 2, len(statuses) > 3, upstream=f"u{number}")
        entry = entry and quarantine.clear_reported(entry)
        entry = quarantine.record_crash(entry, X, own, (), completed=True)
        statuses.append(quarantine.classify_request(entry, number + 0.5, completed=True))
    clear, suspect = quarantine.RequestStatus.CLEAR, quarantine.RequestStatus.SUSPECT
    assert statuses == [clear] * 3 + [suspect] * 2 + [quarantine.RequestStatus.QUARANTINED]


# Guards against quarantining a popular text because the reports of the others at a crash came late:
# nothing is attributed to a request that has just completed. Later on it is.
def test_request_that_has_just_completed_is_not_quarantined_by_attributed_crashes():
    entry = None
    for number in range(quarantine.MAX_CRASHES_AFTER_COMPLETION):
        entry = entry and quarantine.clear_reported(entry)
        own = crash(float(number), suspects=bool(number), upstream=f"u{number}")
        entry = quarantine.record_crash(entry, X, own, (), completed=True)
    status = quarantine.classify_request(entry, 9.0, completed=True, just_completed=True)
    assert status is quarantine.RequestStatus.CLEAR
    status = quarantine.classify_request(entry, 9.0, completed=True)
    assert status is quarantine.RequestStatus.QUARANTINED


# Guards against keeping a crash as attributed before other VMs could tell what they had in flight.
def test_crash_is_kept_only_once_peers_reports_should_have_arrived():
    entry = quarantine.record_crash(None, X, crash(0.0), ())
    assert quarantine.sightings_to_keep(entry, 0.0) == ()
    kept = quarantine.sightings_to_keep(entry, quarantine.REPORT_WAIT_S)
    assert [sighting.attributed for sighting in kept] == [True]


# Guards against excusing a crash with nothing else in flight by an earlier completion.
def test_crash_with_only_a_request_that_completed_in_flight_makes_it_a_suspect():
    entry = quarantine.record_crash(None, X, crash(0.0), (), completed=True)
    status = quarantine.classify_request(entry, 1.0, completed=True)
    assert status is quarantine.RequestStatus.SUSPECT
