"""A gateway with stand-ins in one process, and the system states that docs/API.md names."""

import contextlib
import hashlib
import json
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable

import httpx
import trio
from tests import samples

from cornelgrade import daemons, errors, kernel
from cornelgrade.services import drain, ports, router
from cornelgrade.standins import (
    engine,
    engine_http,
    engine_model,
    local_ports,
    plain_service,
    platform_store,
)

HOST = "127.0.0.1"
KEYS = {
    "TEAM": "clinic-key",
    "OTHER": "other-key",
    "SLOW_TEAM": "slow-key",
    "OPERATOR": "operator-key",
}
START_TIMEOUT_S = 10.0
CRASHER = {"model": "lishe", "prompt": engine_model.CRASH_MARKER, "max_tokens": 1}
QUESTION = {"model": "lishe", "prompt": "Hello", "max_tokens": 1}


def hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def make_team(name: str, key_name: str, **more) -> dict:
    key_hashes = [hash_key(KEYS[key_name])]
    return {"name": name, "key_hashes": key_hashes, "priorities": ["nurse"], **more}


class NoPeers:
    """Fails every fetch, since there is no other VM."""

    async def fetch(self, member: ports.Member) -> ports.AcceptedManifest:
        raise errors.NotReachableError("no peers", step="fetch", peer=member.vm)


class System:
    """Two engines, a plain service, a platform and a gateway."""

    def __init__(self, folder: pathlib.Path, **changes) -> None:
        self._folder = folder
        self._changes = changes
        self.engines = [engine.Engine(f"engine-{i}", engine_model.Config(slots=2)) for i in (1, 2)]
        self.plain = plain_service.PlainService("desk-1")
        self.kern = kernel.Kernel()
        self.upstreams: list[dict] = []
        self.job = ""

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[httpx.AsyncClient]:
        async with trio.open_nursery() as self.nursery:
            await self._start_upstreams()
            address = local_ports.free_address()
            cfg = self._settings(address)
            dependencies = daemons.Dependencies(platform_store.MemoryPlatform(), NoPeers())
            daemons.add_gateway(self.kern, cfg, dependencies)
            await self.nursery.start(self.kern.run)
            async with httpx.AsyncClient(
                base_url=f"http://{address}", trust_env=False, timeout=10.0
            ) as self.client:
                await self._put_manifest()
                yield self.client
            self.nursery.cancel_scope.cancel()

    async def _start_upstreams(self) -> None:
        servers = [engine_http.EngineServer(engine_standin) for engine_standin in self.engines]
        for server in [*servers, plain_service.PlainServer(self.plain)]:
            address = await self.nursery.start(server.serve, f"{HOST}:0")
            is_engine = isinstance(server, engine_http.EngineServer)
            self.upstreams.append(
                {
                    "name": server.engine.name if is_engine else server.service.name,
                    "service": "lishe-llm" if is_engine else "desk",
                    "failure_domain": "dar-ubungo",
                    "address": address,
                    "slots": 2,
                }
            )

    def _settings(self, address: str):
        key = self._folder / "peer.key"
        key.write_text("5e" * 32)
        peer, worker = (local_ports.free_address() for _ in range(2))
        return samples.settings(
            gateway_address=address,
            peer_address=peer,
            worker_address=worker,
            peer_key_file=str(key),
            operator_key_hashes=[hash_key(KEYS["OPERATOR"])],
        )

    def manifest(self, **changes) -> str:
        return json.dumps(
            {
                "services": [
                    {"name": "lishe-llm", "models": ["lishe"]},
                    {"name": "desk", "kind": "plain"},
                ],
                "models": [{"name": "lishe"}],
                "priorities": [{"name": "nurse", "rank": 0}],
                "teams": [
                    make_team("clinic", "TEAM"),
                    make_team("other", "OTHER"),
                    make_team("slow", "SLOW_TEAM", rate_per_s=1, burst=1),
                ],
                "upstreams": self.upstreams,
                **self._changes,
                **changes,
            }
        )

    async def _put_manifest(self) -> None:
        headers = {"Authorization": f"Bearer {KEYS['OPERATOR']}"}
        response = await self.client.put("/v1/manifest", content=self.manifest(), headers=headers)
        response.raise_for_status()
        with trio.fail_after(START_TIMEOUT_S):
            while (await self.client.get("/readyz")).status_code != 200:
                await trio.sleep(0.02)

    def switch_engines(self, **switches) -> None:
        for engine_standin in self.engines:
            engine_standin.switch(engine.Switches(**switches))

    async def post_completion(self, body: dict) -> None:
        headers = {"Authorization": f"Bearer {KEYS['TEAM']}"}
        with contextlib.suppress(httpx.HTTPError):
            await self.client.post("/v1/completions", json=body, headers=headers)


async def freeze_engines(system: System) -> None:
    system.switch_engines(freeze=True)


async def refuse_requests(system: System) -> None:
    system.switch_engines(refuse=True)


async def remove_engines(system: System) -> None:
    system.switch_engines(crash=True, restart_s=3600.0)
    for _ in range(4):
        await system.post_completion(QUESTION)


async def break_plain_service(system: System) -> None:
    system.plain.switch(plain_service.Switches(break_after=1))


async def crash_engines_twice(system: System) -> None:
    system.switch_engines(restart_s=0.1)
    for _ in range(2):
        await system.post_completion(CRASHER)


async def fill_queue(system: System) -> None:
    """Send requests to frozen engines until one is queued."""
    system.switch_engines(freeze=True)
    request_router = system.kern.find("router", router.Router)
    with trio.fail_after(START_TIMEOUT_S):
        while not request_router.queued("lishe-llm"):
            system.nursery.start_soon(system.post_completion, QUESTION)
            await trio.sleep(0.05)


async def drain_gateway(system: System) -> None:
    system.kern.find("drain", drain.Drain).phase = drain.Phase.REFUSING


SETUP_BY_STATE: dict[str, Callable[[System], Awaitable[None]]] = {
    "engines are frozen": freeze_engines,
    "engines refuse": refuse_requests,
    "engines are gone": remove_engines,
    "the plain service breaks off": break_plain_service,
    "the request crashes engines": crash_engines_twice,
    "the queue is full": fill_queue,
    "the gateway is draining": drain_gateway,
}
MANIFEST_CHANGES: dict[str, dict] = {
    "the queue is full": {
        "online": {"queue_limit": 1},
        "teams": [make_team("clinic", "TEAM", burst=5)],
    }
}
