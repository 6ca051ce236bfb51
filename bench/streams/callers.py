"""Callers of streams and jobs, and what each of them received over all its attempts."""

import dataclasses
import random
import re

import trio

from bench.streams import rig
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
_EVENT = re.compile(rb"id: (\d+)\n(?:data: [^\n]*@(v\d)-(\d+)\n)\n")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller and its response.

    :ivar complete: whether the response came to its proper end.
    """

    id: str
    gateway: str
    status: int = 0
    body: bytes = b""
    complete: bool = False

    @property
    def foreign(self) -> bytes:
        """What belongs to no event of the stream; the begin of one may be cut off."""
        rest = _EVENT.sub(b"", self.body)
        return rest if self.complete or b"\n\n" in rest else b""

    @property
    def last_event(self) -> int:
        """Number of the last complete event, 0 for none."""
        return max((int(number) for number, _, _ in _EVENT.findall(self.body)), default=0)


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream over all attempts of its caller."""

    path: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers and versions of the events that the caller has received."""
        return [
            (int(number), version.decode())
            for attempt in self.attempts
            if attempt.status == 200
            for number, version, _ in _EVENT.findall(attempt.body)
        ]

    @property
    def complete(self) -> bool:
        """Whether the caller takes it for whole."""
        last = self.attempts[-1]
        return last.status == 200 and last.complete


class Callers:
    """Sends streams and jobs until told to stop.

    :ivar results: state and text of each listed item.
    """

    def __init__(self, system: rig.Rig, seed: int) -> None:
        self.streams: list[Stream] = []
        self.results: dict[str, tuple[str, str]] = {}
        self.accepted_items = 0
        self._system = system
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
            stream = Stream(path)
            self.streams.append(stream)
            nursery.start_soon(self._follow, stream, f"s{len(self.streams)}")
            await trio.sleep(self._rng.expovariate(STREAMS_PER_S))

    async def _follow(self, stream: Stream, name: str) -> None:
        """Send a stream; take it up or send it again as its route allows."""
        first = ""
        for number in range(ATTEMPTS):
            attempt = Attempt(f"{name}-{number}", self._rng.choice(self._system.gateways).name)
            stream.attempts.append(attempt)
            before = sum(a.last_event > 0 for a in stream.attempts[:-1])
            after = max((a.last_event for a in stream.attempts[:-1]), default=0)
            headers = formats.take_up_headers(first, after) if before else {}
            with trio.move_on_after(ATTEMPT_LIMIT_S):
                await self._ask(stream.path, attempt, headers)
            first = first or (attempt.id if attempt.last_event else "")
            may_have_run = attempt.status not in (0, 429, 503)
            if stream.complete or (stream.path == edge_system.ONCE_PREFIX and may_have_run):
                return
            await trio.sleep(RETRY_PAUSE_S)

    async def _ask(self, path: str, attempt: Attempt, headers: dict[str, str]) -> None:
        slow = self._rng.random() < SLOW_SHARE
        address = self._system.daemons[attempt.gateway].caller_address
        sent = formats.online_headers(attempt.id, edge_system.REQUEST_TIMEOUT_S) | headers
        raw = tuple((k.encode(), v.encode()) for k, v in {"host": edge_system.HOST, **sent}.items())
        try:
            with await edge_system.http1.connect(address, 1.0) as channel:
                await channel.send("POST", path.encode(), raw, b"question")
                attempt.status = (await channel.read_head()).status
                while part := await channel.read_chunk():
                    attempt.body += part
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
        raw = formats.encode_job(edge_system.NOTES_PREFIX, items)
        target = f"{edge_system.NOTES_PREFIX}{job}"
        with trio.move_on_after(FINISH_S):
            while await self._call("POST", target, formats.request_headers(job), raw) is None:
                await trio.sleep(RETRY_PAUSE_S)
            self.accepted_items += ITEMS
            position = 0
            while position < ITEMS:
                page = await self._call(
                    "GET", formats.job_target(job, position), formats.wait_headers(0.5)
                )
                for item, state, text in formats.decode_results(page) if page else ():
                    self.results[item] = state, text
                    position += 1
                await trio.sleep(0.0 if page else RETRY_PAUSE_S)

    async def _call(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> bytes | None:
        """Make a call to some gateway; return the body of a success."""
        address = self._rng.choice(self._system.gateways).caller_address
        sent = {"host": edge_system.HOST, **headers}
        with trio.move_on_after(3.0):
            try:
                got = await edge_system.call(address, method, target.encode(), sent, body)
            except engine_port.CallError:
                return None
            return got.body if got.status in (200, 202) and got.complete else None
        return None


def find_problems(system: rig.Rig, seen: Callers, events: int) -> list[str]:
    """Return what breaks the order of streams or items.

    A stream that its engine ended early, by a framing that is whole or where it can't be asked for
    again, is complete for all that the system can see.

    :param events: number of events of a whole stream.
    """
    ended_early: dict[str, bool] = {}
    for eng in system.engines:
        ended_early |= eng.ended_early
    problems = []
    for stream in seen.streams:
        once = stream.path == edge_system.ONCE_PREFIX
        excused = any(
            ended_early.get(a.id, False) or once for a in stream.attempts if a.id in ended_early
        )
        found = _judge(stream.events, stream.complete and not excused, events)
        if any(a.status == 200 and a.foreign for a in stream.attempts):
            found = "holds bytes of another response"
        if found:
            tries = ", ".join(f"{a.id} at {a.gateway} {a.status}" for a in stream.attempts)
            problems.append(f"{stream.path} {found}: {tries}")
    for item, (state, text) in seen.results.items():
        parsed = [line.rpartition("@")[2].split("-") for line in text.split("\n")] if text else []
        numbered = [(int(number), version) for version, number in parsed]
        done = state == "completed" and not ended_early.get(item, False)
        found = _judge(numbered, done, events)
        if found:
            problems.append(f"item {item} {found}")
    return problems


def _judge(events: list[tuple[int, str]], complete: bool, total: int) -> str:
    """Return what is wrong with the events of a stream or text, empty if nothing is."""
    numbers = [number for number, _ in events]
    versions = {version for _, version in events}
    if numbers != list(range(1, len(numbers) + 1)):
        return f"out of order: {numbers}"
    if len(versions) > 1:
        changed = next(n for (n, v), (_, w) in zip(events[1:], events, strict=False) if v != w)
        return f"of two versions, from event {changed} on"
    if complete and len(numbers) < total:
        return f"short: {len(numbers)} of {total} events"
    return ""
