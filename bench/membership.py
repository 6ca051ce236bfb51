"""Cost and verdicts of membership on loopback, with members as tasks over real datagrams.

The first group of members is observed; the others run in further processes. One member runs in a
process of its own, which is stopped for a while (SIGSTOP) and killed.

Usage:
  membership [--sizes=LIST] [--quiet=SECONDS] [--lossy=SECONDS] [--group=N] [--seed=N]
  membership --child=ADDRESSES --first=I --last=I --lossy-at=PATH --seed=N

Options:
  --sizes=LIST       Members, with commas [default: 9,50,100,200].
  --quiet=SECONDS    How long to measure the cost [default: 10].
  --lossy=SECONDS    How long to lose 5% of the datagrams [default: 15].
  --seed=N           Seed of the members' generators [default: 1].
  --group=N          Members in one process [default: 50].
  --child=ADDRESSES  Peer addresses with commas; run some of the members only.
  --first=I          The first of them.
  --last=I           The last of them.
  --lossy-at=PATH    Lose datagrams while this file is there.
"""

import contextlib
import dataclasses
import datetime
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import docopt
import logbook
import trio

from cornelgrade import settings
from cornelgrade.adapters import peer_key
from cornelgrade.services import membership, ports
from cornelgrade.standins import local_ports

LOSS = 0.05
FREEZE_S = 3.0
AFTER_FREEZE_S = 10.0
TARGET_MEMBERS = 390
BUDGET_CPU_PERCENT = 4.6
BUDGET_MB = 64
BUDGET_KB_S = 25
FAILURE_DOMAINS = 3
KEY = peer_key.derive(b"bench")
State = ports.MemberState


class Observed(membership.Membership):
    """A member that notes when it learns of suspicions and deaths."""

    def __init__(self, *args, seen: dict, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.seen = seen

    def _changed(self, member: ports.Member, before: ports.Member | None) -> None:
        super()._changed(member, before)
        if before is None or before.state is not member.state:
            key = (member.vm, member.incarnation, member.state)
            self.seen.setdefault(key, []).append(time.monotonic())


@dataclasses.dataclass(frozen=True)
class Row:
    """What one fleet size gave."""

    members: int
    joined_s: float
    kb_s: float
    cpu_percent: float
    own_process_cpu_percent: float
    rss_mb: float
    loss_suspects: int
    loss_deaths: int
    freeze_suspects: int
    freeze_deaths: int
    suspected_s: float
    first_dead_s: float
    all_dead_s: float


def make_settings(addresses: list[str], i: int) -> settings.Settings:
    """Make the settings of member ``i``."""
    return settings.Settings(
        vm=f"vm-{i:03d}",
        failure_domain=f"domain-{i % FAILURE_DOMAINS}",
        gateway_address="127.0.0.1:1",
        peer_address=addresses[i],
        worker_address="127.0.0.1:2",
        seeds=tuple(addresses[1:4]),
        platform_url="http://127.0.0.1:1",
        peer_key_file="unused",
    )


async def run_child(addresses: list[str], chosen: range, lossy: pathlib.Path, seed: int) -> None:
    """Run some members until killed."""
    rng = random.Random(seed + chosen.start)
    loss = 0.0

    def cut(_: str) -> bool:
        return loss > 0 and rng.random() < loss

    async with trio.open_nursery() as nursery:
        for i in chosen:
            cfg = make_settings(addresses, i)
            made = membership.Membership(cfg, KEY, rng=random.Random(seed + i), cut=cut)
            nursery.start_soon(made.run, lambda: None)
        while True:
            loss = LOSS if lossy.exists() else 0.0
            await trio.sleep(0.1)


@contextlib.contextmanager
def child_process(
    addresses: list[str], chosen: range, lossy: pathlib.Path, seed: int
) -> Iterator[subprocess.Popen]:
    """Run some members in a process of their own."""
    args = [
        f"--child={','.join(addresses)}",
        f"--first={chosen.start}",
        f"--last={chosen.stop - 1}",
        f"--lossy-at={lossy}",
        f"--seed={seed}",
    ]
    child = subprocess.Popen([sys.executable, "-m", "bench.membership", *args])
    try:
        yield child
    finally:
        child.kill()
        child.wait()


def cpu_s(pid: int) -> float:
    """Read a process's processor time."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid: int) -> float:
    """Read a process's resident memory."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Run:
    """One fleet size."""

    def __init__(self, size: int, group: int, lossy: pathlib.Path, seed: int) -> None:
        self.size = size
        self.lossy = lossy
        self.groups = [range(i, min(i + group, size)) for i in range(1, size, group)]
        self.seed = seed
        self.addresses = [local_ports.free_address() for _ in range(size)]
        self.loss = 0.0
        self.seen: dict = {}
        self.rng = random.Random(seed)
        self.members = [self._member(i) for i in self.groups[0]]

    def _member(self, i: int) -> Observed:
        return Observed(
            make_settings(self.addresses, i),
            KEY,
            rng=random.Random(self.seed + i),
            cut=lambda _: self.loss > 0 and self.rng.random() < self.loss,
            seen=self.seen,
        )

    def _joined(self) -> bool:
        return all(len(member.view().usable()) == self.size for member in self.members)

    def _count(self, state: State, vm: str = "") -> int:
        return len([key for key in self.seen if key[2] is state and (not vm or key[0] == vm)])

    def _bytes(self) -> int:
        traffic = [member.traffic() for member in self.members]
        return sum(t.sent_bytes + t.received_bytes for t in traffic)

    async def measure(self, quiet_s: float, lossy_s: float) -> Row:
        """Go through all phases."""
        with contextlib.ExitStack() as stack:
            child, *_ = [
                stack.enter_context(child_process(self.addresses, chosen, self.lossy, self.seed))
                for chosen in (range(1), *self.groups[1:])
            ]
            async with trio.open_nursery() as nursery:
                for member in self.members:
                    await nursery.start(lambda task_status, m=member: m.run(task_status.started))
                joined_s = await self._until(self._joined)
                cost = await self._cost(child.pid, quiet_s)
                loss = await self._lossy(lossy_s)
                freeze = await self._freeze(child)
                death = await self._death(child)
                nursery.cancel_scope.cancel()
        return Row(self.size, joined_s, *cost, *loss, *freeze, *death)

    async def _until(self, condition, timeout_s: float = 60.0) -> float:
        began = time.monotonic()
        with trio.move_on_after(timeout_s):
            while not condition():
                await trio.sleep(0.05)
        return time.monotonic() - began

    async def _cost(self, pid: int, quiet_s: float) -> tuple[float, float, float, float]:
        await self._until(lambda: not any(m.pending_updates() for m in self.members))
        before = (self._bytes(), time.process_time(), cpu_s(pid), time.monotonic())
        await trio.sleep(quiet_s)
        took_s = time.monotonic() - before[3]
        count = len(self.members)
        return (
            (self._bytes() - before[0]) / took_s / count / 1e3,
            100 * (time.process_time() - before[1]) / took_s / count,
            100 * (cpu_s(pid) - before[2]) / took_s,
            rss_mb(pid),
        )

    async def _lossy(self, lossy_s: float) -> tuple[int, int]:
        self.seen.clear()
        self.loss = LOSS
        self.lossy.touch()
        await trio.sleep(lossy_s)
        self.lossy.unlink()
        self.loss = 0.0
        await trio.sleep(3.0)
        found = (self._count(State.SUSPECT), self._count(State.DEAD))
        return found

    async def _freeze(self, child: subprocess.Popen) -> tuple[int, int]:
        self.seen.clear()
        child.send_signal(signal.SIGSTOP)
        await trio.sleep(FREEZE_S)
        child.send_signal(signal.SIGCONT)
        await trio.sleep(AFTER_FREEZE_S)
        return self._count(State.SUSPECT), self._count(State.DEAD)

    async def _death(self, child: subprocess.Popen) -> tuple[float, float, float]:
        self.seen.clear()
        killed = time.monotonic()
        child.kill()

        def times(state: State) -> list[float]:
            return [t for key, at in self.seen.items() if key[2] is state for t in at]

        await self._until(lambda: len(times(State.DEAD)) >= len(self.members))
        dead = times(State.DEAD) or [float("nan")]
        suspected = times(State.SUSPECT) or [float("nan")]
        return min(suspected) - killed, min(dead) - killed, max(dead) - killed


def extrapolate(rows: list[Row], field: str) -> float:
    """Carry a column on to the target size by a straight line."""
    sizes = [row.members for row in rows]
    values = [getattr(row, field) for row in rows]
    if len(rows) < 2:
        return values[0]
    slope, intercept = statistics.linear_regression(sizes, values)
    return intercept + slope * TARGET_MEMBERS


def table(rows: list[Row], seed: int) -> str:
    """Write the page's table."""
    command = " ".join(["python -m bench.membership", *sys.argv[1:]])
    lines = [
        f"`{command}`, seed {seed}, {datetime.datetime.now(datetime.UTC):%Y-%m-%d %H:%M} UTC",
        "",
        "| members | joined s | KB/s a member | CPU % a member | CPU % in own process | RSS MB own "
        "process | 5% loss: suspected / dead | frozen 3 s: suspected / dead | killed: suspected s "
        "/ first dead s / all know s |",
        "|" + " --- |" * 9,
    ]
    for r in rows:
        lines.append(
            f"| {r.members} | {r.joined_s:.1f} | {r.kb_s:.2f} | {r.cpu_percent:.3f} "
            f"| {r.own_process_cpu_percent:.2f} | {r.rss_mb:.1f} "
            f"| {r.loss_suspects} / {r.loss_deaths} | {r.freeze_suspects} / {r.freeze_deaths} "
            f"| {r.suspected_s:.1f} / {r.first_dead_s:.1f} / {r.all_dead_s:.1f} |"
        )
    lines.append("")
    fields = ("kb_s", "cpu_percent", "own_process_cpu_percent", "rss_mb")
    kb_s, cpu, own_cpu, rss = (extrapolate(rows, field) for field in fields)
    lines.append(
        f"Straight line to {TARGET_MEMBERS} members: {kb_s:.2f} KB/s of {BUDGET_KB_S}; "
        f"{cpu:.3f}% of a core as a task and {own_cpu:.2f}% in a process of its own, of "
        f"{BUDGET_CPU_PERCENT}%; {rss:.1f} MB for the whole process, interpreter and libraries "
        f"included, of {BUDGET_MB}."
    )
    return "\n".join(lines)


def main() -> None:
    """Run the sizes that were asked for."""
    args = docopt.docopt(__doc__)
    seed = int(args["--seed"])
    with logbook.NullHandler().applicationbound(), tempfile.TemporaryDirectory() as folder:
        if args["--child"]:
            chosen = range(int(args["--first"]), int(args["--last"]) + 1)
            lossy = pathlib.Path(args["--lossy-at"])
            trio.run(run_child, args["--child"].split(","), chosen, lossy, seed)
            return
        rows = []
        for size in map(int, args["--sizes"].split(",")):
            run = Run(size, int(args["--group"]), pathlib.Path(folder, "lossy"), seed)
            rows.append(trio.run(run.measure, float(args["--quiet"]), float(args["--lossy"])))
            print(rows[-1], file=sys.stderr, flush=True)
    print(table(rows, seed))


if __name__ == "__main__":
    main()
