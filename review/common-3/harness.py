"""Stand-ins of the platform's store and engines, and a runner of the project's programs.

Standard library only; everything listens on 127.0.0.1. The stand-ins follow PROTOCOL.md: objects
with a single revision counter, conditional calls, lists and watches; engines that stream numbered
events, check X-Expect-Instance, resume after Last-Event-Id and serve /report.
"""

import asyncio
import base64
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to the file of a case.

    :param path: record.txt in the folder of the case.
    """

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._begin:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def show(self, text):
        self(text)
        print(text, flush=True)


_used = set()


def free_port():
    """Return a port that is free for TCP and UDP, below the range of outgoing connections."""
    while True:
        port = 10_000 + secrets.randbelow(20_000)
        if port in _used:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((HOST, port))
        except OSError:
            continue
        _used.add(port)
        return port


def free_address():
    return f"{HOST}:{free_port()}"


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_request(reader):
    """Return the next request, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{k}: {v}\r\n" for k, v in headers)
    return text.encode("latin-1") + b"\r\n" + body


class HttpServer:
    """Serves handle(request, writer); a handler that returns True keeps the connection."""

    def __init__(self):
        self.address = ""
        self._server = None
        self.writers = set()

    async def start(self, port=None):
        port = port or free_port()
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 24)
        self.address = f"{HOST}:{port}"

    async def stop(self):
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                req.reader = reader
                if not await self.handle(req, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # A server that is stopped cancels what it serves.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store: /objects/KIND and /objects/KIND/NAME."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 10
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Called with each request before it is executed; may return a response or delay.
        self.before = None
        # Called after it was executed, before it is answered; returns False to lose the answer.
        self.after = None
        self.calls = 0

    def put_local(self, kind, name, spec):
        """What the operator or an engine writes."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        self.revision += 1
        made = old["metadata"]["made"] if old else self.revision
        meta = {"name": name, "revision": self.revision, "made": made, "finalizers": [], "deleting": False}
        obj = {"metadata": meta, "spec": spec, "status": (old or {}).get("status")}
        objects[name] = obj
        self.history.append((self.revision, kind, obj, False))
        return obj

    async def put(self, kind, name, spec):
        obj = self.put_local(kind, name, spec)
        await self.notify()
        return obj

    async def remove(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj:
            self.revision += 1
            self.history.append((self.revision, kind, obj, True))
            await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, req, writer):
        self.calls += 1
        if self.before is not None:
            early = await self.before(req)
            if early == "close":
                return False
            if early is not None:
                writer.write(early)
                await writer.drain()
                return True
        status, body = await self.execute(req)
        if self.after is not None and not await self.after(req, status):
            # The answer is lost; the channel returns nothing further.
            await asyncio.sleep(30)
            return False
        writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def execute(self, req):
        parts = [urllib.parse.unquote(p) for p in req.path.split("/")[2:]]
        kind, name, sub = (parts + ["", ""])[:3]
        objects = self.kinds.setdefault(kind, {})
        if req.method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if req.method == "GET" and "watch" in req.query:
            return await self.watch(kind, req)
        if req.method == "GET":
            names = sorted(n for n in objects if n > req.query.get("after", ""))
            return 200, {"items": [objects[n] for n in names[:500]], "more": len(names) > 500, "at": self.revision}
        body = json.loads(req.body) if req.body else {}
        if req.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, await self.put(kind, name, body.get("spec"))
        if name not in objects:
            return 404, {}
        current = objects[name]
        if sub == "status":
            self.record(f"store status {kind}/{name} {body.get('status')}")
            current["status"] = body.get("status")
            return 200, await self.put(kind, name, current["spec"])
        revision = int(req.query.get("revision") or (body.get("metadata") or {}).get("revision") or 0)
        if revision and revision != current["metadata"]["revision"]:
            return 409, current
        if req.method == "DELETE":
            await self.remove(kind, name)
            return 200, current
        if current["spec"] == body.get("spec"):
            return 200, current
        return 200, await self.put(kind, name, body.get("spec"))

    async def watch(self, kind, req):
        after, wait_s = int(req.query["watch"]), float(req.query.get("waitMs", 0)) / 1000
        deadline = time.monotonic() + min(wait_s, 30)
        while True:
            events = [{"object": o, "gone": g} for r, k, o, g in self.history if r > after and k == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class StorePath(HttpServer):
    """The path of one machine to the store, which may be silent for a while.

    Calls that come meanwhile, and answers that are due meanwhile, are lost; "a channel on which a
    response is lost returns nothing further".
    """

    def __init__(self, store, name):
        super().__init__()
        self.store, self.name, self.silent, self.lost = store, name, False, 0

    async def handle(self, req, writer):
        lost = self.silent
        if not lost:
            status, body = await self.store.execute(req)
            lost = self.silent
        if lost:
            self.lost += 1
            self.store.record(f"no answer to {self.name}: {req.method} {req.target}")
            await asyncio.sleep(120)
            return False
        writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class Run:
    def __init__(self, engine, req, after):
        self.engine, self.request, self.after = engine, req.headers.get("x-request-id", ""), after
        self.target, self.at, self.events, self.ended, self.headers = req.target, time.monotonic(), 0, "", req.headers
        self.body = req.body


class Engine(HttpServer):
    """An engine that streams numbered events; event n of a request R is "R-n"."""

    def __init__(self, name, service, zone, record, *, events=20, event_s=0.05, slots=8):
        super().__init__()
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.events, self.event_s, self.slots = events, event_s, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs, self.running = [], 0
        # May replace the answer of a run: behave(run, writer) -> True if it has answered.
        self.behave = None
        self.on_report = None

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    def head(self, req, status=200, extra=()):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {req.headers.get('x-request-id', '')}",
                 f"X-Response-Signature: {secrets.token_hex(4)}", *(f"{k}: {v}" for k, v in extra)]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def handle(self, req, writer):
        if req.method == "GET" and req.path == "/report":
            if self.on_report is not None and not await self.on_report(writer):
                return False
            report = {"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": max(0, self.running - self.slots),
                      "running": min(self.running, self.slots), "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": self.born,
                      "runs": [[r.request, 10, r.events, 0] for r in self.runs if not r.ended]}
            writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
            await writer.drain()
            return True
        if req.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, b"", [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        if self.running >= self.slots + 8:
            writer.write(response(503, b"", [("X-Not-Executed", "1"), ("X-Request-Id", req.headers.get("x-request-id", ""))]))
            await writer.drain()
            return True
        run = Run(self, req, int(req.headers.get("last-event-id") or 0))
        self.runs.append(run)
        self.running += 1
        self.record(f"engine {self.name} runs {run.request} target={req.target} after={run.after}")
        gone = asyncio.ensure_future(req.reader.read(1))
        task = asyncio.ensure_future(self._answer(run, req, writer))
        try:
            await asyncio.wait({gone, task}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                run.ended = run.ended or "caller left"
                task.cancel()
            else:
                task.result()
        except (ConnectionError, asyncio.CancelledError):
            run.ended = run.ended or "broken"
        finally:
            gone.cancel()
            self.running -= 1
            run.ended = run.ended or "complete"
            self.record(f"engine {self.name} ends {run.request} events={run.events} {run.ended}")
        return False

    async def _answer(self, run, req, writer):
        if self.behave is not None and await self.behave(run, req, writer):
            return
        await self.stream(run, req, writer)

    async def stream(self, run, req, writer, until=None, finish=True):
        writer.write(self.head(req, extra=[("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), ("Connection", "close")]))
        for number in range(run.after + 1, (until or self.events) + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {run.request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            run.events = number
        if finish:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    def text(self, request):
        return "\n".join(f"{request}-{n}" for n in range(1, self.events + 1))


class Program:
    """A gateway or worker, started with the command of the deploy file."""

    def __init__(self, world, role, name, zone):
        self.world, self.role, self.name, self.zone = world, role, name, zone
        self.front, self.ready = free_address(), free_address()
        self.peer, self.metrics = free_address(), free_address()
        self.process, self.store_address = None, None
        self.log = world.folder / f"{name}.log"

    def start(self):
        settings = {"vm": self.name, "failure_domain": self.zone, "peer_address": self.peer, "metrics_address": self.metrics,
                    "store_address": self.store_address or self.world.store.address, "value_bytes": 1048576,
                    "stop_grace_s": 8, "retention_s": 120}
        if self.role == "gateway":
            settings |= {"caller_address": self.front, "ready_address": self.ready}
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env |= {"CORNELGRADE_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        out = open(self.log, "ab")
        self.process = subprocess.Popen(["python3", "-m", "cornelgrade.platform", self.role], env=env, cwd=ROOT, stdout=out, stderr=out)
        self.world.record(f"{self.name} started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record(f"{self.name} gets {signal.Signals(number).name}")

    @property
    def exit_code(self):
        return self.process.poll()

    async def wait_ready(self, limit_s=25):
        end = time.monotonic() + limit_s
        address = self.ready if self.role == "gateway" else self.metrics
        while time.monotonic() < end:
            try:
                answer = await call(address, "GET", "/ready" if self.role == "gateway" else "/metrics", timeout=1)
                if answer.status == 200 or self.role == "worker":
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready")


class Channel:
    """A channel that a client keeps for many requests."""

    def __init__(self, address):
        self.address = address

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def ask(self, method, target, headers, body=b"", timeout=6.0):
        """Return the answer, or a text that tells why there is none."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}"]
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await self.writer.drain()
            return await asyncio.wait_for(read_answer(self.reader), timeout)
        except (EOFError, ConnectionError) as exc:
            return f"closed without an answer ({exc!r})"
        except asyncio.TimeoutError:
            return "no answer in time"

    def close(self):
        self.writer.transport.abort()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(address, method, target, headers=(), body=b"", timeout=5.0, sent=None):
    """Send one request on a new channel; returns what came, complete or not."""
    return await asyncio.wait_for(_call(address, method, target, headers, body, sent), timeout)


async def _call(address, method, target, headers, body, sent):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}"]
        if not any(k.lower() == "host" for k, _ in headers):
            lines.insert(1, "Host: x")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        if sent is not None:
            sent.set()
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        raise EOFError("closed without an answer") from exc
    lines = raw.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    got = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            got[name.lower()] = value.strip()
    body = b""
    try:
        if "content-length" in got:
            body = await reader.readexactly(int(got["content-length"]))
        elif "chunked" in got.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            while part := await reader.read(65536):
                body += part
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        body += getattr(exc, "partial", b"") or b""
        return Answer(status, got, body, False)
    return Answer(status, got, body, True)


def route(name, prefix, kind, service, host="cases.example", **fields):
    base = {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 5000,
            "targetLatencyMs": 300, "gap_aim_ms": 200, "priority": 0, "maxAttempts": 2, "resumable": False}
    if kind == "batch":
        base |= {"timeoutMs": 15000, "targetLatencyMs": 400, "completionTargetMs": 18000, "itemTtlS": 60, "cap": 2_000_000,
                 "priority": 2, "maxAttempts": 3, "resumable": True}
    return base | fields


def job_body(prefix, items, tokens=940):
    listed = [{"id": n, "path": f"{prefix}3/{n}", "headers": {"X-Model": "m", "X-Token-Usage": "540,400", "X-Prompt-Prefix": f"9c2e41:300,{n}:240"},
               "body": base64.b64encode(b"body of " + n.encode()).decode(), "tokens": tokens} for n in items]
    return json.dumps({"items": listed}).encode()


class World:
    """The store, engines and programs of a case; a context manager that ends all of them."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store(self.record)
        self.engines, self.programs = {}, {}
        self.version = 0
        self.paths = []

    async def add_path(self, program):
        """Let a program reach the store by a path of its own."""
        path = StorePath(self.store, program.name)
        await path.start()
        self.paths.append(path)
        program.store_address = path.address
        return path

    async def __aenter__(self):
        # What is served when the case ends is cancelled, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await self.store.start()
        return self

    async def __aexit__(self, *exc):
        keep = os.environ.get("KEEP_LOGS")
        for program in self.programs.values():
            if program.process is not None:
                if keep:
                    (pathlib.Path(keep) / f"{program.name}.log").write_bytes(program.log.read_bytes())
                program.process.kill() if program.process.poll() is None else None
                program.process.wait()
        for engine in self.engines.values():
            await engine.stop()
        for path in self.paths:
            await path.stop()
        await self.store.stop()
        self.temporary.cleanup()

    async def configure(self, routes, services, limits=None, **more):
        self.version += 7
        config = {"version": self.version, "routes": routes, "services": [{"name": s, "engine": {"slots": 8}, "maxConnections": 250, "healthPath": "/health"} for s in services],
                  "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 4000, "idleTimeoutMs": 20000}} | more
        await self.store.put("config", "main", config)
        self.record(f"desired state {self.version}: {[(r['name'], r['pathPrefix'], r['kind']) for r in routes]}")

    async def add_engine(self, name, service, zone="a", **kw):
        engine = Engine(name, service, zone, self.record, **kw)
        await engine.start()
        self.engines[name] = engine
        await self.store.put("servers", name, engine.entry())
        return engine

    def add(self, role, name, zone="a"):
        program = Program(self, role, name, zone)
        self.programs[name] = program
        return program

    async def start_all(self):
        for program in self.programs.values():
            program.start()
        for program in self.programs.values():
            await program.wait_ready()
        await asyncio.sleep(1.0)

    def all_runs(self):
        return [run for engine in self.engines.values() for run in engine.runs]


def main(case):
    """Run the coroutine case(); it returns True if the rule was broken."""
    try:
        broken = asyncio.run(case())
    except Exception:  # The case couldn't run.
        import traceback
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if broken else 0)
