"""Starts the project's programs as processes, beside a store and engines, for the review's scripts.

The programs are started with the commands of the deploy file. The store is the project's stand-in;
engines are the project's or small ones of a case. Everything listens on loopback addresses.
"""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import h11
import trio

from cornelgrade.platform.standins import store_server
from cornelgrade.standins import local_ports, platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "questions.example"
UNLIMITED = platform_store.Switches(writes_per_s=0, reads_per_s=0)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
GRACE_S = 8.0


class Record:
    """Writes what was sent, answered and run to the file that a case names."""

    def __init__(self, path: pathlib.Path) -> None:
        self._out = path.open("w")
        self._start_s = time.monotonic()
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, file=self._out, flush=True)
        print(line, flush=True)


class Answer:
    """A response as the client received it; ``status`` 0 if there was none."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


class Client:
    """One channel to a gateway, kept for several requests."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: str) -> "Client":
        """Open a channel."""
        host, _, port = address.rpartition(":")
        with trio.fail_after(1.0):
            return cls(await trio.open_tcp_stream(host, int(port)))

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", on_data=None
    ) -> Answer:
        """Send a request and read its response, also one that is broken off."""
        answer = Answer()
        sent = [("host", HOST), *headers.items(), ("content-length", str(len(body)))]
        events = [h11.Request(method=method, target=target, headers=sent), h11.Data(data=body)]
        try:
            raw = b"".join(self._h11.send(e) for e in (*events, h11.EndOfMessage()))
            await self._stream.send_all(raw)
            while not answer.complete:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._h11.receive_data(await self._stream.receive_some(65_536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    answer.body += bytes(event.data)
                    if on_data is not None:
                        on_data(answer)
                elif isinstance(event, h11.EndOfMessage):
                    answer.complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    answer.error = "channel closed without an answer"
                    break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as exc:
            answer.error = repr(exc)
        if answer.complete and self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return answer

    async def close(self) -> None:
        """Close the channel."""
        with trio.move_on_after(0.2):
            await self._stream.aclose()


async def ask_once(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes = b"", limit_s=10.0
) -> Answer:
    """Make one request on a new channel."""
    answer = Answer()
    answer.error = "no answer in time"
    with trio.move_on_after(limit_s):
        try:
            client = await Client.open(address)
        except (OSError, trio.TooSlowError) as exc:
            answer.error = f"could not connect: {exc!r}"
            return answer
        answer = await client.ask(method, target, headers, body)
        await client.close()
    return answer


async def read_results(address: str, job: str) -> tuple[int, list[dict]]:
    """Read a job from the start, page by page as clients do; return the last status and the results."""
    results: list[dict] = []
    while True:
        target = f"/lots/{job}?after={len(results)}"
        got = await ask_once(address, "GET", target, {"x-wait-ms": "300"})
        page = json.loads(got.body)["results"] if got.status == 200 else []
        if not page:
            return got.status, results
        results += page


class Program:
    """A gateway or worker process."""

    def __init__(self, name: str, role: str, zone: str, folder: pathlib.Path) -> None:
        self.name, self.role = name, role
        self.front = local_ports.free_address()
        self.ready = local_ports.free_address()
        self.peer = local_ports.free_address()
        self.metrics = local_ports.free_address()
        self.log = folder / f"{name}.log"
        self._zone = zone
        self._settings = folder / f"{name}.json"
        self.process: subprocess.Popen | None = None

    def start(self, store_address: str) -> None:
        """Write the settings, with the fields of the deploy file's template, and start."""
        cfg = {
            "vm": self.name,
            "failure_domain": self._zone,
            "peer_address": self.peer,
            "metrics_address": self.metrics,
            "store_address": store_address,
            "value_bytes": 1_048_576,
            "stop_grace_s": GRACE_S,
            "retention_s": 120,
        }
        if self.role == "gateway":
            cfg |= {"caller_address": self.front, "ready_address": self.ready}
        self._settings.write_text(json.dumps(cfg))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"CORNELGRADE_SETTINGS": str(self._settings), "PYTHONPATH": "target/deps"}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "cornelgrade.platform", self.role],
                cwd=ROOT, env=env, stdout=out, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            )

    @property
    def exit_code(self) -> int | None:
        """How it ended by itself, ``None`` while it runs."""
        return self.process.poll() if self.process else None

    def end(self) -> None:
        """Kill it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of its log with all of these words."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return [line for line in text.splitlines() if all(word in line for word in words)]


class Rig:
    """The store, the engines and the programs."""

    def __init__(self, nursery: trio.Nursery, folder: pathlib.Path, record: Record) -> None:
        self.nursery, self.folder, self.record = nursery, folder, record
        self.store = platform_store.MemoryPlatform(UNLIMITED)
        self.store_address = ""
        self.programs: dict[str, Program] = {}

    async def open_store(self) -> None:
        """Start the store."""
        server = store_server.StoreServer(self.store)
        self.store_address = await self.nursery.start(server.serve, "127.0.0.1:0")

    async def put(self, kind: str, name: str, value: dict) -> None:
        """Write an object as the operator or an engine does."""
        raw = json.dumps(value).encode()
        found = await self.store.get(kind, name)
        if found is None:
            await self.store.create(kind, name, raw)
        else:
            await self.store.update(kind, name, raw, found.version)

    async def plan(self, version: int, routes: list[dict], services: list[str]) -> None:
        """Write a desired state; the store's ack is this call's return."""
        listed = [{"name": s, "engine": {"slots": 8}, "maxConnections": 290} for s in services]
        state = {"version": version, "routes": routes, "services": listed, "limits": {}}
        await self.put("config", "main", state)
        names = ",".join(r["name"] for r in routes)
        self.record.note(f"operator: version {version} acknowledged, routes {names}")

    async def register(self, name: str, address: str, zone: str = "north", **more) -> None:
        """Write an engine's entry."""
        entry = {
            "service": "llm", "address": address, "zone": zone, "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000),
        }
        await self.put("servers", name, entry | more)

    async def start(self, name: str, role: str, zone: str = "north", store: str = "") -> Program:
        """Start a program; a gateway is waited for until it is ready."""
        program = self.programs.setdefault(name, Program(name, role, zone, self.folder))
        program.start(store or self.store_address)
        return program

    async def wait_ready(self, *names: str) -> None:
        """Wait until gateways are ready."""
        with trio.fail_after(20):
            for name in names:
                while (await ask_once(self.programs[name].ready, "GET", "/ready", {}, limit_s=1)).status != 200:
                    await trio.sleep(0.1)


def online_route(name: str, prefix: str, **more) -> dict:
    """Return a route of streams that may run once."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "streaming", "service": "llm",
        "timeoutMs": 5000, "targetLatencyMs": 300, "gap_aim_ms": 200, "priority": 0,
        "maxAttempts": 1, "resumable": False, "sessionAffinity": True,
    } | more


def batch_route(name: str = "notes", prefix: str = "/notes/", **more) -> dict:
    """Return a batch route."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "batch", "service": "llm",
        "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 3,
        "completionTargetMs": 18000, "itemTtlS": 60, "cap": 1400000, "resumable": True,
    } | more


def main(path: pathlib.Path, play) -> None:
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param path: of the record.
    """
    record = Record(path)
    verdict = COULD_NOT_RUN

    async def run() -> None:
        nonlocal verdict
        with tempfile.TemporaryDirectory() as temporary:
            async with trio.open_nursery() as nursery:
                rig = Rig(nursery, pathlib.Path(temporary), record)
                try:
                    with trio.fail_after(110):
                        await rig.open_store()
                        verdict = await play(rig, record)
                finally:
                    for program in rig.programs.values():
                        program.end()
                    nursery.cancel_scope.cancel()

    try:
        trio.run(run)
    except BaseException as exc:  # a case that fails for another reason proves nothing
        record.note(f"could not run: {exc!r}")
        verdict = COULD_NOT_RUN
    record.note({BROKEN: "verdict: broken", HELD: "verdict: held"}.get(verdict, "verdict: none"))
    with contextlib.suppress(Exception):
        sys.stdout.flush()
    sys.exit(verdict)
