import pytest

from cornelgrade.policy import crash_sightings, quarantine


def sighting(crash=1, at_s=0.0, **how):
    return crash_sightings.Sighting(crash, at_s, **how)


# Guards against adding up one crash over the processes that saw it.
@pytest.mark.parametrize(
    ("exact", "apart_s", "crashes"), [(False, 1.0, 1), (False, 3.0, 2), (True, 30.0, 1)]
)
def test_crash_seen_by_two_processes_counts_once(exact, apart_s, crashes):
    own, other = sighting(exact=exact), sighting(at_s=apart_s, exact=exact)
    assert len(crash_sightings.merge_sightings((own,), (other,))) == crashes


def test_crashes_of_different_starts_differ():
    ids = {crash_sightings.identify_crash("u1", started_ms) for started_ms in (0, 1, 2)}
    assert len(ids) == 3


def test_crash_is_weak_only_if_every_process_says_so():
    weak = sighting(weak=True)
    assert crash_sightings.merge_sightings((weak,), (weak,))[0].weak
    assert not crash_sightings.merge_sightings((weak,), (sighting(attributed=True),))[0].weak


# Guards against adding up what one process tells of a crash at different times.
def test_newer_word_of_a_process_replaces_its_earlier_one():
    entry = quarantine.Entry()
    for told in (sighting(), sighting(at_s=9.0, weak=True)):
        count = quarantine.PeerCount("p", 0, 1, (told,))
        entry = quarantine.merge_peer_count(entry, count, 10.0, 0.0)
    assert entry.peer_counts[0].sightings == (sighting(at_s=9.0, weak=True),)


# Guards against reports that come again, slightly late, and count as news: a quarantined item would
# never run again, and processes would go on telling each other.
def test_report_that_comes_again_does_not_move_the_time_of_the_last_crash():
    entry = quarantine.Entry()
    for now_s in (1.0, 2.0, 3.5):
        told = tuple(sighting(crash, at_s=crash + now_s / 10) for crash in (1, 2))
        count = quarantine.PeerCount("p", 1, 2, told)
        entry = quarantine.merge_peer_count(entry, count, 10.0, now_s)
    assert entry.last_crash_s == 1.0


# Guards against counting a crash once for each of many processes that saw a request at it.
def test_crashes_seen_by_many_processes_do_not_add_up():
    entry = quarantine.Entry()
    for number in range(quarantine.MAX_PEER_COUNTS):
        count = quarantine.PeerCount(f"p{number}", 1, 1, (sighting(attributed=True),))
        entry = quarantine.merge_peer_count(entry, count, 10.0, 0.0)
    assert (quarantine.crashes(entry), quarantine.crashes_seen(entry)) == (1, 1)


# Guards against trusting only own counts of processes whose programs send no sightings.
def test_counts_without_sightings_still_add_up():
    entry = quarantine.Entry()
    for source in ("p1", "p2"):
        count = quarantine.PeerCount(source, 1, 1)
        entry = quarantine.merge_peer_count(entry, count, 10.0, 0.0)
    assert (quarantine.crashes(entry), quarantine.crashes_seen(entry)) == (2, 2)
