"""An accepted batch job answers 404 once the operator has removed its route."""

import base64
import json
import pathlib

import rig
import trio

from cornelgrade.platform.standins import stream_engine

RECORD = pathlib.Path(__file__).with_name("record.txt")
JOB = "7c41e09b52d6a3f8"
ITEMS = 6
CONFIG_APPLY_S = 2.0


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
    for number in range(2):
        engine = stream_engine.StreamEngine(f"i-{number}", events=10, event_s=0.03)
        await r.register(engine.name, await r.nursery.start(engine.run))
    online, batch = rig.online_route("questions", "/questions/"), rig.batch_route()
    await r.plan(1, [online, batch], ["llm"])
    await r.start("worker-0", "worker")
    for name in ("gateway-0", "gateway-1"):
        await r.start(name, "gateway")
    await r.wait_ready("gateway-0", "gateway-1")
    await trio.sleep(1.5)
    fronts = [r.programs[name].front for name in ("gateway-0", "gateway-1")]

    got = await rig.ask_once(
        fronts[0], "POST", f"/notes/{JOB}",
        {"x-request-id": JOB, "content-type": "application/json"}, submission(),
    )
    record.note(f"client: POST /notes/{JOB} at gateway-0: {got.status} {got.error}")
    if got.status != 202:
        return rig.COULD_NOT_RUN
    known: list[dict] = []
    with trio.fail_after(30):
        while len(known) < ITEMS:
            _, known = await rig.read_results(fronts[1], JOB)
            await trio.sleep(0.3)
    record.note(f"client: GET /lots/{JOB} at gateway-1: all {ITEMS} results, "
                f"states {sorted({x['state'] for x in known})}")

    if rig.TROUBLE:
        await r.plan(2, [online], ["llm"])
    else:
        await r.plan(2, [online | {"timeoutMs": 4000}, batch], ["llm"])
    await trio.sleep(CONFIG_APPLY_S + 1.0)
    broken = 0
    for _ in range(3):
        for name, address in zip(("gateway-0", "gateway-1"), fronts):
            status, results = await rig.read_results(address, JOB)
            record.note(f"client: GET /lots/{JOB} at {name}: {status}, same results: {results == known}")
            broken += status in (404, 410)
        await trio.sleep(0.5)
    again = await rig.ask_once(fronts[0], "POST", f"/notes/{JOB}", {"x-request-id": JOB}, submission())
    body = await rig.ask_once(fronts[0], "GET", f"/items/{JOB}?id=e5b2907c14da6f00", {})
    end = await rig.ask_once(fronts[0], "DELETE", f"/lots/{JOB}", {})
    record.note(f"client, not judged: the job sent again {again.status}, an item's body {body.status}, "
                f"its end {end.status}")
    return rig.BROKEN if broken else rig.HELD


rig.main(RECORD, play)
