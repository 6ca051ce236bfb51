"""Run stand-ins, a gateway and a worker on loopback in one process, for ``cornelgrade dev``."""

import contextlib
import dataclasses
import hashlib
import importlib
import pathlib
import secrets
import signal
import socket
import tempfile
from collections.abc import AsyncIterator, Iterator
from typing import Protocol

import httpx
import msgspec
import trio

from cornelgrade import errors, manifest, settings
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_http, engine_model, plain_service, platform_http

HOST = "127.0.0.1"
GATEWAY_PORT = 8080
FAILURE_DOMAINS = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
ENGINES_PER_DOMAIN = 2
MODEL = "lishe-llm"
PLAIN = "refills"
TEAM_KEY = "dev-key"
OPERATOR_KEY = "dev-operator-key"
SUBMIT_TIMEOUT_S = 10.0
SUBMIT_PAUSE_S = 0.1
_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
_LINES = """\
Listening on {url}  (Ctrl-C drains it)

curl -N {url}/v1/completions -H 'Authorization: Bearer {key}' \
-d '{{"model": "{model}", "prompt": "How much iron a day?", "max_tokens": 20, "stream": true}}'
curl {url}/v1/services/{plain}/confirmations -H 'Authorization: Bearer {key}' \
-H 'Idempotency-Key: refill-1' -d '{{}}'
curl {url}/v1/status -H 'Authorization: Bearer {operator_key}'
"""


class Program(Protocol):
    """A daemon that can run beside others in one process."""

    async def __call__(
        self,
        cfg: settings.Settings,
        stopping: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until drained, which begins when ``stopping`` is set."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What runs on loopback.

    :param wanted: the manifest that names the stand-ins.
    """

    platform: platform_http.PlatformServer
    platform_url: str
    wanted: manifest.Manifest


def run(programs: tuple[Program, ...] | None = None) -> None:
    """Run until interrupted, then drain."""
    trio.run(serve, programs if programs is not None else _default_programs())


async def serve(
    programs: tuple[Program, ...],
    stopping: trio.Event | None = None,
    gateway_port: int = GATEWAY_PORT,
    task_status: trio.TaskStatus[settings.Settings] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run stand-ins and programs; print how to call them once the manifest is in force.

    :param stopping: begins the shutdown, as a signal does.
    :param gateway_port: preferred port; another one is taken if it is in use.
    """
    stopping = stopping if stopping is not None else trio.Event()
    async with _fleet() as fleet, trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signals, stopping, nursery.cancel_scope)
        with _settings(fleet, gateway_port) as cfg:
            async with trio.open_nursery() as running:
                for program in programs:
                    await running.start(program, cfg, stopping)
                url = f"http://{cfg.gateway_address}"
                await _submit(url, fleet.wanted)
                print(_welcome(url), flush=True)
                task_status.started(cfg)
        nursery.cancel_scope.cancel()


def _default_programs() -> tuple[Program, ...]:
    daemons = importlib.import_module("cornelgrade.daemons")
    return (daemons.serve_gateway, daemons.serve_worker)


def _welcome(url: str) -> str:
    return _LINES.format(url=url, key=TEAM_KEY, operator_key=OPERATOR_KEY, model=MODEL, plain=PLAIN)


async def _follow_signals(stopping: trio.Event, scope: trio.CancelScope) -> None:
    """Drain at the first signal, end at once at the second."""
    with trio.open_signal_receiver(*_STOP_SIGNALS) as received:
        async for _ in received:
            if stopping.is_set():
                scope.cancel()
            stopping.set()


@contextlib.asynccontextmanager
async def _fleet() -> AsyncIterator[Fleet]:
    """Run the stand-ins."""
    async with trio.open_nursery() as nursery:
        platform = platform_http.PlatformServer()
        address = await nursery.start(platform.serve, f"{HOST}:0")
        upstreams = [await _plain(nursery)]
        for domain in FAILURE_DOMAINS:
            for number in range(1, ENGINES_PER_DOMAIN + 1):
                upstreams.append(await _engine(nursery, domain, number))
        yield Fleet(platform, f"http://{address}", _manifest(tuple(upstreams)))
        nursery.cancel_scope.cancel()


async def _plain(nursery: trio.Nursery) -> manifest.Upstream:
    server = plain_service.PlainServer(plain_service.PlainService(PLAIN))
    address = await nursery.start(server.serve, f"{HOST}:0")
    return manifest.Upstream(
        name=PLAIN, service=PLAIN, failure_domain=FAILURE_DOMAINS[0], address=address
    )


async def _engine(nursery: trio.Nursery, domain: str, number: int) -> manifest.Upstream:
    name = f"{MODEL}-{domain.removeprefix('dar-')}-{number}"
    cfg = engine_model.Config(checks_fencing=True)
    server = engine_http.EngineServer(engine_standin.Engine(name, cfg))
    address = await nursery.start(server.serve, f"{HOST}:0")
    return manifest.Upstream(
        name=name,
        service=MODEL,
        failure_domain=domain,
        address=address,
        slots=cfg.slots,
        checks_fencing=True,
    )


def _manifest(upstreams: tuple[manifest.Upstream, ...]) -> manifest.Manifest:
    online = manifest.Priority(name="dosage-question", rank=0, price=10.0)
    batch = manifest.Priority(name="district-notes", rank=10, price=1.0)
    team = manifest.Team(
        name="clinics",
        key_hashes=(_digest(TEAM_KEY),),
        priorities=(online.name, batch.name),
    )
    return manifest.Manifest(
        services=(
            manifest.Service(name=MODEL, models=(MODEL,)),
            manifest.Service(name=PLAIN, kind="plain", non_idempotent_routes=("/confirmations",)),
        ),
        models=(manifest.Model(name=MODEL),),
        priorities=(online, batch),
        teams=(team,),
        upstreams=upstreams,
    )


@contextlib.contextmanager
def _settings(fleet: Fleet, gateway_port: int) -> Iterator[settings.Settings]:
    """Give the one VM's settings; its peer key lives as long as the context."""
    with tempfile.TemporaryDirectory() as folder:
        key_file = pathlib.Path(folder) / "peer.key"
        key_file.write_text(secrets.token_hex(32))
        peer_port = _free_port(socket.SOCK_DGRAM)
        peer = f"{HOST}:{peer_port}"
        yield settings.Settings(
            vm="dev-1",
            failure_domain=FAILURE_DOMAINS[0],
            gateway_address=f"{HOST}:{_free_port(socket.SOCK_STREAM, gateway_port)}",
            peer_address=peer,
            worker_address=f"{HOST}:{_free_port(socket.SOCK_DGRAM, avoid=peer_port)}",
            seeds=(peer,),
            platform_url=fleet.platform_url,
            peer_key_file=str(key_file),
            operator_key_hashes=(_digest(OPERATOR_KEY),),
            drain_grace_s=0.0,
        )


async def _submit(url: str, wanted: manifest.Manifest) -> None:
    """Put the manifest as an operator would.

    :raises NotReachableError: if the gateway does not take it in time.
    """
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    body = msgspec.json.encode(wanted)
    problem = "no answer"
    async with httpx.AsyncClient(base_url=url, headers=headers, trust_env=False) as client:
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while True:
                try:
                    res = await client.put("/v1/manifest", content=body)
                except httpx.TransportError as exc:
                    problem = repr(exc)
                else:
                    if res.is_success:
                        return
                    problem = f"{res.status_code} {res.text}"
                await trio.sleep(SUBMIT_PAUSE_S)
    raise errors.NotReachableError(problem, step="put manifest", peer=url)


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _free_port(kind: socket.SocketKind, preferred: int = 0, avoid: int = 0) -> int:
    """Find a free port, the preferred one if it is free."""
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            if kind is socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, preferred))
            except OSError:
                preferred = 0
                continue
            port = sock.getsockname()[1]
        if port != avoid:
            return port
