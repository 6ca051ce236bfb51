"""An engine crashes; the items that it was writing are listed as completed with a part of their text."""

import base64
import json
import pathlib

import rig
import trio

import engines

RECORD = pathlib.Path(__file__).with_name("record.txt")
JOB = "7c41e09b52d6a3f8"
ITEMS = 12
EVENTS, EVENT_S = 40, 0.05


def submission() -> bytes:
    items = [
        {
            "id": f"e5b2907c14da6f{number:02x}", "path": f"/notes/3/{number}",
            "headers": {"X-Model": "m"}, "tokens": 940,
            "body": base64.b64encode(b"note %d" % number).decode(),
        }
        for number in range(ITEMS)
    ]
    return json.dumps({"items": items}).encode()


async def play(r: rig.Rig, record: rig.Record) -> int:
    made = [engines.Engine(f"i-{n}", EVENTS, EVENT_S, unframed=True) for n in range(6)]
    try:
        return await watch(r, record, made)
    finally:
        for engine in made:
            engine.kill()


async def watch(r: rig.Rig, record: rig.Record, made: list[engines.Engine]) -> int:
    zones = ("north", "south", "east")
    for number, engine in enumerate(made):
        told = await engine.listens()
        await r.register(engine.name, told["address"], zones[number % 3], born=told["born"])
    await r.plan(1, [rig.online_route("questions", "/questions/"), rig.batch_route()], ["llm"])
    for number, zone in enumerate(zones):
        await r.start(f"worker-{number}", "worker", zone)
        await r.start(f"gateway-{number}", "gateway", zone)
    names = [f"gateway-{n}" for n in range(3)]
    await r.wait_ready(*names)
    fronts = [r.programs[name].front for name in names]
    await trio.sleep(2.0)
    got = await rig.ask_once(
        fronts[0], "POST", f"/notes/{JOB}",
        {"x-request-id": JOB, "content-type": "application/json"}, submission(),
    )
    record.note(f"client: POST /notes/{JOB}: {got.status} {got.error}")
    if got.status != 202:
        return rig.COULD_NOT_RUN
    with trio.fail_after(10):
        while sum(engine.running() for engine in made) < ITEMS:
            await trio.sleep(0.02)
    await trio.sleep(0.6)
    busiest = max(made, key=lambda engine: engine.running())
    if rig.TROUBLE:
        record.note(f"engine {busiest.name} crashes (SIGKILL) while it writes {busiest.running()} items")
        busiest.kill()
    results: list[dict] = []
    with trio.move_on_after(40):
        while len(results) < ITEMS:
            _, results = await rig.read_results(fronts[1], JOB)
            await trio.sleep(0.3)
    broken = 0
    for position, result in enumerate(results):
        whole = "\n".join(f"{result['id']}-{n} v1" for n in range(1, EVENTS + 1))
        lines = result["text"].count("\n") + 1 if result["text"] else 0
        wrong = result["state"] == "completed" and result["text"] != whole
        broken += wrong
        record.note(f"client: position {position}: item {result['id']} {result['state']}, {lines} of {EVENTS} "
                    f"events{' NOT WHOLE' if wrong else ''}")
    record.note(f"{broken} of {ITEMS} items are completed with a text that isn't the whole output")
    if len(results) < ITEMS:
        return rig.COULD_NOT_RUN
    return rig.BROKEN if broken else rig.HELD


rig.main(RECORD, play)
