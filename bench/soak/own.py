"""Soak of batch jobs: real processes under a seeded schedule of kills, freezes and outages.

Every accepted item has to end once, the engines' counters have to agree, and no non-idempotent
item may have run twice::

    python -m bench.soak own --seeds=1 --jobs=14 --items=800
"""

import collections
import contextlib
import dataclasses
import json
import random
import signal
import time
from collections.abc import Callable

import httpx
from tests.process import harness

from cornelgrade.standins import engine_model, engine_wire

LEASE_S = 1.0
FREEZE_S = (2.0, 16.0)
PAUSE_S = (0.5, 2.5)
TICK_S = 0.1
ONCE_SHARE = 0.1
TOKENS = (3, 8)
# An item whose text mixes the two has the text of neither.
VERSIONS = ("v1", "v2")
ENGINE = {"step_s": 0.004, "sequence_step_s": 0.0002}
BATCH = {"chunk_items": 50, "lease_s": LEASE_S, "lean": 1.0, "max_attempts": 4}


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item and how it may end."""

    name: str
    prompt: str
    tokens: int
    once: bool
    hopeless: bool

    def line(self) -> str:
        """Give its line of the submission."""
        body = {"model": "lishe", "prompt": self.prompt, "max_tokens": self.tokens}
        body["user"] = self.name
        return json.dumps({"custom_id": self.name, "body": body, "idempotent": not self.once})

    def allowed(self) -> set[str]:
        """Give the outcomes that are right."""
        if self.hopeless:
            return {"error"}
        return {"ok", "unknown"} if self.once else {"ok"}


@dataclasses.dataclass(slots=True)
class Job:
    """A job and the identity that its acceptance gave."""

    key: str
    items: list[Item]
    id: str = ""
    state: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run found; ``problems`` is empty if all checks held."""

    items: int
    seconds: float
    faults: dict[str, int]
    outcomes: dict[str, int]
    problems: list[str]


def make_jobs(rng: random.Random, count: int, size: int) -> list[Job]:
    """Draw the jobs; each second one has an item that crashes engines."""
    jobs = []
    for number in range(count):
        items = []
        for index in range(size):
            name = f"j{number}-i{index}"
            poison = index == size // 2 and number % 2 == 1
            items.append(
                Item(
                    name=name,
                    prompt=engine_model.CRASH_MARKER if poison else f"note {name}",
                    tokens=rng.randint(*TOKENS),
                    once=not poison and rng.random() < ONCE_SHARE,
                    hopeless=poison,
                )
            )
        jobs.append(Job(f"night-{number}", items))
    return jobs


class Faults:
    """Carries out the seeded faults and what undoes them."""

    def __init__(self, fleet: harness.Fleet, rng: random.Random) -> None:
        self.done: collections.Counter[str] = collections.Counter()
        self._fleet = fleet
        self._rng = rng
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._busy: set[str] = set()
        self._next_s = time.monotonic() + 2.0
        self._kinds: dict[str, Callable[[], None]] = {
            "kill worker": self._kill_worker,
            "kill gateway": self._kill_gateway,
            "freeze worker": self._freeze_worker,
            "crash engine": self._crash_engine,
            "platform down": self._platform_down,
            "lost answers": self._lose_answers,
        }

    def tick(self, *, more: bool) -> None:
        """Do what is due; with ``more`` draw new faults too."""
        now_s = time.monotonic()
        due = [entry for entry in self._later if entry[0] <= now_s]
        self._later = [entry for entry in self._later if entry[0] > now_s]
        for _, undo in due:
            undo()
        if more and now_s >= self._next_s:
            self._next_s = now_s + self._rng.uniform(*PAUSE_S)
            kind = self._rng.choice(sorted(self._kinds))
            self._kinds[kind]()
            self.done[kind] += 1

    def settle(self) -> None:
        """Undo everything that is still in force."""
        for _, undo in self._later:
            undo()
        self._later.clear()

    def _process(self, part: str) -> harness.Process | None:
        """Draw a process of the VMs that nothing happens to now."""
        found = [getattr(vm, part) for vm in self._fleet.vms]
        free = [process for process in found if process.name not in self._busy]
        return self._rng.choice(free) if free else None

    def _after(self, seconds: float, undo: Callable[[], None]) -> None:
        self._later.append((time.monotonic() + seconds, undo))

    def _kill(self, process: harness.Process | None) -> None:
        if process is None:
            return
        self._busy.add(process.name)
        process.kill()

        def again() -> None:
            process.restart()
            self._busy.discard(process.name)

        self._after(self._rng.uniform(0.2, 3.0), again)

    def _kill_worker(self) -> None:
        self._kill(self._process("worker"))

    def _kill_gateway(self) -> None:
        self._kill(self._process("gateway"))

    def _freeze_worker(self) -> None:
        process = self._process("worker")
        if process is None:
            return
        self._busy.add(process.name)
        process.send(signal.SIGSTOP)

        def thaw() -> None:
            process.send(signal.SIGCONT)
            self._busy.discard(process.name)

        self._after(self._rng.uniform(*FREEZE_S), thaw)

    def _crash_engine(self) -> None:
        engines = sorted(name for name in self._fleet.upstreams if name.startswith("engine"))
        restart_s = self._rng.uniform(0.3, 2.0)
        with contextlib.suppress(httpx.TransportError):  # it is down already
            self._fleet.switch(self._rng.choice(engines), crash=True, restart_s=restart_s)

    def _platform_down(self) -> None:
        self._fleet.switch("platform", down=True)
        self._after(self._rng.uniform(0.5, 5.0), lambda: self._fleet.switch("platform"))

    def _lose_answers(self) -> None:
        self._fleet.switch("platform", lose_answers=self._rng.randint(1, 5))


class Soak:
    """One run: submits jobs at random VMs while faults go on, then checks everything."""

    def __init__(self, fleet: harness.Fleet, jobs: list[Job], seed: int) -> None:
        self._fleet = fleet
        self._jobs = jobs
        self._rng = random.Random(seed + 1)
        self._faults = Faults(fleet, random.Random(seed + 2))
        self._outcomes: collections.Counter[str] = collections.Counter()

    def run(self, timeout_s: float) -> Report:
        """Run until every job has ended, then check."""
        began_s = time.monotonic()
        waiting = collections.deque(self._jobs)
        problems = []
        while any(job.state != "done" for job in self._jobs):
            if time.monotonic() - began_s > timeout_s:
                problems = [f"{j.key} is {j.state!r}" for j in self._jobs if j.state != "done"]
                break
            self._faults.tick(more=bool(waiting) or self._running_share() > 0.3)
            if waiting and self._submit(waiting[0]):
                waiting.popleft()
            self._poll()
            time.sleep(TICK_S)
        self._faults.settle()
        elapsed_s = time.monotonic() - began_s
        time.sleep(1.0)
        if not problems:
            problems = [problem for job in self._jobs for problem in self._check(job)]
            problems += self._check_counters()
        items = sum(len(job.items) for job in self._jobs)
        faults = dict(self._faults.done)
        return Report(items, elapsed_s, faults, dict(self._outcomes), problems)

    def _running_share(self) -> float:
        running = sum(job.state not in ("", "done") for job in self._jobs)
        return running / len(self._jobs)

    def _request(self, method: str, path: str, **more) -> httpx.Response | None:
        """Ask a random VM; ``None`` if it gave no good answer."""
        try:
            with self._fleet.call(self._rng.randrange(len(self._fleet.vms))) as client:
                client.timeout = httpx.Timeout(10.0)
                answer = client.request(method, path, **more)
        except httpx.HTTPError:
            return None
        return answer if answer.is_success else None

    def _submit(self, job: Job) -> bool:
        body = "\n".join(item.line() for item in job.items)
        headers = {"Idempotency-Key": job.key, "Cornelgrade-Priority": "batch"}
        answer = self._request("POST", "/v1/jobs", content=body, headers=headers)
        if answer is None:
            return False
        job.id, job.state = answer.json()["id"], answer.json()["state"]
        return True

    def _poll(self) -> None:
        for job in self._jobs:
            if job.id and job.state != "done":
                answer = self._request("GET", f"/v1/jobs/{job.id}")
                if answer is not None:
                    job.state = answer.json()["state"]
                return

    def _check(self, job: Job) -> list[str]:
        answer = None
        for _ in range(20):
            answer = answer or self._request("GET", f"/v1/jobs/{job.id}/results")
        if answer is None:
            return [f"{job.key}: no results"]
        lines = [json.loads(line) for line in answer.text.splitlines()]
        if [line["custom_id"] for line in lines] != [item.name for item in job.items]:
            return [f"{job.key}: results are not the items in order"]
        problems = []
        for item, line in zip(job.items, lines, strict=True):
            self._outcomes[line["outcome"]] += 1
            if line["outcome"] not in item.allowed():
                problems.append(f"{item.name}: {line['outcome']} {line.get('error')}")
            elif line["outcome"] == "ok" and not _right(item, line):
                problems.append(f"{item.name}: wrong text")
        return problems

    def _check_counters(self) -> list[str]:
        """Compare with how often the engines say that each item came and was completed."""
        calls: collections.Counter[str] = collections.Counter()
        completions: collections.Counter[str] = collections.Counter()
        for name in self._fleet.upstreams:
            if name.startswith("engine"):
                for key, runs in self._fleet.counters(name)["by_key"].items():
                    calls[key] += runs["calls"]
                    completions[key] += runs["completions"]
        problems = []
        for item in (item for job in self._jobs for item in job.items):
            if item.once and calls[item.name] > 1:
                problems.append(f"{item.name}: not idempotent and ran {calls[item.name]} times")
            if not item.once and not item.hopeless and not completions[item.name]:
                problems.append(f"{item.name}: the engines never completed it")
        return problems


def _right(item: Item, line: dict) -> bool:
    text = line["response"]["choices"][0]["text"]
    return text in {
        engine_wire.output(item.prompt, item.tokens, software_version=version)
        for version in VERSIONS
    }


def run(seed: int, jobs: int, items: int, *, vms: int = 3, timeout_s: float = 300.0) -> Report:
    """Run one seeded soak."""
    drawn = make_jobs(random.Random(seed), jobs, items)
    with harness.Fleet(
        vms=vms, engines=3, engine=ENGINE, versions=VERSIONS, manifest={"batch": BATCH}
    ) as fleet:
        return Soak(fleet, drawn, seed).run(timeout_s)
