"""The matrix's columns: work in whose steps faults happen, and what must hold afterwards."""

import json

import trio
from tests.matrix import callers
from tests.matrix import world as worlds

from cornelgrade import errors
from cornelgrade.adapters import engine, platform
from cornelgrade.services import job_ending, job_store, job_submission, ports
from cornelgrade.standins import engine_wire

ITEMS = 24
CHUNK_ITEMS = 10
JOB_PATIENCE_S = 400.0
SETTLE_S = 30.0
FORCE_BOUND_S = 3.0


class Violation(AssertionError):
    """A promise was broken."""


def must(holds: bool, promise: str, detail: object = "") -> None:
    """Raise unless a promise holds."""
    if not holds:
        raise Violation(f"{promise}: {detail}")


# A request that runs at most once


async def confirm(world: worlds.World) -> None:
    """A refill confirmation with a key: at most once, and the caller is told the truth."""
    told: list[callers.Told] = []
    resent = trio.Event()

    async def send_again() -> None:
        told.extend(await callers.confirm(world, "k1", ("west-1", "west-2")))
        resent.set()

    world.on_resend = lambda: world.nursery.start_soon(send_again)
    told.extend(await callers.confirm(world, "k1", ("east-1", "west-1", "east-2")))
    if "caller resends" in world.expects:
        await resent.wait()
    effects = world.plain.effects["k1"]
    must(effects <= 1, "at most once", f"{effects} effects")
    answers = {one.body for one in told if one.answered}
    must(len(answers) <= 1, "one answer for one key", answers)
    must(not answers or effects == 1, "an answer means that it ran", told)
    refusals = [one.refusal for one in told]
    if all(r is not None and r.ran is errors.Ran.NO for r in refusals):
        must(effects == 0, "not run is true", told)
    must(bool(answers) or _is_unknown(told[-1]), "a final answer", told)


def _is_unknown(told: callers.Told) -> bool:
    return told.refusal is not None and told.refusal.ran is not errors.Ran.NO


# A request that may be repeated


async def question(world: worlds.World) -> None:
    """A keyed stream: whole, the same at every VM, and readable afterwards."""
    prompt = "iron for a child of two"
    told: list[callers.Told] = []
    world.on_resend = lambda: world.nursery.start_soon(_again, world, prompt, told)
    vms = ("east-1", "west-1", "east-2")
    told.extend(await callers.stream(world, "question", prompt, vms, key="q1"))
    expected = engine_wire.output(prompt, callers.TOKENS)
    must(told[-1].answered, "every accepted request is answered", told)
    must(_text(told[-1].body) == expected, "whole answers", told[-1].body)
    await trio.sleep(SETTLE_S)
    for vm in world.alive():
        again = await callers.stream(world, "again", prompt, (vm.name,), key="q1")
        must(again[-1].answered, "readable afterwards", (vm.name, again))
        must(_text(again[-1].body) == expected, "the same answer everywhere", again[-1].body)


async def _again(world: worlds.World, prompt: str, told: list[callers.Told]) -> None:
    await callers.stream(world, "resent", prompt, ("west-2", "west-1"), key="q1")


def _text(body: bytes) -> str:
    lines = body.decode().split("\n\n")
    events = [line for line in lines if line.startswith("data: {")]
    if engine.END_MARKER not in body:
        return "truncated"
    return "".join(json.loads(e.removeprefix("data: "))["choices"][0]["text"] for e in events)


# A job


async def job(world: worlds.World) -> None:
    """A job: each item ends once, items that may run once do, results outlive every VM."""
    world.on_resend = lambda: world.nursery.start_soon(_submit, world, ("west-1",))
    header = await _submit(world, ("east-1", "west-1", "east-2"))
    ended = await _ended(world, header.job)
    outcomes = await _outcomes(world, ended)
    await trio.sleep(SETTLE_S)
    must(outcomes == await _outcomes(world, ended), "results stay as they were")
    ids = [index for index, _ in outcomes]
    must(ids == list(range(ITEMS)), "every item ends exactly once", ids)
    for index in range(0, ITEMS, 4):
        runs = _runs(world, _user(index))
        must(runs <= 1, "at most once", f"item {index} ran {runs} times")
    for index, outcome in outcomes:
        if index % 4:
            must(outcome.kind == "ok", "every item that can is answered", outcome)


async def cancelled_job(world: worlds.World) -> None:
    """A job cancelled while it runs stops on every VM, and ends in one state."""
    header = await _submit(world, ("east-1", "west-1", "east-2"), tokens=400)
    await trio.sleep(0.3)
    await _cancel(world, header.job)
    await _wait_calm(world)
    calls = sum(held.counters().calls for held in world.engines.values())
    ended = await _ended(world, header.job)
    await trio.sleep(SETTLE_S)
    later = sum(held.counters().calls for held in world.engines.values())
    must(ended.state.value == "cancelled", "a cancelled job stops", ended)
    must(later == calls, "a cancelled job stops", f"{later - calls} calls after it was cancelled")


async def _submit(world: worlds.World, vms: tuple[str, ...], tokens: int = 8):
    """Submit the same job until it is accepted."""
    end_s = trio.current_time() + callers.PATIENCE_S
    attempt = 0
    while trio.current_time() < end_s:
        vm = vms[attempt % len(vms)]
        attempt += 1
        try:
            accepted = await world.on(vm, lambda held: _submit_at(world, held, tokens))
            return accepted.header
        except (errors.CornelgradeError, worlds.VmLost):
            await trio.sleep(0.5)
    raise Violation("a job is accepted once the platform is back")


async def _submit_at(world: worlds.World, vm: worlds.Vm, tokens: int):
    made = worlds.wanted()
    order = job_submission.Order(
        team="clinics",
        key="night",
        service=made.services[0],
        priority=made.priorities[1],
        due_s=3600.0,
        chunk_items=CHUNK_ITEMS,
    )
    store = job_store.JobStore(world.store_kind(world, vm), worlds.unix_s)
    return await job_submission.submit(store, order, _lines(tokens))


async def _lines(tokens: int):
    for index in range(ITEMS):
        asked = {"model": "lishe", "prompt": f"note {index}", "max_tokens": tokens}
        body = {**asked, "user": _user(index)}
        item = {"custom_id": f"i{index}", "body": body, "idempotent": index % 4 != 0}
        yield json.dumps(item).encode() + b"\n"


async def _cancel(world: worlds.World, job: str) -> None:
    end_s = trio.current_time() + callers.PATIENCE_S
    while trio.current_time() < end_s:
        vm = world.alive()[0]
        store = job_store.JobStore(world.store_kind(world, vm), worlds.unix_s)
        try:
            await world.on(vm.name, lambda held, s=store: job_ending.cancel(s, "clinics", job))
            return
        except (errors.CornelgradeError, worlds.VmLost):
            await trio.sleep(0.5)
    raise Violation("a cancel is accepted once the platform is back")


async def _ended(world: worlds.World, job: str):
    """Wait until the job has ended, read straight from the platform."""
    store = job_store.JobStore(world.platform, worlds.unix_s)
    end_s = trio.current_time() + JOB_PATIENCE_S
    while trio.current_time() < end_s:
        try:
            found = await store.header("clinics", job)
        except platform.UnavailableError:
            found = None
        if found is not None and found.header.ended_at_s:
            return found.header
        await trio.sleep(0.5)
    raise Violation("every job ends")


async def _outcomes(world: worlds.World, header):
    store = job_store.JobStore(world.platform, worlds.unix_s)
    found = []
    for chunk in range(header.chunks):
        async for outcome in store.outcomes(header, chunk):
            found.append((chunk * CHUNK_ITEMS + outcome.index, outcome))
    return found


def _user(index: int) -> str:
    """Name an item in its body; every fourth may run at most once."""
    return f"i{index}" if index % 4 else f"once-{index}"


def _runs(world: worlds.World, key: str) -> int:
    """Count the calls for one item that engines took in, ended or not."""
    counted = [held.counters().by_key.get(key) for held in world.engines.values()]
    return sum(runs.calls for runs in counted if runs is not None)


# A manifest and the orders that follow from it


async def manifest(world: worlds.World) -> None:
    """A new manifest: in force everywhere within seconds, never taken back, engines follow it."""
    await _put(world, 2)
    await _wait_calm(world)
    began_s = trio.current_time()
    versions = [_current(vm).version for vm in world.alive()]
    while len(set(versions)) > 1 and trio.current_time() - began_s < FORCE_BOUND_S:
        await trio.sleep(0.1)
        versions = [_current(vm).version for vm in world.alive()]
    accepted = await _accepted_version(world)
    must(set(versions) == {accepted}, "in force everywhere within seconds", versions)
    for vm in world.alive():
        must(vm.versions == sorted(vm.versions), "never reverts", vm.versions)
    await _engines_follow(world)


async def manifest_from_peers(world: worlds.World) -> None:
    """A new manifest reaches a failure domain that is cut from the platform, by way of peers."""
    world.cut_from_platform = {"west"}
    await _put(world, 2)
    await trio.sleep(FORCE_BOUND_S)
    if not world.expects & {"failure domain cut off", "paused past its lease"}:
        versions = [_current(vm).version for vm in world.alive()]
        must(len(set(versions)) == 1, "in force everywhere within seconds", versions)
    world.cut_from_platform = set()
    await manifest(world)


async def _put(world: worlds.World, version: int) -> None:
    end_s = trio.current_time() + callers.PATIENCE_S
    vms = ("east-1", "west-1", "east-2")
    attempt = 0
    while trio.current_time() < end_s:
        vm = vms[attempt % len(vms)]
        attempt += 1
        try:
            made = worlds.wanted(version)
            await world.on(vm, lambda held, m=made: worlds.put(held, m, world.first_version))
            return
        except errors.Refusal as exc:
            if exc.code is errors.Code.STALE:
                return
        except (errors.CornelgradeError, worlds.VmLost):
            pass
        await trio.sleep(0.5)
    raise Violation("a manifest is accepted or refused once the platform is back")


async def _accepted_version(world: worlds.World) -> int:
    """Read the accepted version, waiting for the platform if it is out just now."""
    with trio.fail_after(callers.PATIENCE_S):
        while True:
            try:
                return (await world.platform.get("manifest", "current")).version
            except platform.UnavailableError:
                await trio.sleep(0.5)


async def _wait_calm(world: worlds.World) -> None:
    """Wait until cuts and outages are over."""
    with trio.fail_after(60):
        while world.cut_domains or world.platform.switches.down or world.platform.switches.slow_s:
            await trio.sleep(0.1)
    await trio.sleep(FORCE_BOUND_S)


def _current(vm: worlds.Vm) -> ports.AcceptedManifest:
    accepted = vm.kern.find("configuration", ports.Configuration).current()
    assert accepted is not None
    return accepted


async def _engines_follow(world: worlds.World) -> None:
    wanted = _current(world.alive()[0]).manifest.models[0].version
    end_s = trio.current_time() + 120
    while trio.current_time() < end_s:
        states = [held.state().models if held.up else () for held in world.engines.values()]
        if all([(m.model, m.version) for m in models] == [("lishe", wanted)] for models in states):
            return
        await trio.sleep(0.5)
    raise Violation(f"what the manifest says is what is running: {states}")


STEPS = {
    "once: claim, before": (confirm, "before write of request"),
    "once: claim, after": (confirm, "after write of request"),
    "once: before sending": (confirm, "before sending request"),
    "once: after answer": (confirm, "after answer to request"),
    "stream: claim, before": (question, "before write of request"),
    "stream: before sending": (question, "before sending request"),
    "stream: after answer": (question, "after answer to request"),
    "stream: record, after": (question, "after write of request"),
    "job: piece, after": (job, "after write of piece"),
    "job: header, before": (job, "before write of job"),
    "job: header, after": (job, "after write of job"),
    "job: claim, before": (job, "before write of open"),
    "job: claim, after": (job, "after write of open"),
    "job: before sending": (job, "before sending item"),
    "job: after answer": (job, "after answer to item"),
    "job: once, before sending": (job, "before sending once item"),
    "job: once, after answer": (job, "after answer to once item"),
    "job: commit, before": (job, "before write of chunk"),
    "job: commit, after": (job, "after write of chunk"),
    "cancel: before sending": (cancelled_job, "before sending item"),
    "cancel: commit, before": (cancelled_job, "before write of chunk"),
    "cancel: header, after": (cancelled_job, "after write of job"),
    "manifest: write, before": (manifest, "before write of manifest"),
    "manifest: write, after": (manifest, "after write of manifest"),
    "manifest: fetch": (manifest_from_peers, "manifest fetch"),
    "order: lease, before": (manifest, "before write of lease"),
    "order: before sending": (manifest, "before order"),
    "order: after sending": (manifest, "after order"),
}
