import dataclasses

import pytest

from cornelgrade import manifest
from cornelgrade.adapters import engine
from cornelgrade.policy import reconcile

OLD = engine.Loaded("m", 1, ("x",))
NEW = engine.Loaded("m", 2, ("x",))
NOW = 100.0
BOUNDS = reconcile.Bounds(NOW, 10.0, 10)
LATER = reconcile.Bounds(NOW, reconcile.UNLOAD_DELAY_S, 10)


def wanted(count, domain="d1", models=(NEW,), role="mixed"):
    return tuple(
        reconcile.DesiredEngine(f"{domain}-e{i}", "chat", domain, models, role)
        for i in range(count)
    )


def observed(items, *models, **changes):
    state = engine.EngineState(models or (OLD,))
    seen = reconcile.ObservedEngine(state)
    return {item.upstream: dataclasses.replace(seen, **changes) for item in items}


def test_manifest_determines_the_models_and_role_of_each_engine():
    made = manifest.Manifest(
        services=(manifest.Service("chat", models=("m",)), manifest.Service("p", "plain")),
        priorities=(),
        teams=(),
        upstreams=(
            manifest.Upstream("e1", "chat", "d1", "10.0.0.1:1", role="decode"),
            manifest.Upstream("p1", "p", "d1", "10.0.0.2:1"),
        ),
        models=(manifest.Model("m", 2, (manifest.Adapter("x"),)),),
    )
    assert reconcile.list_desired_engines(made) == (
        reconcile.DesiredEngine("e1", "chat", "d1", (NEW,), "decode"),
    )


@pytest.mark.parametrize(
    ("models", "role", "unload", "orders"),
    [
        ((NEW,), "mixed", True, []),
        ((), "mixed", True, ["load m version 2", "load m version 2 adapter x"]),
        ((OLD,), "mixed", True, ["load m version 2"]),
        ((engine.Loaded("m", 2),), "mixed", True, ["load m version 2 adapter x"]),
        ((NEW,), "decode", True, ["role mixed"]),
        ((NEW, engine.Loaded("old", 1)), "mixed", True, ["unload old"]),
        ((NEW, engine.Loaded("old", 1)), "mixed", False, []),
        ((engine.Loaded("m", 2, ("x", "y")),), "mixed", True, ["unload m adapter y"]),
    ],
)
def test_steps_that_an_engine_still_needs(models, role, unload, orders):
    state = engine.EngineState(models, role)
    found = reconcile.list_steps(wanted(1)[0], state, unload)
    assert [str(step) for step in found] == orders


@pytest.mark.parametrize(("engines", "limit"), [(1, 1), (2, 1), (3, 1), (6, 2), (200, 68)])
def test_number_of_engines_that_may_change_at_once(engines, limit):
    assert reconcile.max_changing(engines) == limit
    items = wanted(engines)
    bounds = dataclasses.replace(BOUNDS, loads=1000)
    assert len(reconcile.plan(items, observed(items), "d1", bounds).orders) == limit


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"state": None}, "it can't be reached"),
        ({"state": engine.EngineState((OLD,), leaving=True)}, "it is leaving"),
        ({"ordered": "load m version 2"}, "it carries out: load m version 2"),
    ],
)
def test_unavailable_engine_counts_against_the_limit_of_changing_engines(change, why):
    items = wanted(3)
    seen = observed(items)
    seen["d1-e0"] = dataclasses.replace(seen["d1-e0"], **change)
    plan = reconcile.plan(items, seen, "d1", BOUNDS)
    assert plan.orders == ()
    assert [s.why for s in plan.statuses][:2] == [
        why,
        "at most 1 of 3 engines of chat may change or be away at once",
    ]


def test_empty_engine_is_loaded_while_others_are_unavailable():
    items = wanted(3)
    seen = observed(items, NEW)
    seen["d1-e0"] = reconcile.ObservedEngine()
    seen["d1-e1"] = reconcile.ObservedEngine(engine.EngineState(()))
    plan = reconcile.plan(items, seen, "d1", BOUNDS)
    assert [give.upstream for give in plan.orders] == ["d1-e1"]


def test_failure_domains_change_one_after_another():
    first, second = wanted(2, "d1"), wanted(2, "d2")
    seen = {**observed(first), **observed(second)}
    plan = reconcile.plan(first + second, seen, "d2", BOUNDS)
    assert plan.orders == ()
    assert plan.statuses[0].why == "failure domain d1 changes first"
    seen.update(observed(first, NEW))
    assert len(reconcile.plan(first + second, seen, "d2", BOUNDS).orders) == 1


@pytest.mark.parametrize("bounds", [BOUNDS, dataclasses.replace(BOUNDS, manifest_age_s=900.0)])
def test_unreachable_or_stuck_failure_domain_does_not_block_others(bounds):
    first, second = wanted(2, "d1"), wanted(2, "d2")
    stuck = observed(first) if bounds.manifest_age_s >= 900.0 else {}
    plan = reconcile.plan(first + second, {**stuck, **observed(second)}, "d2", bounds)
    assert len(plan.orders) == 1


def test_loads_stay_within_the_weight_store_rate_limit():
    items = wanted(5)
    seen = observed(items, engine.Loaded("other", 1))
    plan = reconcile.plan(items, seen, "d1", dataclasses.replace(BOUNDS, loads=2))
    assert len(plan.orders) == 2
    assert plan.statuses[4].why == "the weight store's rate is used up"


def test_failed_order_is_retried_after_a_delay():
    items = wanted(1)
    seen = observed(items, refused="status 500", retry_at=NOW + 1)
    plan = reconcile.plan(items, seen, "d1", BOUNDS)
    assert plan.orders == ()
    assert "status 500" in plan.statuses[0].why
    seen = observed(items, refused="status 500", retry_at=NOW)
    assert len(reconcile.plan(items, seen, "d1", BOUNDS).orders) == 1


def test_models_no_longer_desired_are_unloaded_after_a_delay():
    items = wanted(1)
    seen = observed(items, NEW, engine.Loaded("old", 1))
    early = reconcile.plan(items, seen, "d1", BOUNDS)
    assert early.orders == ()
    assert early.statuses[0].why == "what is not wanted any more stays for a while"
    late = reconcile.plan(items, seen, "d1", LATER)
    assert [str(give.step) for give in late.orders] == ["unload old"]


def test_status_describes_the_desired_and_observed_state():
    items = wanted(1)
    standing = reconcile.plan(items, observed(items), "d1", BOUNDS).statuses[0]
    assert standing == reconcile.EngineStatus(
        "d1-e0",
        "m version 2 + x; role mixed",
        "m version 1 + x; role mixed",
        "ordered: load m version 2",
    )
