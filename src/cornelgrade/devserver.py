"""Run stand-ins, a gateway and a worker on loopback in one process, for ``cornelgrade dev``."""

import contextlib
import dataclasses
import hashlib
import importlib
import pathlib
import secrets
import signal
import tempfile
from collections.abc import AsyncIterator, Collection, Iterator
from typing import Protocol

import httpx
import msgspec
import trio

from cornelgrade import errors, manifest, settings
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import (
    engine_http,
    engine_model,
    local_ports,
    plain_service,
    platform_http,
)

HOST = "127.0.0.1"
GATEWAY_PORT = 8080
FAILURE_DOMAINS = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
ENGINES_PER_DOMAIN = 2
MODEL = "lishe-llm"
PLAIN_SERVICE = "refills"
TEAM_KEY = "dev-key"
OPERATOR_KEY = "dev-operator-key"
SUBMIT_TIMEOUT_S = 10.0
SUBMIT_RETRY_INTERVAL_S = 0.1
_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
_INSTRUCTIONS = """\
Listening on {url}  (Ctrl-C drains it)

curl -N {url}/v1/completions -H 'Authorization: Bearer {key}' \
-d '{{"model": "{model}", "prompt": "How much iron a day?", "max_tokens": 20, "stream": true}}'
curl {url}/v1/services/{plain}/confirmations -H 'Authorization: Bearer {key}' \
-H 'Idempotency-Key: refill-1' -d '{{}}'
curl {url}/v1/status -H 'Authorization: Bearer {operator_key}'
"""


class Program(Protocol):
    """A daemon that can share a process with others."""

    async def __call__(
        self,
        cfg: settings.Settings,
        stopping: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the daemon; drain and return after ``stopping`` is set."""


@dataclasses.dataclass(frozen=True, slots=True)
class StandIns:
    """The running stand-ins.

    :param desired: a manifest that lists them as upstreams.
    """

    platform: platform_http.PlatformServer
    platform_url: str
    desired: manifest.Manifest


def run(programs: tuple[Program, ...] | None = None) -> None:
    """Run until interrupted, then drain.

    :param programs: the daemons to run; defaults to a gateway and a worker.
    """
    trio.run(serve, programs if programs is not None else _default_programs())


async def serve(
    programs: tuple[Program, ...],
    stopping: trio.Event | None = None,
    gateway_port: int = GATEWAY_PORT,
    task_status: trio.TaskStatus[settings.Settings] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run stand-ins and programs; print example calls once the manifest is in force.

    :param stopping: set to drain and shut down, as a signal does.
    :param gateway_port: preferred port; if it is in use, a free one is chosen.
    """
    stopping = stopping if stopping is not None else trio.Event()
    async with _run_stand_ins() as stand_ins, trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, stopping, nursery.cancel_scope)
        with _make_settings(stand_ins, gateway_port) as cfg:
            async with trio.open_nursery() as program_nursery:
                for program in programs:
                    await program_nursery.start(program, cfg, stopping)
                url = f"http://{cfg.gateway_address}"
                await _put_manifest(url, stand_ins.desired)
                print(_format_instructions(url), flush=True)
                task_status.started(cfg)
        nursery.cancel_scope.cancel()


def _default_programs() -> tuple[Program, ...]:
    daemons = importlib.import_module("cornelgrade.daemons")
    return (daemons.serve_gateway, daemons.serve_worker)


def _format_instructions(url: str) -> str:
    return _INSTRUCTIONS.format(
        url=url, key=TEAM_KEY, operator_key=OPERATOR_KEY, model=MODEL, plain=PLAIN_SERVICE
    )


async def _handle_signals(stopping: trio.Event, scope: trio.CancelScope) -> None:
    """Drain on the first signal; stop at once on the second."""
    with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
        async for _ in signals:
            if stopping.is_set():
                scope.cancel()
            stopping.set()


@contextlib.asynccontextmanager
async def _run_stand_ins() -> AsyncIterator[StandIns]:
    """Run the platform, the plain service and the engines."""
    async with trio.open_nursery() as nursery:
        platform = platform_http.PlatformServer()
        address = await nursery.start(platform.serve, f"{HOST}:0")
        upstreams = [await _start_plain_service(nursery)]
        for domain in FAILURE_DOMAINS:
            for number in range(1, ENGINES_PER_DOMAIN + 1):
                upstreams.append(await _start_engine(nursery, domain, number))
        yield StandIns(platform, f"http://{address}", _build_manifest(tuple(upstreams)))
        nursery.cancel_scope.cancel()


async def _start_plain_service(nursery: trio.Nursery) -> manifest.Upstream:
    server = plain_service.PlainServer(plain_service.PlainService(PLAIN_SERVICE))
    address = await nursery.start(server.serve, f"{HOST}:0")
    return manifest.Upstream(
        name=PLAIN_SERVICE,
        service=PLAIN_SERVICE,
        failure_domain=FAILURE_DOMAINS[0],
        address=address,
    )


async def _start_engine(nursery: trio.Nursery, domain: str, number: int) -> manifest.Upstream:
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


def _build_manifest(upstreams: tuple[manifest.Upstream, ...]) -> manifest.Manifest:
    online = manifest.Priority(name="dosage-question", rank=0, price=10.0)
    batch = manifest.Priority(name="district-notes", rank=10, price=1.0)
    team = manifest.Team(
        name="clinics",
        key_hashes=(_hash_key(TEAM_KEY),),
        priorities=(online.name, batch.name),
    )
    return manifest.Manifest(
        services=(
            manifest.Service(name=MODEL, models=(MODEL,)),
            manifest.Service(
                name=PLAIN_SERVICE, kind="plain", non_idempotent_routes=("/confirmations",)
            ),
        ),
        models=(manifest.Model(name=MODEL),),
        priorities=(online, batch),
        teams=(team,),
        upstreams=upstreams,
    )


@contextlib.contextmanager
def _make_settings(stand_ins: StandIns, gateway_port: int) -> Iterator[settings.Settings]:
    """Yield the settings of the only VM; its peer key file is deleted on exit."""
    with tempfile.TemporaryDirectory() as folder:
        key_file = pathlib.Path(folder) / "peer.key"
        key_file.write_text(secrets.token_hex(32))
        public_port = _find_free_port(gateway_port)
        peer_port = _find_free_port(avoid={public_port})
        worker_port = _find_free_port(avoid={public_port, peer_port})
        peer = f"{HOST}:{peer_port}"
        yield settings.Settings(
            vm="dev-1",
            failure_domain=FAILURE_DOMAINS[0],
            gateway_address=f"{HOST}:{public_port}",
            peer_address=peer,
            worker_address=f"{HOST}:{worker_port}",
            seeds=(peer,),
            platform_url=stand_ins.platform_url,
            peer_key_file=str(key_file),
            operator_key_hashes=(_hash_key(OPERATOR_KEY),),
            drain_grace_s=0.0,
        )


async def _put_manifest(url: str, desired: manifest.Manifest) -> None:
    """Submit the manifest to the gateway, retrying until it is accepted.

    :raises NotReachableError: if it is not accepted within ``SUBMIT_TIMEOUT_S``.
    """
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    body = msgspec.json.encode(desired)
    last_error = "no response"
    async with httpx.AsyncClient(base_url=url, headers=headers, trust_env=False) as client:
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while True:
                try:
                    res = await client.put("/v1/manifest", content=body)
                except httpx.TransportError as exc:
                    last_error = repr(exc)
                else:
                    if res.is_success:
                        return
                    last_error = f"{res.status_code} {res.text}"
                await trio.sleep(SUBMIT_RETRY_INTERVAL_S)
    raise errors.NotReachableError(last_error, step="put manifest", peer=url)


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _find_free_port(preferred: int = 0, avoid: Collection[int] = ()) -> int:
    """Return the preferred port if it is free for TCP and UDP, else another such port."""
    if preferred and local_ports.is_free(preferred, reuses_address=True):
        return preferred
    return next(port for port in iter(local_ports.free_port, None) if port not in avoid)
