"""A worker whose path to the store is silent for a moment goes on with a job that was ended."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import harness  # noqa: E402

HOST = "nony24.example"
SILENT_S = 0.6
CANCEL_S, CONTACT_S = 3.0, 3.0


async def case():
    async with harness.World(HERE) as world:
        record = world.record
        routes = [harness.route("chat", "/lohu930/", "streaming", "llm", HOST, maxAttempts=1),
                  harness.route("notes", "/pule252/", "batch", "llm", HOST)]
        await world.configure(routes, ["llm"])
        for zone in "abc":
            await world.add_engine(f"i-{zone}", "llm", zone, events=40, event_s=0.05)
        gateways = [world.add("gateway", f"frontend-{z}-{n}", z) for z in "abc" for n in range(3)]
        workers = [world.add("worker", f"storage-{z}-1", z) for z in "abc"]
        paths = [await world.add_path(w) for w in workers]
        await world.start_all()
        job = "7c41e09b52d6a3f8"
        items = [f"{job}{n:03d}" for n in range(200)]
        head = [("Host", HOST), ("X-Request-Id", job), ("Content-Type", "application/json")]
        answer = await harness.call(gateways[0].front, "POST", f"/pule252/{job}", head, harness.job_body("/pule252/", items))
        record(f"client submits {job}: {answer.status}")
        await asyncio.sleep(4.0)
        if harness.TROUBLE:
            for path in paths:
                path.silent = True
            record("the store is silent for the workers")
        await asyncio.sleep(SILENT_S / 2)
        answer = await harness.call(gateways[1].front, "DELETE", f"/lots/{job}", [("Host", HOST)])
        ended_s = time.monotonic()
        record(f"client ends {job}: {answer.status}")
        await asyncio.sleep(SILENT_S / 2)
        for path in paths:
            path.silent = False
        back_s = time.monotonic()
        record("the store answers the workers again")
        await asyncio.sleep(20.0)
        limit_s = max(ended_s + CANCEL_S, back_s + CONTACT_S)
        late = [run for run in world.all_runs() if run.at > limit_s]
        record.show(f"{len(late)} items of the ended job reached an engine later than cancelMs after the ack of its end, "
                    f"the last {max((r.at for r in late), default=ended_s) - ended_s:.1f} s after it; lost {[p.lost for p in paths]}")
        return bool(late)


harness.main(case)
