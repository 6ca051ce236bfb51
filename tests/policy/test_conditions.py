import msgspec
import pytest
from tests import samples

from cornelgrade import reports
from cornelgrade.policy import conditions
from cornelgrade.services import ports

MEMBER = ports.Member(
    vm="entry-1",
    failure_domain="maipu",
    region="santiago",
    incarnation=1,
    state=ports.MemberState.ALIVE,
    peer_address="127.0.0.1:1",
    worker_address="127.0.0.1:2",
    gateway_address="127.0.0.1:3",
    manifest_version=7,
)


def other(**change) -> ports.Member:
    return msgspec.structs.replace(MEMBER, vm="entry-2", **change)


def view(*others: ports.Member) -> ports.View:
    return ports.View("entry-1", (MEMBER, *others))


def accepted(version=7, confirmed=True) -> ports.AcceptedManifest:
    return ports.AcceptedManifest(samples.manifest(), version, confirmed)


@pytest.mark.parametrize(
    ("seen", "in_force", "state", "expected"),
    [
        (view(other()), accepted(), "up", ()),
        (None, None, "up", ("no manifest is in force",)),
        (
            view(),
            accepted(confirmed=False),
            "up",
            ("manifest version 7 is not confirmed by the platform",),
        ),
        (
            view(other(state=ports.MemberState.SUSPECT)),
            accepted(),
            "up",
            ("VM entry-2 does not answer probes",),
        ),
        (
            view(other(manifest_version=6, state=ports.MemberState.DEAD)),
            accepted(),
            "up",
            ("VM entry-2 is dead",),
        ),
        (
            view(other(manifest_version=6)),
            accepted(),
            "up",
            ("VM entry-2 is behind in its manifest",),
        ),
        (
            view(other(manifest_version=8)),
            accepted(),
            "up",
            ("VM entry-1 is behind in its manifest",),
        ),
        (view(), accepted(), "leaving", ("upstream engine-1 is leaving",)),
    ],
)
def test_each_degraded_condition_is_described(seen, in_force, state, expected):
    upstream = reports.UpstreamReport("engine-1", "maipu", state)
    assert conditions.list_conditions(seen, in_force, [upstream]) == expected


def test_own_manifest_version_is_the_one_in_force():
    (mine,) = conditions.members(view(), version=9)
    assert (mine.manifest_version, mine.behind) == (9, False)


def test_start_time_is_kept_until_a_condition_ends():
    known = conditions.track_start_times({}, ["a", "b"], 1.0)
    known = conditions.track_start_times(known, ["b", "c"], 2.0)
    assert known == {"b": 1.0, "c": 2.0}
    assert conditions.track_start_times(known, ["a"], 3.0) == {"a": 3.0}
