"""Callers of streams and jobs."""

import random

import msgspec
import trio

from bench import answers
from bench.streams import judge, rig, route_tables
from cornelgrade.adapters import engine as engine_port
from cornelgrade.platform.standins import edge_system, formats

STREAMS_PER_S = 12.0
JOBS_PER_S = 0.4
ITEMS = 8
ATTEMPTS = 4
ATTEMPT_LIMIT_S = 8.0
RETRY_PAUSE_S = 0.2
FINISH_S = 25.0
# Some callers read slower than events are made.
SLOW_SHARE = 0.15
# Some callers of resumable streams leave in the middle and take the stream up elsewhere.
LEAVE_SHARE = 0.2
LEAVE_WITHIN_EVENTS = 25


class Callers:
    """Sends streams and jobs until told to stop.

    :ivar results: state and text of each listed item.
    """

    def __init__(self, system: rig.Rig, seed: int) -> None:
        self.streams: list[judge.Stream] = []
        self.results: dict[str, tuple[str, str]] = {}
        self.accepted_items = 0
        self._system = system
        self._seed = seed
        self._rng = random.Random(f"callers {seed}")
        self._more = True

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for what was accepted."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_streams, nursery)
            nursery.start_soon(self._send_jobs, nursery)
            await trio.sleep(seconds)
            self._more = False

    async def _send_streams(self, nursery: trio.Nursery) -> None:
        while self._more:
            path = self._rng.choice((edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX))
            stream = judge.Stream(path)
            self.streams.append(stream)
            nursery.start_soon(self._follow, stream, f"s{len(self.streams)}")
            await trio.sleep(self._rng.expovariate(STREAMS_PER_S))

    async def _follow(self, stream: judge.Stream, name: str) -> None:
        """Send a stream; take it up or send it again as its route allows."""
        rng = random.Random(f"callers {self._seed} {name}")
        slow = rng.random() < SLOW_SHARE
        resumable = stream.path == edge_system.RESUMABLE_PREFIX
        first = ""
        for number in range(ATTEMPTS):
            after = max((a.last_event for a in stream.attempts), default=0)
            gateway = rng.choice(self._system.gateways)
            attempt = judge.Attempt(f"{name}-{number}", gateway.name, after, build=gateway.build)
            stream.attempts.append(attempt)
            headers = formats.take_up_headers(first, after) if after else {}
            leaves = resumable and number < ATTEMPTS - 1 and rng.random() < LEAVE_SHARE
            leave_after = rng.randrange(LEAVE_WITHIN_EVENTS) if leaves else None
            with trio.move_on_after(ATTEMPT_LIMIT_S):
                await self._ask(stream.path, attempt, headers, slow, leave_after)
            first = first or (attempt.id if attempt.last_event else "")
            may_have_run = attempt.status not in (0, 429, 503)
            if stream.complete or (not resumable and may_have_run):
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def _ask(
        self,
        path: str,
        attempt: judge.Attempt,
        headers: dict[str, str],
        slow: bool,
        leave_after: int | None,
    ) -> None:
        address = self._system.daemons[attempt.gateway].caller_address
        sent = formats.online_headers(attempt.id, edge_system.REQUEST_TIMEOUT_S) | headers
        raw = tuple((k.encode(), v.encode()) for k, v in {"host": edge_system.HOST, **sent}.items())
        try:
            with await edge_system.http1.connect(address, 1.0) as channel:
                body = answers.UPLOAD if self._system.uploads else b"question"
                await channel.send("POST", path.encode(), raw, body)
                attempt.status = (await channel.read_head()).status
                while part := await channel.read_chunk():
                    attempt.body += part
                    if leave_after is not None and len(attempt.events) >= leave_after:
                        return
                    await trio.sleep(0.2 if slow else 0.0)
                attempt.complete = True
        except engine_port.CallError:
            return

    async def _send_jobs(self, nursery: trio.Nursery) -> None:
        number = 0
        while self._more:
            nursery.start_soon(self._follow_job, f"job-{number}")
            number += 1
            await trio.sleep(self._rng.expovariate(JOBS_PER_S))

    async def _follow_job(self, job: str) -> None:
        """Submit a job, then read its results until all are there."""
        items = {f"{job}-item-{n}": b"note" for n in range(ITEMS)}
        # Draws apart, so that trials without changes of routes keep their draws.
        rng = random.Random(f"calls {self._seed} {job}")
        prefix = edge_system.NOTES_PREFIX
        if self._system.routes_change:
            prefix = rng.choice(route_tables.ITEM_PREFIXES)
        raw = formats.encode_job(prefix, items)
        target = f"{edge_system.NOTES_PREFIX}{job}"
        with trio.move_on_after(FINISH_S):
            while await self._call("POST", target, formats.request_headers(job), raw) is None:
                await trio.sleep(RETRY_PAUSE_S)
            self.accepted_items += ITEMS
            async with trio.open_nursery() as nursery:
                if self._system.routes_change:
                    nursery.start_soon(self._call_again, rng, job, target, raw)
                await self._read_results(job)
                nursery.cancel_scope.cancel()

    async def _read_results(self, job: str) -> None:
        position = 0
        while position < ITEMS:
            page = await self._call(
                "GET", formats.job_target(job, position), formats.wait_headers(0.5)
            )
            for item, state, text in self._decode_page(job, page) if page else ():
                self.results[item] = state, text
                position += 1
            await trio.sleep(0.0 if page else RETRY_PAUSE_S)

    def _decode_page(self, job: str, page: bytes) -> list[tuple[str, str, str]]:
        try:
            return formats.decode_results(page)
        except msgspec.DecodeError:
            self._system.problems.append(f"a read of {job} got another response")
            return []

    async def _call_again(self, rng: random.Random, job: str, target: str, raw: bytes) -> None:
        """Submit an accepted job again, and ask for its items and results from the start."""
        while True:
            method, path, body = rng.choice(
                (
                    ("POST", target, raw),
                    ("GET", formats.job_target(job, 0), b""),
                    ("GET", f"/items/{job}?id={job}-item-0", b""),
                )
            )
            headers = formats.request_headers(job) if body else {}
            await self._call(method, path, headers, body, rng)
            await trio.sleep(RETRY_PAUSE_S)

    async def _call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        rng: random.Random | None = None,
    ) -> bytes | None:
        """Make a call about a job to some gateway; return the body of a success."""
        gateway = (rng or self._rng).choice(self._system.gateways)
        address = gateway.caller_address
        sent = {"host": edge_system.HOST, **headers}
        with trio.move_on_after(3.0):
            try:
                got = await edge_system.call(address, method, target.encode(), sent, body)
            except engine_port.CallError:
                return None
            if 400 <= got.status < 500 and got.status != 429:
                self._system.problems.append(f"{method} {target} at {gateway.name}: {got.status}")
            return got.body if got.status in (200, 202) and got.complete else None
        return None
