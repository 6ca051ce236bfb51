"""Starts the project's programs beside small stand-ins, for the cases 6 to 10.

The store is the project's own stand-in. Engines and clients are small programs of this review that
speak what the users' pages say. Everything listens on loopback addresses with free ports.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import h11
import trio

from cornelgrade.platform.standins import store_server
from cornelgrade.standins import local_ports, platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b", "zone-c")
HOST, SERVICE = "nony24.example", "huvo11a"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """Writes the ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._begin_s = time.monotonic()

    def line(self, what: str, **fields: object) -> None:
        at_s = time.monotonic() - self._begin_s
        listed = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {listed}\n")
        self._file.flush()


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Program:
    """One gateway or worker, started by the command of the deploy file."""

    def __init__(self, role: str, name: str, zone: str, store: str, folder: pathlib.Path) -> None:
        self.role, self.name, self.zone = role, name, zone
        self.peer, self.metrics = local_ports.free_address(), local_ports.free_address()
        self.front = local_ports.free_address() if role == "gateway" else ""
        self.ready = local_ports.free_address() if role == "gateway" else ""
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        cfg = {
            "vm": name,
            "failure_domain": zone,
            "peer_address": self.peer,
            "metrics_address": self.metrics,
            "store_address": store,
            "value_bytes": 1048576,
            "stop_grace_s": 8,
            "retention_s": 120,
        }
        if role == "gateway":
            cfg |= {"caller_address": self.front, "ready_address": self.ready}
        self._settings.write_text(json.dumps(cfg))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= {
            "CORNELGRADE_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "cornelgrade.platform", self.role],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    @property
    def exit_code(self) -> int | None:
        return self.process.poll() if self.process else None

    def signal(self, signum: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signum)

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client has seen of one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.end = ""
        self.sent_s = 0.0
        self.ended_s = 0.0

    @property
    def took_s(self) -> float:
        return self.ended_s - self.sent_s


class Channel:
    """A client's channel to one gateway, which it keeps for several requests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None
        self._h11 = h11.Connection(h11.CLIENT)

    async def open(self) -> None:
        self._stream = await trio.open_tcp_stream(*split(self._address))
        self._h11 = h11.Connection(h11.CLIENT)

    async def close(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit_s: float = 10.0,
    ) -> Answer:
        """Send a request and read its answer; the end is ``answer``, ``closed`` or ``timeout``."""
        got = Answer()
        got.sent_s = trio.current_time()
        try:
            with trio.move_on_after(limit_s) as scope:
                await self._call(got, method, target, headers, body)
            if scope.cancelled_caught:
                got.end = "timeout"
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as exc:
            got.end = f"closed ({type(exc).__name__})".replace(" ", "-")
        got.ended_s = trio.current_time()
        if not got.complete or self._h11.our_state is not h11.IDLE:
            await self.close()
        return got

    async def _call(self, got: Answer, method, target, headers, body) -> None:
        if self._stream is None:
            await self.open()
        listed = [*headers.items(), ("content-length", str(len(body)))]
        raw = self._h11.send(h11.Request(method=method, target=target, headers=listed))
        raw += self._h11.send(h11.Data(data=body)) + self._h11.send(h11.EndOfMessage())
        await self._stream.send_all(raw)
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                got.status = event.status_code
                got.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                got.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                got.complete, got.end = True, "answer"
                if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
                    self._h11.start_next_cycle()
                return
            elif isinstance(event, h11.ConnectionClosed):
                got.end = "closed"
                return


async def call(address: str, method: str, target: str, headers: dict, body=b"", limit_s=10.0):
    """Make one call on a new channel."""
    channel = Channel(address)
    try:
        return await channel.call(method, target, headers, body, limit_s)
    finally:
        await channel.close()


class Engine:
    """An engine: 8 slots, numbered events, ``X-Expect-Instance``, reports and resumption.

    :ivar runs: (time, id, target, method, resumed after) of each request that began to run.
    """

    def __init__(self, record: Record, name: str, zone: str, events=10, event_s=0.03) -> None:
        self.record, self.name, self.zone = record, name, zone
        self.events, self.event_s = events, event_s
        self.born = int(time.time() * 1000)
        self.address = ""
        self.running = 0
        self.runs: list[tuple[float, str, str, str, int]] = []

    def entry(self, state: str = "ready") -> bytes:
        return json.dumps(
            {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": self.born,
            }
        ).encode()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            async with stream:
                conn = h11.Connection(h11.SERVER)
                while await self._one(stream, conn):
                    conn.start_next_cycle()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* h11.RemoteProtocolError:
            pass

    async def _one(self, stream, conn) -> bool:
        request, body = None, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
        target, method = request.target.decode(), request.method.decode()
        if target == "/report":
            report = {
                "stage": "both", "busy": False, "sequence": 1, "waiting": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 72000, "handles": 0,
                "born": self.born, "models": [{"name": "m", "version": 1, "adapters": []}],
                "runs": [],
            }
            await self.answer(stream, conn, 200, (), json.dumps(report).encode())
        elif headers.get("x-expect-instance", self.name) != self.name:
            await self.answer(stream, conn, 421, (("x-instance-id", self.name),), b"")
        elif self.running >= 8:
            await self.answer(stream, conn, 503, (("x-not-executed", "1"),), b"")
        else:
            self.running += 1
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._drop_if_closed, stream, nursery.cancel_scope)
                    await self.run(stream, conn, method, target, headers, body)
                    nursery.cancel_scope.cancel()
            finally:
                self.running -= 1
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    @staticmethod
    async def _drop_if_closed(stream, scope) -> None:
        """Drop a request when its channel closes."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.lowlevel.wait_readable(stream.socket)
        scope.cancel()

    async def answer(self, stream, conn, status, headers, body) -> None:
        listed = [*headers, ("content-length", str(len(body)))]
        raw = conn.send(h11.Response(status_code=status, headers=listed))
        raw += conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())
        await stream.send_all(raw)

    def note_run(self, method: str, target: str, headers: dict[str, str]) -> int:
        after = int(headers.get("last-event-id") or 0)
        request = headers.get("x-request-id", "")
        self.runs.append((trio.current_time(), request, target, method, after))
        self.record.line("run", engine=self.name, id=request, target=target, after=after)
        return after

    async def run(self, stream, conn, method, target, headers, body) -> None:
        after = self.note_run(method, target, headers)
        await self.begin(stream, conn, headers)
        for number in range(after + 1, self.events + 1):
            await trio.sleep(self.event_s)
            await stream.send_all(conn.send(h11.Data(data=event(headers, number))))
        await stream.send_all(conn.send(h11.EndOfMessage()))

    async def begin(self, stream, conn, headers) -> None:
        listed = [
            ("x-request-id", headers.get("x-request-id", "")),
            ("x-response-signature", f"{self.name}.ok"),
            ("content-type", "text/event-stream"),
            ("transfer-encoding", "chunked"),
        ]
        await stream.send_all(conn.send(h11.Response(status_code=200, headers=listed)))


def event(headers: dict[str, str], number: int) -> bytes:
    return f"id: {number}\ndata: {headers.get('x-request-id', '')}-{number}\n\n".encode()


def whole_body(request: str, events: int) -> bytes:
    return b"".join(event({"x-request-id": request}, n) for n in range(1, events + 1))


def route(name: str, prefix: str, kind: str, **fields: object) -> dict:
    """Return a route with the fields that the pages name."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000,
        "targetLatencyMs": 300, "priority": 0, "maxAttempts": 1, "resumable": False,
        "gap_aim_ms": 200, "sessionAffinity": True,
        "trafficSplit": [{"service": SERVICE, "weight": 1}],
    } | fields


class Fleet:
    """Everything that a case runs.

    :ivar store: the content of the platform's store, for the operator and the engines.
    """

    def __init__(self, nursery: trio.Nursery, folder: pathlib.Path, record: Record) -> None:
        self.nursery, self.folder, self.record = nursery, folder, record
        # The rates of a small deployment.
        switches = platform_store.Switches(writes_per_s=400.0, reads_per_s=2000.0)
        self.store = platform_store.MemoryPlatform(switches)
        self.store_address = ""
        self.gateways: list[Program] = []
        self.workers: list[Program] = []
        self.engines: list[Engine] = []
        self._version = 0

    async def start_store(self) -> None:
        server = store_server.StoreServer(self.store)
        self.store_address = await self.nursery.start(server.serve, "127.0.0.1:0")

    async def put(self, kind: str, name: str, value: bytes) -> None:
        found = await self.store.get(kind, name)
        if found is None:
            await self.store.create(kind, name, value)
        else:
            await self.store.update(kind, name, value, found.version)

    async def write_desired_state(self, routes: list[dict], **fields: object) -> int:
        """Write the next version as the operator does."""
        self._version += 3
        state = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": SERVICE, "maxConnections": 290, "engine": {"slots": 8}}],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000, "idleTimeoutMs": 30000,
            },
        } | fields
        await self.put("config", "main", json.dumps(state).encode())
        self.record.line("desired_state", version=self._version)
        return self._version

    async def add_engine(self, engine: Engine) -> None:
        await self.nursery.start(engine.serve)
        self.engines.append(engine)
        await self.put("servers", engine.name, engine.entry())
        self.record.line("engine", engine=engine.name, address=engine.address)

    async def start_programs(self, gateways: int, workers: int) -> None:
        for number in range(gateways):
            self._start("gateway", number, self.gateways)
        for number in range(workers):
            self._start("worker", number, self.workers)
        with trio.move_on_after(START_LIMIT_S):
            for gateway in self.gateways:
                while not await self.is_ready(gateway):
                    if gateway.exit_code is not None:
                        raise CannotRunError(f"{gateway.name} did not start")
                    await trio.sleep(0.1)
            # Traffic starts some seconds after the machines do.
            await trio.sleep(3.0)
            return
        raise CannotRunError("the gateways were not ready in time")

    def _start(self, role: str, number: int, programs: list[Program]) -> None:
        name = f"{role}-{number + 1}"
        program = Program(role, name, ZONES[number % 3], self.store_address, self.folder)
        programs.append(program)
        program.start()
        self.record.line("start", program=name, pid=program.process.pid)

    async def is_ready(self, gateway: Program) -> bool:
        got = await call(gateway.ready, "GET", "/ready", {"host": "x"}, limit_s=1.0)
        return got.status == 200

    def end(self) -> None:
        for program in (*self.gateways, *self.workers):
            program.end()


@contextlib.asynccontextmanager
async def running(record_path: pathlib.Path):
    """Run a fleet, and record it; all its programs have ended when the block has."""
    record = Record(record_path)
    record.line("case", trouble=int(TROUBLE))
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        async with trio.open_nursery() as nursery:
            made = Fleet(nursery, pathlib.Path(folder), record)
            try:
                yield made
            finally:
                made.end()
                keep = os.environ.get("KEEP_LOGS")
                for program in (*made.gateways, *made.workers) if keep else ():
                    target = pathlib.Path(keep) / program.log.name
                    target.write_bytes(program.log.read_bytes())
                nursery.cancel_scope.cancel()


def main(case, limit_s: float = 110.0) -> None:
    """Run a case's coroutine and exit with what it returns."""

    async def limited() -> int:
        with trio.move_on_after(limit_s):
            return await case()
        print("the case took too long")
        return NOT_RUN

    try:
        sys.exit(trio.run(limited))
    except BaseExceptionGroup as group:
        wrong, rest = group.split(CannotRunError)
        if rest is not None:
            raise
        print(f"could not run: {wrong.exceptions[0]}")
        sys.exit(NOT_RUN)
    except CannotRunError as exc:
        print(f"could not run: {exc}")
        sys.exit(NOT_RUN)
