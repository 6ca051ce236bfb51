import pytest

from cornelgrade import routes
from cornelgrade.policy import software_versions

LIFETIME_S = software_versions.STREAM_LIFETIME_S


def upstream(version, service="llm", started_ms=0):
    return routes.Upstream("u", service, "a:1", "north", 8, started_ms=started_ms, version=version)


def list_versions(history, now_s):
    return sorted(origin.version for origin in history.list_origins("llm", now_s))


# Guards against forgetting a version whose last upstream has just left.
@pytest.mark.parametrize(("later_s", "versions"), [(0.0, ["v1", "v2"]), (LIFETIME_S + 1, ["v2"])])
def test_version_counts_until_no_stream_of_it_is_taken_up_any_more(later_s, versions):
    history = software_versions.VersionHistory(0.0)
    history.observe((upstream("v1"),), 0.0)
    history.observe((upstream("v2"),), 500.0)
    assert list_versions(history, 500.0 + later_s) == versions


def test_versions_of_other_services_do_not_count():
    history = software_versions.VersionHistory(0.0)
    history.observe((upstream("v1"), upstream("v2", service="other")), 0.0)
    assert list_versions(history, 0.0) == ["v1"]


# Guards against trusting the history of a process that has just started.
def test_history_is_complete_only_after_the_lifetime_of_a_stream():
    history = software_versions.VersionHistory(100.0)
    assert not history.is_complete(105.0)
    assert not history.is_complete(100.0 + LIFETIME_S - 1)
    assert history.is_complete(100.0 + LIFETIME_S)


@pytest.mark.parametrize(("started_s", "recent"), [(0.0, True), (930.0, False), (950.0, True)])
def test_upstream_that_started_recently_may_have_replaced_another(started_s, recent):
    upstreams = (upstream("v1", started_ms=int(started_s * 1000)),)
    assert software_versions.has_recent_start(upstreams, "llm", 1_000.0) is recent
