"""Fakes of services and upstreams, for tests of single services."""

import contextlib
import dataclasses
import hashlib

import msgspec
import trio

from cornelgrade import manifest
from cornelgrade.adapters import engine
from cornelgrade.services import _subscriptions, ports

KEY = "key-of-clinic"


def make_manifest(
    upstreams: int = 3, slots: int = 2, versions: tuple[str, ...] = ("",), **changes
) -> manifest.Manifest:
    """Return a manifest with one model service, one plain service and one team.

    :param versions: software versions of the engines, assigned in turn.
    """
    domains = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
    base = manifest.Manifest(
        services=(
            manifest.Service(name="lishe-llm", models=("lishe",)),
            manifest.Service(name="refills", kind="plain", non_idempotent_routes=("/confirm",)),
        ),
        models=(manifest.Model(name="lishe"),),
        priorities=(
            manifest.Priority(name="urgent", rank=0, price=4.0),
            manifest.Priority(name="batch", rank=9),
        ),
        teams=(
            manifest.Team(
                name="clinics",
                key_hashes=(hashlib.sha256(KEY.encode()).hexdigest(),),
                priorities=("urgent", "batch"),
            ),
        ),
        upstreams=(
            *(
                manifest.Upstream(
                    name=f"engine-{i}",
                    service="lishe-llm",
                    failure_domain=domains[i % 3],
                    address=f"127.0.0.1:{9000 + i}",
                    slots=slots,
                    software_version=versions[i % len(versions)],
                )
                for i in range(upstreams)
            ),
            manifest.Upstream(
                name="refills-0",
                service="refills",
                failure_domain=domains[0],
                address="127.0.0.1:9100",
            ),
        ),
    )
    return manifest.Manifest(**{f: getattr(base, f) for f in base.__struct_fields__} | changes)


class FixedConfiguration:
    """The service ``configuration`` with a manifest that only a test changes."""

    name = "configuration"

    def __init__(self, initial: manifest.Manifest) -> None:
        self.accepted = ports.AcceptedManifest(initial, version=1)

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()

    def current(self) -> ports.AcceptedManifest:
        return self.accepted

    async def wait_newer(self, version: int) -> ports.AcceptedManifest:
        if version >= self.accepted.version:
            await trio.sleep_forever()
        return self.accepted


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """How a scripted upstream responds to one call.

    :param fail: progress of the error that is raised instead of a response.
    :param tokens: number of tokens in the complete stream.
    :param break_after: number of tokens after which the stream ends without its end marker.
    :param body: whole body that is sent in place of a stream.
    :param version: software version that the response names.
    """

    tokens: int = 4
    status: int = 200
    fail: engine.Progress | None = None
    break_after: int | None = None
    token_s: float = 0.01
    body: bytes = b""
    version: str = ""


class ScriptedResponse:
    """The response of a scripted upstream."""

    headers = (("content-type", "text/event-stream"),)

    def __init__(self, script: Script, resume_from: int) -> None:
        if script.version:
            self.headers += ((engine.SOFTWARE_VERSION_HEADER, script.version),)
        self.status = script.status
        self._script = script
        self._resume_from = resume_from

    async def chunks(self):
        if self._script.body:
            yield self._script.body
            return
        for index in range(self._resume_from, self._script.tokens):
            await trio.sleep(self._script.token_s)
            if index == self._script.break_after:
                return
            yield f"data: {index}\n\n".encode()
        yield engine.END_MARKER


class ScriptedUpstream:
    """Responds to each call as the next script says; the last script repeats."""

    def __init__(self, name: str, *scripts: Script, reachable: bool = True) -> None:
        self.name = name
        self.scripts = list(scripts) or [Script()]
        self.reachable = reachable
        self.calls: list[engine.Call] = []
        self.cancelled: list[str] = []

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        if script.fail is not engine.Progress.NOT_SENT:
            self.calls.append(call)
        await trio.sleep(script.token_s)
        if script.fail is not None:
            raise engine.CallError("scripted", step="send", peer=self.name, progress=script.fail)
        yield ScriptedResponse(script, call.resume_from)

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        self.cancelled.append(stream_id)
        return engine.Cancelled(found=True)

    async def load(self) -> engine.Load:
        if not self.reachable:
            raise engine.CallError(
                "down", step="connect", peer=self.name, progress=engine.Progress.NOT_SENT
            )
        return engine.Load(0, 0, 8)


class FakeUpstreams:
    """The service ``upstreams`` with fake upstreams."""

    name = "upstreams"

    def __init__(self, *upstreams) -> None:
        self.upstreams = {up.name: up for up in upstreams}

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()

    def get(self, name: str):
        return self.upstreams[name]


class Bus:
    """Delivers peer messages between the fake memberships of several VMs.

    :ivar cut: VMs that no other VM can reach.
    :ivar mute: VMs that receive nothing but can send.
    :ivar parts: groups of VMs; no message passes between a group and the rest.
    """

    def __init__(self, failure_domain: str = "dar-kariakoo") -> None:
        self._failure_domain = failure_domain
        self.members: dict[str, BusMember] = {}
        self.unreachable: set[str] = set()
        self.not_receiving: set[str] = set()
        self.partitions: tuple[frozenset[str], ...] = ()

    def join(self, vm: str, failure_domain: str = "") -> "BusMember":
        self.members[vm] = BusMember(self, vm, failure_domain or self._failure_domain)
        return self.members[vm]

    def is_partitioned(self, one: str, other: str) -> bool:
        if one in self.unreachable or other in self.unreachable:
            return True
        return any((one in part) != (other in part) for part in self.partitions)

    def view(self, vm: str) -> ports.View:
        return ports.View(vm, tuple(m.seen_by(vm) for m in self.members.values()))


class BusMember:
    """The service ``membership`` of one VM on a bus."""

    name = "membership"

    def __init__(self, bus: Bus, vm: str, failure_domain: str) -> None:
        self._bus = bus
        self.vm = vm
        self.failure_domain = failure_domain
        self.version = 0
        self.subscriptions = _subscriptions.Subscriptions()

    async def run(self, started) -> None:
        """Announce the current manifest version to the reachable VMs at intervals."""
        started()
        while True:
            await trio.sleep(0.5)
            for vm in self._list_reachable_vms():
                announcement = ports.VersionAnnounced(self.vm, self.version)
                self._bus.members[vm].subscriptions.deliver(announcement)

    def seen_by(self, vm: str) -> ports.Member:
        alive = self.vm == vm or not self._bus.is_partitioned(self.vm, vm)
        return ports.Member(
            vm=self.vm,
            failure_domain=self.failure_domain,
            region="local",
            incarnation=1,
            state=ports.MemberState.ALIVE if alive else ports.MemberState.DEAD,
            peer_address="",
            worker_address="",
            gateway_address="",
            manifest_version=self.version,
        )

    def view(self) -> ports.View:
        return self._bus.view(self.vm)

    def subscribe(self, kind):
        return self.subscriptions.subscribe(kind)

    def send(self, vm: str, message) -> None:
        if vm in self._bus.not_receiving or (
            vm != self.vm and self._bus.is_partitioned(self.vm, vm)
        ):
            return
        if isinstance(message, ports.Load | ports.Yield):
            message = msgspec.structs.replace(message, vm=self.vm)
        self._bus.members[vm].subscriptions.deliver(message)

    def broadcast(self, message) -> None:
        for vm in self._list_reachable_vms():
            self.send(vm, message)

    def set_version(self, version: int) -> None:
        self.version = max(self.version, version)

    def leave(self) -> None:
        self._bus.unreachable.add(self.vm)

    def _list_reachable_vms(self) -> list[str]:
        members = self._bus.members
        return [vm for vm in members if vm != self.vm and not self._bus.is_partitioned(self.vm, vm)]
