"""Records under random interleavings of lost, late and refused platform calls and dying VMs."""

import collections
import dataclasses
import random

import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cornelgrade import errors
from cornelgrade.adapters import platform
from cornelgrade.policy import idempotency
from cornelgrade.services import ports, records
from cornelgrade.standins import platform_store

VMS = ("one", "two", "three")
EPOCH_S = 1_700_000_000.0
NO_RATE_LIMITS = platform_store.Switches(writes_per_s=0, reads_per_s=0)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A caller's attempt to run a request; ``ending`` is how its run ends."""

    at_s: float
    vm: str
    key: str
    body: str
    ending: str
    takes_s: float


@dataclasses.dataclass(frozen=True)
class Death:
    at_s: float
    vm: str
    noticed: bool


@dataclasses.dataclass(frozen=True)
class Outage:
    at_s: float
    lasts_s: float


class FaultyStore:
    """Forwards calls with delays, lost answers, and writes that take effect after they failed."""

    def __init__(self, store, rng, faults, nursery):
        self._store = store
        self._rng = rng
        self._faults = faults
        self._nursery = nursery

    def __getattr__(self, name):
        method = getattr(self._store, name)

        async def call(*args, **kw):
            await trio.sleep(self._rng.random() * 0.05)
            fault = self._rng.choices(("none", *self._faults), (6, *([1] * len(self._faults))))[0]
            writes = name in ("create", "update", "delete")
            if fault == "refused":
                raise platform.UnavailableError("refused", step=name)
            if fault == "late" and writes:
                self._nursery.start_soon(self._write_late, method, args, kw)
                await trio.sleep(0.1)
                raise platform.UnavailableError("late", step=name, outcome_unknown=True)
            result = await method(*args, **kw)
            if fault == "lost":
                raise platform.UnavailableError("lost", step=name, outcome_unknown=writes)
            await trio.sleep(self._rng.random() * 0.05)
            return result

        return call

    async def _write_late(self, method, args, kw):
        await trio.sleep(self._rng.random() * 3.0)
        try:
            await method(*args, **kw)
        except (platform.ConflictError, platform.UnavailableError):
            return


class World:
    """Runs a plan and checks the guarantees of the records during the run."""

    def __init__(self, seed, faults):
        self.rng = random.Random(seed)
        self.faults = faults
        self.dispatched = collections.Counter()
        self.first_answers = {}
        self.answers = {}
        self.dead = set()
        self.scopes = {}
        self.died = {}
        self.vms = {}

    async def run(self, plan):
        async with trio.open_nursery() as nursery:
            self.store = platform_store.MemoryPlatform(NO_RATE_LIMITS)
            self.faulty = FaultyStore(self.store, self.rng, self.faults, nursery)
            for vm in VMS:
                self.scopes[vm] = trio.CancelScope()
                self.died[vm] = trio.Event()
                self.vms[vm] = self._create_service(vm)
                nursery.start_soon(self._run_vm, vm)
            async with trio.open_nursery() as actors:
                for step in plan:
                    actors.start_soon(self._run_step, step)
            await trio.sleep(20)
            self._check_stored()
            for scope in self.scopes.values():
                scope.cancel()
            await trio.sleep(1)
            nursery.cancel_scope.cancel()

    def _create_service(self, vm):
        return records.Records(
            self.faulty,
            vm,
            dead=lambda name: name in self.dead,
            clock=lambda: EPOCH_S + trio.current_time(),
            max_run_s=8.0,
        )

    async def _run_vm(self, vm):
        with self.scopes[vm]:
            await self.vms[vm].run(lambda: None)

    async def _run_step(self, step):
        await trio.sleep(step.at_s)
        if isinstance(step, Death):
            self.scopes[step.vm].cancel()
            self.died[step.vm].set()
            if step.noticed:
                await trio.sleep(0.2)
                self.dead.add(step.vm)
        elif isinstance(step, Outage):
            self.store.switch(platform_store.Switches(down=True))
            await trio.sleep(step.lasts_s)
            self.store.switch(NO_RATE_LIMITS)
        elif not self.scopes[step.vm].cancel_called:
            await self._attempt(step)

    async def _attempt(self, step):
        task_scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_vm_dies, step.vm, task_scope)
            with task_scope:
                await self._run_attempt(step)
            nursery.cancel_scope.cancel()

    async def _cancel_when_vm_dies(self, vm, task_scope):
        await self.died[vm].wait()
        task_scope.cancel()

    async def _run_attempt(self, step):
        vm = self.vms[step.vm]
        idempotent = step.key.startswith("again")
        claim = ports.Claim("afya", step.key, "r", step.body, idempotent, 3.0)
        try:
            result = await vm.begin(claim)
        except errors.Refusal as exc:
            assert exc.code in (
                errors.Code.CONFLICT,
                errors.Code.OUTCOME_UNKNOWN,
                errors.Code.UNAVAILABLE,
                errors.Code.DEADLINE,
            )
            return
        if isinstance(result, ports.StoredResponse):
            if not idempotent:
                assert result.body == self.answers[step.key]
            return
        if step.ending == "not_run":
            await vm.abandon(result, errors.Ran.NO)
            return
        self.dispatched[step.key] += 1
        if not idempotent:
            assert self.dispatched[step.key] <= 1, step
        body = f"{step.key}-{self.dispatched[step.key]}".encode()
        self.answers[step.key] = body
        await trio.sleep(step.takes_s)
        if step.ending == "broken":
            await vm.abandon(result, errors.Ran.UNKNOWN)
            return
        await vm.finish(result, ports.StoredResponse(200, "text/plain", body))
        self._check_stored()

    def _check_stored(self):
        """Check that a stored answer has not changed since it was first seen."""
        for stored in self.store._get_kind_store("request").objects.values():
            for record_id, record in idempotency.decode(stored.value).records.items():
                if record.answer is not None:
                    assert self.first_answers.setdefault(record_id, record.answer) == record.answer


ATTEMPTS = st.builds(
    Attempt,
    at_s=st.sampled_from([0.0, 0.01, 0.05, 0.2, 1.0, 3.0, 9.0]),
    vm=st.sampled_from(VMS),
    key=st.sampled_from(["once-1", "once-1", "once-2", "again-1", "again-1"]),
    body=st.sampled_from(["b", "b", "b", "b", "other"]),
    ending=st.sampled_from(["answer", "answer", "broken", "not_run"]),
    takes_s=st.sampled_from([0.0, 0.1, 1.0, 12.0]),
)
DEATHS = st.builds(
    Death,
    at_s=st.sampled_from([0.05, 0.15, 0.3, 1.1]),
    vm=st.sampled_from(VMS[:2]),
    noticed=st.booleans(),
)
OUTAGES = st.builds(
    Outage, at_s=st.sampled_from([0.0, 0.1, 0.2, 1.0]), lasts_s=st.sampled_from([0.3, 3.0])
)
FAULTS = st.sampled_from([(), ("lost",), ("late",), ("refused",), ("lost", "late", "refused")])


@st.composite
def plans(draw):
    """Return plans whose attempts often share a key, with few VM deaths and outages."""
    return (
        *draw(st.lists(ATTEMPTS, min_size=8, max_size=12)),
        *draw(st.lists(DEATHS, max_size=2)),
        *draw(st.lists(OUTAGES, max_size=1)),
    )


@pytest.fixture(autouse=True)
def fixed_schedule(monkeypatch):
    """Make trio schedule tasks in the same order in each run."""
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)


@settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(plan=plans(), faults=FAULTS, seed=st.integers(0, 10_000))
def test_promises_hold_in_every_interleaving(plan, faults, seed):
    trio._core._run._r.seed(seed)
    world = World(seed, faults)
    trio.run(world.run, plan, clock=trio.testing.MockClock(autojump_threshold=0))
