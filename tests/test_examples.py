import pathlib

import pytest

from cornelgrade import validation

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
SIZES = [
    ("afya-bora", ("dar-kariakoo", "dar-msasani", "dar-ubungo"), "lishe-llm", 6, 6),
    ("central-andina", ("providencia", "maipu", "nunoa"), "licencia-llm", 9, 9),
]


@pytest.mark.parametrize(("folder", "domains", "service", "engines", "vms"), SIZES)
def test_example_matches_the_size_of_its_deployment(folder, domains, service, engines, vms):
    loaded = validation.load_manifest((EXAMPLES / folder / "manifest.json").read_bytes())
    served = [up for up in loaded.upstreams if up.service == service]
    assert len(served) == engines
    assert {up.failure_domain for up in served} == set(domains)
    paths = sorted((EXAMPLES / folder).glob("settings-*.json"))
    all_settings = [validation.load_settings(str(path)) for path in paths]
    assert [path.stem for path in paths] == [f"settings-{cfg.vm}" for cfg in all_settings]
    assert len(all_settings) == vms
    assert {cfg.failure_domain for cfg in all_settings} == set(domains)
    addresses = {a for cfg in all_settings for a in (cfg.gateway_address, cfg.peer_address)}
    assert len(addresses) == 2 * vms


@pytest.mark.parametrize("folder", [row[0] for row in SIZES])
def test_example_manifest_references_only_defined_names(folder):
    loaded = validation.load_manifest((EXAMPLES / folder / "manifest.json").read_bytes())
    services = {service.name for service in loaded.services}
    assert {up.service for up in loaded.upstreams} == services
    models = {model for service in loaded.services for model in service.models}
    assert models == {model.name for model in loaded.models}
    priorities = {priority.name for priority in loaded.priorities}
    assert {name for team in loaded.teams for name in team.priorities} == priorities
    plain = [service for service in loaded.services if service.kind == "plain"]
    assert all(service.non_idempotent_routes for service in plain)
