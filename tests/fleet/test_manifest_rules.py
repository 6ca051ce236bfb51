import msgspec
import pytest

from cornelgrade import errors, manifest
from cornelgrade.policy import acceptance, manifest_rules


def sample(**changes):
    made = manifest.Manifest(
        services=(manifest.Service("chat", models=("m",)), manifest.Service("refill", "plain")),
        priorities=(manifest.Priority("high", 0), manifest.Priority("low", 9)),
        teams=(manifest.Team("nurses", ("a" * 64,), ("high",)),),
        upstreams=(
            manifest.Upstream("e1", "chat", "d1", "10.0.0.1:80"),
            manifest.Upstream("e2", "chat", "d2", "10.0.0.2:80"),
            manifest.Upstream("p1", "refill", "d1", "10.0.0.3:80"),
        ),
        models=(manifest.Model("m", adapters=(manifest.Adapter("x"),)),),
    )
    return msgspec.structs.replace(made, **changes)


def team(name="nurses", key="a", priorities=("high",), **rest):
    return manifest.Team(name, (key * 64,), priorities, **rest)


SAMPLE = sample()
E1, E2, P1 = SAMPLE.upstreams
CHAT, REFILL = SAMPLE.services


def test_valid_manifest_has_no_problems():
    assert manifest_rules.find_problems(SAMPLE) == ()


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        (
            {"services": (manifest.Service("chat", models=("n",)), REFILL)},
            "services[0].models[0]: unknown model n",
        ),
        (
            {"services": (CHAT, manifest.Service("refill", "plain", ("m",)))},
            "services[1].models: a plain service has no models",
        ),
        (
            {"services": (CHAT, REFILL, manifest.Service("idle"))},
            "services[2]: no upstream serves idle",
        ),
        (
            {"services": (CHAT, REFILL, CHAT)},
            "services[2].name: name chat is already at services[0].name",
        ),
        ({"teams": (team(priorities=("odd",)),)}, "teams[0].priorities[0]: unknown priority odd"),
        (
            {"teams": (team(), team("other"))},
            "teams[1].key_hashes[0]: key is already team nurses's",
        ),
        (
            {"teams": (team(burst=9999),)},
            "teams[0].burst: 9999 is over queue_limit plus all slots (536)",
        ),
        (
            {"upstreams": (E1, P1, msgspec.structs.replace(E2, service="gone"))},
            "upstreams[2].service: unknown service gone",
        ),
        (
            {"upstreams": (E1, P1, msgspec.structs.replace(E2, address=E1.address))},
            "upstreams[2].address: address 10.0.0.1:80 is already at upstreams[0].address",
        ),
        (
            {"upstreams": (msgspec.structs.replace(E1, role="prefill"), P1)},
            "services[0]: every upstream of chat has the role prefill",
        ),
        (
            {
                "models": (
                    manifest.Model("m", 1, (manifest.Adapter("x"), manifest.Adapter("x", 2))),
                )
            },
            "models[0].adapters[1].name: adapter x is already at models[0].adapters[0].name",
        ),
    ],
)
def test_each_error_is_reported_with_its_path(changes, problem):
    assert manifest_rules.find_problems(sample(**changes)) == (f"$.{problem}",)


def test_all_errors_are_reported_together():
    broken = sample(models=(), priorities=())
    assert len(manifest_rules.find_problems(broken)) == 2


def test_name_used_by_an_open_job_may_not_be_removed():
    uses = manifest_rules.NamesInUse(models=frozenset({"m", "old"}), teams=frozenset({"nurses"}))
    assert manifest_rules.find_problems(SAMPLE, uses) == (
        "$.models: old is missing, but an open job uses it",
    )


def test_malformed_manifest_is_reported_with_the_path():
    with pytest.raises(errors.BadInputError, match=r"\$.services"):
        manifest_rules.decode(b'{"services": 3}')


def test_difference_lists_added_removed_and_changed_entries():
    yours = sample(
        upstreams=(msgspec.structs.replace(E1, slots=4), P1),
        priorities=(*SAMPLE.priorities, manifest.Priority("mid", 5)),
    )
    assert manifest_rules.describe_differences(SAMPLE, yours) == (
        "priorities.mid only in yours; upstreams.e1.slots 8 in theirs, 4 in yours; "
        "upstreams.e2 only in theirs"
    )
    assert manifest_rules.describe_differences(SAMPLE, SAMPLE) == "none"


# Guards against a manifest that VMs with an earlier build reject during a rolling update.
def test_software_version_is_encoded_only_if_the_operator_names_one():
    assert b"software_version" not in manifest_rules.encode(SAMPLE)
    named = sample(upstreams=(msgspec.structs.replace(E1, software_version="v2"), E2, P1))
    assert manifest_rules.decode(manifest_rules.encode(named)) == named
    difference = manifest_rules.describe_differences(SAMPLE, named)
    assert difference == "upstreams.e1.software_version unset in theirs, v2 in yours"


def kept(*entries):
    made = tuple(acceptance.Acceptance(digest, base, 0.0, "vm") for digest, base in entries)
    return acceptance.StoredManifest(msgspec.Raw(b"{}"), made)


HISTORY = kept(("a", 0), ("b", 3), ("c", 7))


@pytest.mark.parametrize(
    ("stored", "version", "digest", "if_match", "expected"),
    [
        (None, 0, "a", None, ("write", 0)),
        (None, 0, "a", 4, ("stale", 0)),
        (HISTORY, 9, "d", 9, ("write", 9)),
        (HISTORY, 9, "d", None, ("stale", 9)),
        (HISTORY, 9, "d", 7, ("stale", 9)),
        (HISTORY, 9, "c", 7, ("same", 9)),
        (HISTORY, 9, "c", 9, ("same", 9)),
        (HISTORY, 9, "b", 3, ("same", 7)),
        (HISTORY, 9, "a", None, ("same", 3)),
        (HISTORY, 9, "b", 9, ("write", 9)),
    ],
)
def test_submission_is_new_already_accepted_or_out_of_date(
    stored, version, digest, if_match, expected
):
    found = acceptance.decide(stored, version, digest, if_match)
    assert (found.outcome.value, found.version) == expected
