"""The callers of the soak: online requests, jobs, and questions which plan is in force."""

import collections
import contextlib
import dataclasses
import random

import httpx
import trio

from bench import answers
from bench.soak import teams, world
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.policy import event_stream

PATIENCE_S = 5.0
# A caller that gives up later than it said has seen its request held.
HELD_S = PATIENCE_S + 1.0
CONNECT_S = 1.0
ONLINE_PER_S = 10.0
JOBS_PER_S = 0.5
ITEMS = 6
# Every third job has so many that it is open while the store rejects processes for seconds, unless
# this many items are unread: this process, in which all engines run, serves 25 to 36 items a second
# (measured on arm64 beside a CI run), and :data:`edge.FINISH_S` is meant for few.
LONG_ITEMS = 40
MAX_UNREAD_ITEMS = 80
CLIENTS = 8
CANCEL_SHARE = 0.15
RESUMED_SHARE = 0.5
RETRY_S = 0.2
CULPRIT_PAUSE_S = 0.7
WAIT_S = 0.5
MARK_PAUSE_S = 0.25
FOREIGN_PAUSE_S = 0.5
# An answer that takes longer says nothing of the moment at which it was asked for.
MARK_LIMIT_S = 1.0


@dataclasses.dataclass(slots=True)
class Request:
    """An online request and what became of it.

    :ivar status: 0 if no answer began.
    :ivar whole: its answer came to a proper end.
    :ivar error: how it broke.
    :ivar first: the attempt that brought the stream's first event, if this one takes it up.
    :ivar after: number of the last event that the caller had before.
    :ivar key: of the caller's team, empty for none.
    """

    id: str
    path: str
    gateway: str
    begin_s: float
    status: int = 0
    body: bytes = b""
    whole: bool = False
    error: str = ""
    end_s: float = 0.0
    first: str = ""
    after: int = 0
    key: str = ""

    @property
    def last_event(self) -> int:
        """Number of the last complete event that the caller has, 0 for none."""
        splitter = event_stream.EventSplitter()
        numbers = [event.event_id or 0 for event in splitter.feed(self.body)]
        return max(numbers, default=self.after)


@dataclasses.dataclass(slots=True)
class Job:
    """A job and what callers read of it.

    :ivar accepted_s: when its acceptance was seen.
    :ivar ended_s: when its cancellation was acknowledged.
    :ivar team: whose job it is, empty without teams.
    :ivar foreign: calls about it that were allowed to another team.
    """

    id: str
    items: tuple[str, ...]
    accepted_s: float | None = None
    ended_s: float | None = None
    results: list[tuple[str, str, str]] = dataclasses.field(default_factory=list)
    done: bool = False
    team: str = ""
    foreign: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read of a job's results that was answered.

    :param after: the position that it began at.
    :param results: what it returned, from that position on.
    """

    job: Job
    after: int
    gateway: str
    begin_s: float
    end_s: float
    status: int
    results: list[tuple[str, str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """One look at which plan a gateway serves.

    :param served: whether the route of that version was there.
    """

    gateway: str
    version: int
    begin_s: float
    end_s: float
    served: bool


class Callers:
    """Everyone who calls the system.

    :param keys_rng: draws teams and keys, so that the draws of older seeds stay as they were.
    :ivar more: whether new requests and jobs are sent.
    :ivar denied: calls of all kinds that got 401.
    """

    def __init__(self, system: world.World, rng: random.Random, keys_rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        self.keyring = system.keyring
        self.keys_rng = keys_rng
        self.denied: list[Request] = []
        self.requests: list[Request] = []
        self.jobs: list[Job] = []
        self.reads: list[Read] = []
        self.marks: list[Mark] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.more = True

    async def run(self) -> None:
        """Call until told to stop, then until every accepted job has been read."""
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(self._client)
            for daemon in self.system.gateways:
                nursery.start_soon(self._look, daemon)
            while self.more:
                job = f"job-{len(self.jobs)}"
                team = self.keys_rng.choice(self.keyring.names)
                count = self._count_items()
                items = tuple(f"{job}-item-{n}" for n in range(count))
                self.jobs.append(Job(job, items, team=team))
                nursery.start_soon(self._job, self.jobs[-1])
                await trio.sleep(self.rng.expovariate(JOBS_PER_S))

    def _count_items(self) -> int:
        """Return how many items the next job has."""
        unread = sum(len(job.items) - len(job.results) for job in self.jobs if not job.done)
        return ITEMS if len(self.jobs) % 3 or unread > MAX_UNREAD_ITEMS else LONG_ITEMS

    def _gateway(self) -> world.Daemon:
        """Draw a gateway as the balancer does: any if none is in rotation."""
        found = [d for d in self.system.gateways if d.rotation]
        return self.rng.choice(found or self.system.gateways)

    async def _client(self) -> None:
        """Send requests on a connection that is kept until it breaks."""
        while self.more:
            gateway = self._gateway()
            limits = httpx.Limits(max_connections=1)
            timeout = httpx.Timeout(HELD_S, connect=CONNECT_S)
            async with httpx.AsyncClient(limits=limits, timeout=timeout) as client:
                broken = False
                while self.more and not broken:
                    path = world.RESUMED if self.rng.random() < RESUMED_SHARE else world.ONCE
                    name = f"r{len(self.requests)}"
                    key = self.keyring.draw(self.keys_rng)
                    req = Request(name, path, gateway.name, trio.current_time(), key=key)
                    broken = not await self._ask(client, req)
                    if broken:
                        await self._take_up(req)
                    await trio.sleep(self.rng.expovariate(ONLINE_PER_S / CLIENTS))

    async def _take_up(self, req: Request) -> None:
        """Take a broken stream up, at any gateway, until it is whole or the time is over."""
        until_s = trio.current_time() + PATIENCE_S
        while req.path == world.RESUMED and req.last_event and trio.current_time() < until_s:
            gateway = self._gateway()
            again = Request(
                f"{req.first or req.id}-again-{len(self.requests)}",
                req.path,
                gateway.name,
                trio.current_time(),
                first=req.first or req.id,
                after=req.last_event,
                key=req.key,
            )
            timeout = httpx.Timeout(HELD_S, connect=CONNECT_S)
            async with httpx.AsyncClient(timeout=timeout) as client:
                await self._ask(client, again)
            self.outcomes[f"taken up {again.status} {'whole' if again.whole else 'broken'}"] += 1
            if again.status == 200 and again.whole:
                return
            req = again
            await trio.sleep(RETRY_S)

    async def _ask(self, client: httpx.AsyncClient, req: Request) -> bool:
        """Send one request; ``False`` if its connection can't be used any more."""
        self.requests.append(req)
        headers = {
            "host": edge_system.HOST,
            **formats.online_headers(req.id, PATIENCE_S),
            **formats.prompt_headers(world.FIRST_PART, req.id),
            **self._team_headers(req.key),
        }
        if req.first:
            headers |= formats.take_up_headers(req.first, req.after)
        try:
            url = f"http://{self.system.daemons[req.gateway].caller_address}{req.path}"
            body = answers.UPLOAD if self.system.uploads else b"question"
            async with client.stream("POST", url, headers=headers, content=body) as got:
                req.status = got.status_code
                async for part in got.aiter_raw():
                    req.body += part
            req.whole = True
        except httpx.HTTPError as exc:
            req.error = repr(exc)
        self._end(req, req.status)
        self.outcomes[f"{req.status} {'whole' if req.whole else 'broken'}"] += 1
        return req.whole

    async def repeat_culprit(self) -> None:
        """Send the request that crashes engines again and again, each time to some gateway."""
        number = 0
        path = self.rng.choice((world.ONCE, world.RESUMED))
        while self.more:
            headers = formats.online_headers(f"culprit-{number}", PATIENCE_S)
            await self._call("POST", path, headers, world.CULPRIT)
            await trio.sleep(CULPRIT_PAUSE_S)
            number += 1

    async def send_culprit_parts(self) -> None:
        """Send requests that share a part which crashes engines, no two alike."""
        number = 0
        path = self.rng.choice((world.ONCE, world.RESUMED))
        while self.more:
            request = f"part-{number}"
            headers = formats.online_headers(request, PATIENCE_S) | formats.prompt_headers(
                world.FIRST_PART, world.CULPRIT_PART, request
            )
            await self._call("POST", path, headers, request.encode())
            await trio.sleep(CULPRIT_PAUSE_S)
            number += 1

    async def _call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        content: bytes = b"",
        key: str = "",
        *,
        gateway: world.Daemon | None = None,
        client: httpx.AsyncClient | None = None,
    ) -> httpx.Response | None:
        """Make a call about a job; ``None`` if no whole answer came.

        :param key: of the caller's team, empty for a team without a limit.
        :param gateway: any if not given.
        :param client: whose connections are used, one of its own if not given.
        """
        gateway = gateway or self._gateway()
        key = key or self.keyring.lasting(teams.FREE_TEAM)
        req = Request(f"{method} {target}", target, gateway.name, trio.current_time(), key=key)
        sent = {"host": edge_system.HOST, **headers, **formats.key_headers(key)}
        try:
            async with contextlib.AsyncExitStack() as stack:
                if client is None:
                    client = await stack.enter_async_context(make_client())
                url = f"http://{gateway.caller_address}{target}"
                got = await client.request(method, url, headers=sent, content=content)
        except httpx.HTTPError:
            return None
        self._end(req, got.status_code)
        return got

    async def _job(self, job: Job) -> None:
        """Send a job until it is accepted, read its results, or cancel it on the way."""
        cancelled = self.rng.random() < CANCEL_SHARE
        key = self.keyring.lasting(job.team)
        bodies = {name: name.encode() for name in job.items}
        body = formats.encode_job(world.NOTES, bodies, headers=self._team_headers(key))
        while job.accepted_s is None:
            target = f"{world.NOTES}{job.id}"
            got = await self._call("POST", target, formats.request_headers(job.id), body, key)
            if got is not None and got.status_code == 202:
                job.accepted_s = trio.current_time()
            await trio.sleep(RETRY_S)
        while cancelled and job.ended_s is None:
            got = await self._call("DELETE", formats.job_target(job.id), {}, key=key)
            if got is not None and got.status_code < 300:
                job.ended_s = trio.current_time()
            await trio.sleep(RETRY_S)
        while not cancelled and len(job.results) < len(job.items):
            job.results += await self.read(job, len(job.results))
        job.done = True

    async def read(self, job: Job, after: int) -> list[tuple[str, str, str]]:
        """Read results from a position on, with another key than the job was sent with."""
        read = await self.fetch(job, after, WAIT_S, self._gateway())
        if read is None or read.status != 200:
            await trio.sleep(RETRY_S)
            return []
        return read.results

    async def fetch(
        self,
        job: Job,
        after: int,
        wait_s: float | None,
        gateway: world.Daemon,
        client: httpx.AsyncClient | None = None,
    ) -> Read | None:
        """Read results from a position on at one gateway; ``None`` if no whole answer came.

        :param wait_s: how long the call may wait for a result, ``None`` for a call without it.
        """
        begin_s = trio.current_time()
        target = formats.job_target(job.id, after)
        headers = {} if wait_s is None else formats.wait_headers(wait_s)
        key = self.keyring.lasting(job.team, 1)
        got = await self._call("GET", target, headers, key=key, gateway=gateway, client=client)
        if got is None:
            return None
        results = formats.decode_results(got.content) if got.status_code == 200 else []
        end_s = trio.current_time()
        read = Read(job, after, gateway.name, begin_s, end_s, got.status_code, results)
        self.reads.append(read)
        return read

    async def _look(self, daemon: world.Daemon) -> None:
        """Ask one gateway for routes that were just added."""
        while self.more:
            await trio.sleep(MARK_PAUSE_S)
            if not daemon.rotation:
                continue
            for version in sorted(self.system.plans)[-2:]:
                await self._look_for(daemon, version)

    async def _look_for(self, daemon: world.Daemon, version: int) -> None:
        begin_s = trio.current_time()
        request = f"mark-{len(self.marks)}"
        key = self.keyring.lasting(teams.FREE_TEAM)
        headers = {"host": edge_system.HOST, **formats.request_headers(request)}
        headers |= formats.key_headers(key)
        try:
            async with httpx.AsyncClient(timeout=MARK_LIMIT_S) as client:
                url = f"http://{daemon.caller_address}{world.mark(version)}"
                got = await client.post(url, headers=headers)
        except httpx.HTTPError:
            return
        self._end(Request(request, "", daemon.name, begin_s, key=key), got.status_code)
        served = got.status_code != 404
        self.marks.append(Mark(daemon.name, version, begin_s, trio.current_time(), served))

    def _team_headers(self, key: str) -> dict[str, str]:
        """Return the headers of a caller that names another team as its own."""
        other = self.keyring.other_team(self.keyring.team_of[key])
        return {**formats.key_headers(key), "x-tenant": other} if key else {}

    def _end(self, req: Request, status: int) -> None:
        req.end_s = trio.current_time()
        if status == 401:
            self.denied.append(req)

    async def heat(self) -> None:
        """Send far more requests of one team than it may, while it is hot."""
        number = 0
        timeout = httpx.Timeout(HELD_S, connect=CONNECT_S)
        async with httpx.AsyncClient(timeout=timeout) as client, trio.open_nursery() as nursery:
            while self.more:
                await trio.sleep(1 / (teams.HOT_FACTOR * teams.HOT_LIMIT.rate_per_s))
                if (now_s := trio.current_time()) < self.system.hot_until_s:
                    key = self.keyring.draw(self.keys_rng, teams.HOT_TEAM)
                    number += 1
                    req = Request(f"hot-{number}", world.ONCE, self._gateway().name, now_s, key=key)
                    nursery.start_soon(self._ask, client, req)

    async def try_foreign_keys(self) -> None:
        """Try to read and to cancel jobs with a key of another team."""
        while self.more:
            await trio.sleep(FOREIGN_PAUSE_S)
            job = self.keys_rng.choice(self.jobs)
            key = self.keyring.lasting(self.keyring.other_team(job.team))
            for method, after in (("GET", 0), ("DELETE", None)):
                target = formats.job_target(job.id, after)
                got = await self._call(method, target, formats.wait_headers(0), key=key)
                if got is not None and got.status_code < 300:
                    job.foreign.append(f"{method} {target}")


def make_client() -> httpx.AsyncClient:
    """Make a client that waits no longer than an answer may take."""
    return httpx.AsyncClient(timeout=httpx.Timeout(HELD_S, connect=CONNECT_S))
