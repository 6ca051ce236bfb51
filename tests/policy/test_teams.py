import pytest

from cornelgrade import errors, routes
from cornelgrade.policy import route_table, teams

K1, K2, SHARED = map(teams.digest_key, (b"k1", b"k2", b"shared"))
TEAMS = (routes.Team("a", (K1, SHARED)), routes.Team("b", (K2, SHARED)), routes.Team("c"))


def make_table(plan_teams=TEAMS):
    return route_table.RouteTable(routes.Plan(1, (), (), teams=plan_teams))


# Guards against requests that are served without exactly one known key.
@pytest.mark.parametrize("digests", [(), (teams.digest_key(b"unknown"),), (K1, K1), (K1, K2)])
def test_request_without_exactly_one_known_key_is_unauthorized(digests):
    with pytest.raises(errors.Refusal) as caught:
        make_table().authenticate(digests, key_required=True)
    assert caught.value.code is errors.Code.UNAUTHORIZED
    assert make_table().authenticate(digests, key_required=False) is None


def test_key_identifies_its_team():
    assert make_table().authenticate((K2,), key_required=True).name == "b"
    assert make_table().authenticate((K2,), key_required=False).name == "b"


# Guards against VMs that disagree on the team of a key that an operator gave to two.
def test_key_of_two_teams_belongs_to_the_first():
    table = make_table()
    assert table.authenticate((SHARED,), key_required=True).name == "a"
    assert table.keys.shared == {SHARED}


def test_plan_without_teams_needs_no_keys_and_one_with_an_empty_list_does():
    assert make_table(None).authenticate((), key_required=True) is None
    with pytest.raises(errors.Refusal):
        make_table(()).authenticate((K1,), key_required=True)
