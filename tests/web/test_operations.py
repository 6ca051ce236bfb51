import itertools
import pathlib

import msgspec
import pytest
from tests import samples

from cornelgrade import errors, kernel, reports
from cornelgrade.adapters import platform
from cornelgrade.services import conditions, drain, histories, ports
from cornelgrade.services.web import access, app, operations


class Configuration:
    name = "configuration"

    def __init__(self, accepted: ports.AcceptedManifest | None) -> None:
        self.accepted = accepted

    def current(self) -> ports.AcceptedManifest | None:
        return self.accepted


class Reporter:
    name = "reporter"

    def __init__(self) -> None:
        self.current_report = reports.Report()

    def report(self) -> reports.Report:
        return self.current_report


class Recorded:
    """Fake durable records with one job at risk."""

    def __init__(self) -> None:
        self.unavailable = False

    async def get_steps(self, team: str, identifier: str) -> tuple[ports.Step, ...]:
        sentences = {("clinic", "j1"): "Accepted with 3 items."}
        sentence = sentences.get((team, identifier))
        return (ports.Step(1.0, "accept", sentence),) if sentence else ()

    async def at_risk(self) -> tuple[reports.JobAtRisk, ...]:
        if self.unavailable:
            raise platform.UnavailableError("no answer in 2 s", step="list")
        return (reports.JobAtRisk("j1", 99.0, "3 items left"),)


class OperationsClient:
    """A client of the operations routes over fake services."""

    def __init__(self, key_file: pathlib.Path) -> None:
        ticks = itertools.count(100)
        key_file.write_text("5e" * 32)
        cfg = samples.settings(
            operator_key_hashes=[access.hash_key("operator")], peer_key_file=str(key_file)
        )
        self.kern = kernel.Kernel()
        self.configuration = Configuration(ports.AcceptedManifest(samples.manifest(), 7))
        self.reporter = Reporter()
        self.histories = histories.Histories(now_s=lambda: float(next(ticks)))
        self.drain = drain.Drain(1.0)
        conditions_service = conditions.Conditions(self.kern, cfg, now_s=lambda: float(next(ticks)))
        for service in (
            self.configuration,
            self.reporter,
            self.histories,
            self.drain,
            conditions_service,
        ):
            self.kern.add(service)
        self.recorded = Recorded()
        routes = operations.create_blueprint(self.kern, cfg, recorded=self.recorded)
        self.client = app.create_app([routes]).test_client()

    async def get(self, path: str, key: str = "operator"):
        return await self.client.get(path, headers={"Authorization": f"Bearer {key}"})

    async def status(self) -> reports.Status:
        response = await self.get("/v1/status")
        assert response.status_code == 200
        return msgspec.json.decode(await response.get_data(), type=reports.Status)


@pytest.fixture
def system(tmp_path) -> OperationsClient:
    return OperationsClient(tmp_path / "peer.key")


async def test_status_shows_manifest_version_and_no_degraded_condition(system):
    status = await system.status()
    assert (status.vm, status.manifest_version, status.ready) == ("entry-1", 7, True)
    assert status.degraded == ()


async def test_degraded_condition_keeps_its_start_time(system):
    system.reporter.current_report = reports.Report(
        degraded=(reports.Degraded("platform unreachable"),),
        upstreams=(reports.UpstreamReport("engine-1", "maipu", "down"),),
    )
    first = await system.status()
    second = await system.status()
    assert [item.what for item in first.degraded] == [
        "platform unreachable",
        "upstream engine-1 is down",
    ]
    assert second.degraded == first.degraded
    assert second.upstreams[0].since_s == first.upstreams[0].since_s > 0
    system.reporter.current_report = reports.Report()
    assert (await system.status()).degraded == ()


async def test_start_time_from_a_service_is_kept(system):
    system.reporter.current_report = reports.Report(
        degraded=(reports.Degraded("slow", since_s=5.0),)
    )
    assert (await system.status()).degraded[0].since_s == 5.0


@pytest.mark.parametrize(("key", "status"), [("clinic-key", 403), ("wrong", 403)])
async def test_status_requires_operator_key(system, key, status):
    assert (await system.get("/v1/status", key)).status_code == status


@pytest.mark.parametrize(
    ("key", "identifier", "sentences"),
    [
        ("clinic-key", "r1", ["Taken.", "Sent."]),
        ("operator", "clinic/r1", ["Taken.", "Sent."]),
        ("operator", "r1", ["Taken.", "Other team.", "Sent."]),
        ("clinic-key", "other/r1", None),
        ("clinic-key", "manifest/7", None),
        ("operator", "manifest/7", ["Accepted."]),
        ("operator", "r9", None),
    ],
)
async def test_team_reads_only_its_own_histories_and_operator_reads_all(
    system, key, identifier, sentences
):
    system.histories.record("clinic/r1", "admit", "Taken.")
    system.histories.record("other/r1", "admit", "Other team.")
    system.histories.record("manifest/7", "accept", "Accepted.")
    system.histories.record("clinic/r1", "route", "Sent.", peer="engine-1")
    response = await system.get(f"/v1/explain/{identifier}", key)
    if sentences is None:
        assert response.status_code == errors.STATUS[errors.Code.NOT_FOUND]
        return
    history = msgspec.json.decode(await response.get_data(), type=reports.History)
    assert [step.sentence for step in history.steps] == sentences
    assert {step.vm for step in history.steps} == {"entry-1"}


@pytest.mark.parametrize(
    ("key", "identifier", "status"),
    [
        ("clinic-key", "j1", 200),
        ("operator", "clinic/j1", 200),
        ("operator", "j1", 404),
        ("clinic-key", "clinic/j1", 404),
    ],
)
async def test_recorded_history_is_returned_to_its_team_and_operators(
    system, key, identifier, status
):
    response = await system.get(f"/v1/explain/{identifier}", key)
    assert response.status_code == status
    assert ("3 items" in await response.get_data(as_text=True)) == (status == 200)


async def test_operator_reads_durable_record_by_bare_id_with_local_history(system):
    system.histories.record("clinic/j1", "submit", "Submitted.")
    response = await system.get("/v1/explain/j1")
    history = msgspec.json.decode(await response.get_data(), type=reports.History)
    assert [step.sentence for step in history.steps] == ["Accepted with 3 items.", "Submitted."]


async def test_status_names_jobs_at_risk_or_that_they_cannot_be_read(system):
    assert [job.id for job in (await system.status()).jobs_at_risk] == ["j1"]
    system.recorded.unavailable = True
    status = await system.status()
    assert status.jobs_at_risk == ()
    assert "jobs at risk cannot be read: no answer in 2 s" in status.degraded[0].what


@pytest.mark.parametrize("path", ["/v1/status", "/v1/explain/r1"])
async def test_request_without_key_is_unauthorized(system, path):
    response = await system.client.get(path)
    body = msgspec.json.decode(await response.get_data(), type=errors.ErrorBody)
    assert (response.status_code, body.error.ran) == (401, "no")


async def test_readiness_requires_manifest_and_no_drain(system):
    assert (await system.get("/readyz")).status_code == 200
    system.drain.phase = drain.Phase.NOT_READY
    assert (await system.get("/readyz")).status_code == 503
    system.drain.phase = drain.Phase.SERVING
    system.configuration.accepted = None
    assert (await system.get("/readyz")).status_code == 503
    assert (await system.get("/healthz")).status_code == 200


async def test_metrics_are_rendered_as_text(system):
    await system.status()
    response = await system.get("/metrics")
    assert response.content_type.startswith("text/plain")
    assert b"cornelgrade_degraded_conditions 0" in await response.get_data()
