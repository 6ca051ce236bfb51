import pathlib
import time

import httpx
import msgspec
import pytest
import trio
from tests import samples

from cornelgrade import kernel, reports
from cornelgrade.adapters import peer_auth, peer_key
from cornelgrade.adapters import peer_histories as adapter
from cornelgrade.services import conditions, drain, histories, peer_histories, ports
from cornelgrade.services.web import access, app, operations, server
from cornelgrade.standins import local_ports

OPERATOR = {"Authorization": "Bearer operator"}
TEAM = {"Authorization": f"Bearer {samples.TEAM_KEY}"}


class Configuration:
    name = "configuration"

    def current(self) -> ports.AcceptedManifest:
        return ports.AcceptedManifest(samples.manifest(), 7)


class Membership:
    name = "membership"

    def __init__(self, view: ports.View) -> None:
        self._view = view

    def view(self) -> ports.View:
        return self._view


def member(vm: str, gateway_address: str) -> ports.Member:
    state = ports.MemberState.ALIVE
    unused_address = local_ports.free_address()
    return ports.Member(
        vm, "maipu", "santiago", 1, state, unused_address, unused_address, gateway_address
    )


class Vm:
    """A gateway that serves only the operations routes."""

    def __init__(self, name: str, view: ports.View, key_file: pathlib.Path) -> None:
        own_member = next(m for m in view.members if m.vm == name)
        self.cfg = samples.settings(
            vm=name,
            gateway_address=own_member.gateway_address,
            worker_address=own_member.worker_address,
            peer_key_file=str(key_file),
            operator_key_hashes=[access.hash_key("operator")],
        )
        self.kern = kernel.Kernel()
        self.histories = histories.Histories()
        web_app = app.create_app([operations.create_blueprint(self.kern, self.cfg)])
        for service in (Configuration(), Membership(view), self.histories, drain.Drain(0.0)):
            self.kern.add(service)
        self.kern.add(conditions.Conditions(self.kern, self.cfg))
        self.kern.add(peer_histories.PeerHistories(self.kern, self.cfg))
        self.web = server.WebServer(self.kern, self.cfg, web_app)
        self.web_app = web_app

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        async with trio.open_nursery() as nursery:
            history_service = self.kern.find("peer_histories", peer_histories.PeerHistories)
            await nursery.start(lambda task_status: history_service.run(task_status.started))
            await nursery.start(lambda task_status: self.web.run(task_status.started))
            task_status.started()
            await trio.sleep_forever()

    async def get(self, path: str, headers: dict[str, str]) -> httpx.Response:
        async with httpx.AsyncClient(trust_env=False) as client:
            return await client.get(f"http://{self.cfg.gateway_address}{path}", headers=headers)


@pytest.fixture
async def vms(nursery, tmp_path):
    key_file = tmp_path / "peer.key"
    key_file.write_text("5e" * 32)
    names = ("entry-1", "entry-2")
    view = ports.View("entry-1", tuple(member(name, local_ports.free_address()) for name in names))
    gateways = [Vm(name, view, key_file) for name in names]
    drain_services = [vm.kern.find("drain", drain.Drain) for vm in gateways]
    for vm in gateways:
        await nursery.start(vm.serve)
    yield gateways
    for drain_service in drain_services:
        drain_service.begin()
    nursery.cancel_scope.cancel()


async def test_history_merges_steps_of_all_vms_in_time_order(vms):
    vms[0].histories.record("clinic/r1", "admit", "Taken.")
    vms[1].histories.record("clinic/r1", "route", "Sent.", "engine-2")
    vms[1].histories.record("other/r1", "admit", "Of another team.")
    for headers, expected in ((TEAM, ["Taken.", "Sent."]), (OPERATOR, ["Taken.", "Sent."])):
        response = await vms[0].get("/v1/explain/r1", headers)
        history = msgspec.json.decode(response.content, type=reports.History)
        sentences = [s.sentence for s in history.steps if s.sentence != "Of another team."]
        assert sentences == expected
        assert [step.vm for step in history.steps][:2] == ["entry-1", "entry-2"]
        assert len(history.steps) == (2 if headers is TEAM else 3)
        assert history.silent == ("entry-1 worker", "entry-2 worker")


async def test_history_recorded_only_on_a_peer_is_returned(vms):
    vms[1].histories.record("clinic/j1/a b", "run", "Item ran.")
    response = await vms[0].get("/v1/explain/j1/a%20b", TEAM)
    assert [s.sentence for s in msgspec.json.decode(response.content, type=reports.History).steps]


@pytest.mark.parametrize("wrong", ["key", "path", "address", "old", "none"])
async def test_peer_histories_require_peer_authentication(vms, wrong):
    vms[1].histories.record("clinic/r1", "admit", "Taken.")
    key = peer_key.derive(b"other" if wrong == "key" else b"5e" * 32)
    address = "127.0.0.1:1" if wrong == "address" else vms[1].cfg.gateway_address
    path = adapter.signed_path(ports.HistoryScope.EXACT, "clinic/r1")
    now_s = time.time() - (120.0 if wrong == "old" else 0.0)
    signed = "/v1/peer/manifest" if wrong == "path" else path
    header, _ = peer_auth.make_auth_header(key, "entry-1", address, signed, now_s)
    headers = {} if wrong == "none" else {peer_auth.AUTH_HEADER: header}
    response = await vms[1].get(path, headers)
    assert response.status_code == 401
    assert "Taken" not in response.text
