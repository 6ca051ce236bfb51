"""The columns of the matrix: scenarios with steps for faults, and the promises they check."""

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
JOB_TIMEOUT_S = 400.0
SETTLE_S = 30.0
IN_FORCE_BOUND_S = 3.0


class Violation(AssertionError):
    """A promise was violated."""


def require(holds: bool, promise: str, detail: object = "") -> None:
    """Raise unless a promise holds."""
    if not holds:
        raise Violation(f"{promise}: {detail}")


# A request that runs at most once


async def run_confirmation(world: worlds.World) -> None:
    """Check that a keyed refill confirmation runs at most once and is reported correctly."""
    results: list[callers.AttemptResult] = []
    resent = trio.Event()

    async def resend() -> None:
        results.extend(await callers.send_confirmation(world, "k1", ("west-1", "west-2")))
        resent.set()

    world.on_resend = lambda: world.nursery.start_soon(resend)
    results.extend(await callers.send_confirmation(world, "k1", ("east-1", "west-1", "east-2")))
    if "caller resends" in world.cell_faults:
        await resent.wait()
    effects = world.plain.effects["k1"]
    require(effects <= 1, "at most once", f"{effects} effects")
    answers = {result.body for result in results if result.answered}
    require(len(answers) <= 1, "one answer for one key", answers)
    require(not answers or effects == 1, "an answer means that it ran", results)
    refusals = [result.refusal for result in results]
    if all(r is not None and r.ran is errors.Ran.NO for r in refusals):
        require(effects == 0, "not run is true", results)
    require(bool(answers) or _is_unknown(results[-1]), "a final answer", results)


def _is_unknown(result: callers.AttemptResult) -> bool:
    return result.refusal is not None and result.refusal.ran is not errors.Ran.NO


# A request that may be repeated


async def run_keyed_stream(world: worlds.World) -> None:
    """Check that a keyed stream is complete, and readable later with the same text at every VM."""
    prompt = "iron for a child of two"
    results: list[callers.AttemptResult] = []
    world.on_resend = lambda: world.nursery.start_soon(_resend_stream, world, prompt, results)
    vms = ("east-1", "west-1", "east-2")
    results.extend(await callers.send_stream(world, "question", prompt, vms, key="q1"))
    expected = engine_wire.output(prompt, callers.TOKENS)
    require(results[-1].answered, "every accepted request is answered", results)
    require(_parse_text(results[-1].body) == expected, "whole answers", results[-1].body)
    await trio.sleep(SETTLE_S)
    for vm in world.get_live_vms():
        repeated = await callers.send_stream(world, "again", prompt, (vm.name,), key="q1")
        require(repeated[-1].answered, "readable afterwards", (vm.name, repeated))
        require(
            _parse_text(repeated[-1].body) == expected,
            "the same answer everywhere",
            repeated[-1].body,
        )


async def _resend_stream(
    world: worlds.World, prompt: str, results: list[callers.AttemptResult]
) -> None:
    await callers.send_stream(world, "resent", prompt, ("west-2", "west-1"), key="q1")


def _parse_text(body: bytes) -> str:
    lines = body.decode().split("\n\n")
    events = [line for line in lines if line.startswith("data: {")]
    if engine.END_MARKER not in body:
        return "truncated"
    return "".join(json.loads(e.removeprefix("data: "))["choices"][0]["text"] for e in events)


# A job


async def run_job(world: worlds.World) -> None:
    """Check that each item ends once, at-most-once items run at most once, and results persist."""
    world.on_resend = lambda: world.nursery.start_soon(_submit, world, ("west-1",))
    header = await _submit(world, ("east-1", "west-1", "east-2"))
    ended = await _wait_until_ended(world, header.job)
    outcomes = await _read_outcomes(world, ended)
    await trio.sleep(SETTLE_S)
    require(outcomes == await _read_outcomes(world, ended), "results stay as they were")
    ids = [index for index, _ in outcomes]
    require(ids == list(range(ITEMS)), "every item ends exactly once", ids)
    for index in range(0, ITEMS, 4):
        runs = _count_runs(world, _get_user(index))
        require(runs <= 1, "at most once", f"item {index} ran {runs} times")
    for index, outcome in outcomes:
        if index % 4:
            require(outcome.kind == "ok", "every item that can is answered", outcome)


async def run_cancelled_job(world: worlds.World) -> None:
    """Check that a running job stops on every VM when cancelled, and ends as cancelled."""
    header = await _submit(world, ("east-1", "west-1", "east-2"), tokens=400)
    await trio.sleep(0.3)
    await _cancel(world, header.job)
    await _wait_until_faults_cleared(world)
    calls = sum(standin.counters().calls for standin in world.engines.values())
    ended = await _wait_until_ended(world, header.job)
    await trio.sleep(SETTLE_S)
    later = sum(standin.counters().calls for standin in world.engines.values())
    require(ended.state.value == "cancelled", "a cancelled job stops", ended)
    require(
        later == calls, "a cancelled job stops", f"{later - calls} calls after it was cancelled"
    )


async def _submit(world: worlds.World, vms: tuple[str, ...], tokens: int = 8):
    """Submit the same job until it is accepted."""
    end_s = trio.current_time() + callers.RETRY_LIMIT_S
    attempt = 0
    while trio.current_time() < end_s:
        vm = vms[attempt % len(vms)]
        attempt += 1
        try:
            accepted = await world.call_at(
                vm, lambda target_vm: _submit_at(world, target_vm, tokens)
            )
            return accepted.header
        except (errors.CornelgradeError, worlds.VmLost):
            await trio.sleep(0.5)
    raise Violation("a job is accepted once the platform is back")


async def _submit_at(world: worlds.World, vm: worlds.Vm, tokens: int):
    fleet_manifest = worlds.make_fleet_manifest()
    order = job_submission.JobRequest(
        team="clinics",
        key="night",
        service=fleet_manifest.services[0],
        priority=fleet_manifest.priorities[1],
        due_s=3600.0,
        chunk_items=CHUNK_ITEMS,
    )
    store = job_store.JobStore(world.store_kind(world, vm), worlds.unix_s)
    return await job_submission.submit(store, order, _lines(tokens))


async def _lines(tokens: int):
    for index in range(ITEMS):
        payload = {"model": "lishe", "prompt": f"note {index}", "max_tokens": tokens}
        body = {**payload, "user": _get_user(index)}
        item = {"custom_id": f"i{index}", "body": body, "idempotent": index % 4 != 0}
        yield json.dumps(item).encode() + b"\n"


async def _cancel(world: worlds.World, job: str) -> None:
    end_s = trio.current_time() + callers.RETRY_LIMIT_S
    while trio.current_time() < end_s:
        vm = world.get_live_vms()[0]
        store = job_store.JobStore(world.store_kind(world, vm), worlds.unix_s)
        try:
            await world.call_at(
                vm.name, lambda target_vm, s=store: job_ending.cancel(s, "clinics", job)
            )
            return
        except (errors.CornelgradeError, worlds.VmLost):
            await trio.sleep(0.5)
    raise Violation("a cancel is accepted once the platform is back")


async def _wait_until_ended(world: worlds.World, job: str):
    """Wait until the job has ended, reading its header directly from the platform."""
    store = job_store.JobStore(world.platform, worlds.unix_s)
    end_s = trio.current_time() + JOB_TIMEOUT_S
    while trio.current_time() < end_s:
        try:
            found = await store.header("clinics", job)
        except platform.UnavailableError:
            found = None
        if found is not None and found.header.ended_at_s:
            return found.header
        await trio.sleep(0.5)
    raise Violation("every job ends")


async def _read_outcomes(world: worlds.World, header):
    store = job_store.JobStore(world.platform, worlds.unix_s)
    found = []
    for chunk in range(header.chunks):
        async for outcome in store.outcomes(header, chunk):
            found.append((chunk * CHUNK_ITEMS + outcome.index, outcome))
    return found


def _get_user(index: int) -> str:
    """Return the user that identifies an item; every fourth item may run at most once."""
    return f"i{index}" if index % 4 else f"once-{index}"


def _count_runs(world: worlds.World, key: str) -> int:
    """Return the number of calls that engines accepted for one item, finished or not."""
    counted = [standin.counters().by_key.get(key) for standin in world.engines.values()]
    return sum(runs.calls for runs in counted if runs is not None)


# A manifest and the resulting engine orders


async def run_manifest_change(world: worlds.World) -> None:
    """Check that a manifest is soon in force on every VM, is not reverted, and reaches engines."""
    await _put(world, 2)
    await _wait_until_faults_cleared(world)
    started_s = trio.current_time()
    versions = [_get_current_manifest(vm).version for vm in world.get_live_vms()]
    while len(set(versions)) > 1 and trio.current_time() - started_s < IN_FORCE_BOUND_S:
        await trio.sleep(0.1)
        versions = [_get_current_manifest(vm).version for vm in world.get_live_vms()]
    accepted = await _accepted_version(world)
    require(set(versions) == {accepted}, "in force everywhere within seconds", versions)
    for vm in world.get_live_vms():
        require(vm.versions == sorted(vm.versions), "never reverts", vm.versions)
    await _wait_until_engines_match(world)


async def run_manifest_from_peers(world: worlds.World) -> None:
    """Check that peers relay a manifest to a failure domain that cannot reach the platform."""
    world.cut_from_platform = {"west"}
    await _put(world, 2)
    await trio.sleep(IN_FORCE_BOUND_S)
    if not world.cell_faults & {"failure domain cut off", "paused past its lease"}:
        versions = [_get_current_manifest(vm).version for vm in world.get_live_vms()]
        require(len(set(versions)) == 1, "in force everywhere within seconds", versions)
    world.cut_from_platform = set()
    await run_manifest_change(world)


async def _put(world: worlds.World, version: int) -> None:
    end_s = trio.current_time() + callers.RETRY_LIMIT_S
    vms = ("east-1", "west-1", "east-2")
    attempt = 0
    while trio.current_time() < end_s:
        vm = vms[attempt % len(vms)]
        attempt += 1
        try:
            fleet_manifest = worlds.make_fleet_manifest(version)
            await world.call_at(
                vm,
                lambda target_vm, m=fleet_manifest: worlds.put(target_vm, m, world.first_version),
            )
            return
        except errors.Refusal as exc:
            if exc.code is errors.Code.STALE:
                return
        except (errors.CornelgradeError, worlds.VmLost):
            pass
        await trio.sleep(0.5)
    raise Violation("a manifest is accepted or refused once the platform is back")


async def _accepted_version(world: worlds.World) -> int:
    """Return the accepted version, waiting for the platform if it is unavailable."""
    with trio.fail_after(callers.RETRY_LIMIT_S):
        while True:
            try:
                return (await world.platform.get("manifest", "current")).version
            except platform.UnavailableError:
                await trio.sleep(0.5)


async def _wait_until_faults_cleared(world: worlds.World) -> None:
    """Wait until partitions and platform faults have ended."""
    with trio.fail_after(60):
        while (
            world.partitioned_domains
            or world.platform.switches.down
            or world.platform.switches.slow_s
        ):
            await trio.sleep(0.1)
    await trio.sleep(IN_FORCE_BOUND_S)


def _get_current_manifest(vm: worlds.Vm) -> ports.AcceptedManifest:
    accepted = vm.kern.find("configuration", ports.Configuration).current()
    assert accepted is not None
    return accepted


async def _wait_until_engines_match(world: worlds.World) -> None:
    make_fleet_manifest = _get_current_manifest(world.get_live_vms()[0]).manifest.models[0].version
    end_s = trio.current_time() + 120
    while trio.current_time() < end_s:
        states = [
            standin.state().models if standin.up else () for standin in world.engines.values()
        ]
        if all(
            [(m.model, m.version) for m in models] == [("lishe", make_fleet_manifest)]
            for models in states
        ):
            return
        await trio.sleep(0.5)
    raise Violation(f"what the manifest says is what is running: {states}")


STEPS = {
    "once: claim, before": (run_confirmation, "before write of request"),
    "once: claim, after": (run_confirmation, "after write of request"),
    "once: before sending": (run_confirmation, "before sending request"),
    "once: after answer": (run_confirmation, "after answer to request"),
    "stream: claim, before": (run_keyed_stream, "before write of request"),
    "stream: before sending": (run_keyed_stream, "before sending request"),
    "stream: after answer": (run_keyed_stream, "after answer to request"),
    "stream: record, after": (run_keyed_stream, "after write of request"),
    "job: piece, after": (run_job, "after write of piece"),
    "job: header, before": (run_job, "before write of job"),
    "job: header, after": (run_job, "after write of job"),
    "job: claim, before": (run_job, "before write of open"),
    "job: claim, after": (run_job, "after write of open"),
    "job: before sending": (run_job, "before sending item"),
    "job: after answer": (run_job, "after answer to item"),
    "job: once, before sending": (run_job, "before sending once item"),
    "job: once, after answer": (run_job, "after answer to once item"),
    "job: commit, before": (run_job, "before write of chunk"),
    "job: commit, after": (run_job, "after write of chunk"),
    "cancel: before sending": (run_cancelled_job, "before sending item"),
    "cancel: commit, before": (run_cancelled_job, "before write of chunk"),
    "cancel: header, after": (run_cancelled_job, "after write of job"),
    "manifest: write, before": (run_manifest_change, "before write of manifest"),
    "manifest: write, after": (run_manifest_change, "after write of manifest"),
    "manifest: fetch": (run_manifest_from_peers, "manifest fetch"),
    "order: lease, before": (run_manifest_change, "before write of lease"),
    "order: before sending": (run_manifest_change, "before order"),
    "order: after sending": (run_manifest_change, "after order"),
}
