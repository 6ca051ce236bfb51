import pathlib

import pytest

from cornelgrade import validation

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
SIZES = [
    ("afya-bora", ("dar-kariakoo", "dar-msasani", "dar-ubungo"), "lishe-llm", 6, 6),
    ("central-andina", ("providencia", "maipu", "nunoa"), "licencia-llm", 9, 9),
]


@pytest.mark.parametrize(("folder", "domains", "service", "engines", "vms"), SIZES)
def test_example_has_the_deployments_names_and_sizes(folder, domains, service, engines, vms):
    wanted = validation.load_manifest((EXAMPLES / folder / "manifest.json").read_bytes())
    served = [up for up in wanted.upstreams if up.service == service]
    assert len(served) == engines
    assert {up.failure_domain for up in served} == set(domains)
    paths = sorted((EXAMPLES / folder).glob("settings-*.json"))
    found = [validation.load_settings(str(path)) for path in paths]
    assert [path.stem for path in paths] == [f"settings-{cfg.vm}" for cfg in found]
    assert len(found) == vms
    assert {cfg.failure_domain for cfg in found} == set(domains)
    addresses = {a for cfg in found for a in (cfg.gateway_address, cfg.peer_address)}
    assert len(addresses) == 2 * vms


@pytest.mark.parametrize("folder", [row[0] for row in SIZES])
def test_example_manifest_names_only_what_it_defines(folder):
    wanted = validation.load_manifest((EXAMPLES / folder / "manifest.json").read_bytes())
    services = {service.name for service in wanted.services}
    assert {up.service for up in wanted.upstreams} == services
    models = {model for service in wanted.services for model in service.models}
    assert models == {model.name for model in wanted.models}
    priorities = {priority.name for priority in wanted.priorities}
    assert {name for team in wanted.teams for name in team.priorities} == priorities
    plain = [service for service in wanted.services if service.kind == "plain"]
    assert all(service.non_idempotent_routes for service in plain)
