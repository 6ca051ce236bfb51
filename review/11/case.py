"""Items whose path isn't under the route's prefix are given up within seconds, without a run."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import harness  # noqa: E402

HOST = "nony24.example"
ITEM_TTL_S = 60
WATCH_S = 25.0


async def case():
    async with harness.World(HERE / "record.txt") as world:
        record = world.record
        routes = [harness.route("chat", "/lohu930/", "streaming", "llm", HOST, maxAttempts=1),
                  harness.route("notes", "/pule252/", "batch", "llm", HOST, itemTtlS=ITEM_TTL_S)]
        await world.configure(routes, ["llm"])
        for zone in "abc":
            await world.add_engine(f"i-{zone}", "llm", zone, events=10, event_s=0.05)
        gateways = [world.add("gateway", f"frontend-{z}-1", z) for z in "ab"]
        for zone in "abc":
            world.add("worker", f"storage-{zone}-1", zone)
        await world.start_all()
        # The path of the items; the job itself is submitted under the route's prefix.
        prefix = "/generate/" if harness.TROUBLE else "/pule252/"
        jobs = {f"7c41e09b52d6a3f{n}": [f"e5b2907c14da6f{n}{i}" for i in range(10)] for n in range(3)}
        accepted_s = {}
        for number, (job, items) in enumerate(jobs.items()):
            body = harness.job_body(prefix, items)
            head = [("Host", HOST), ("X-Request-Id", job), ("Content-Type", "application/json")]
            answer = await harness.call(gateways[number % 2].front, "POST", f"/pule252/{job}", head, body)
            record(f"client submits {job}, items to {prefix}3/...: {answer.status}")
            if answer.status != 202:
                raise RuntimeError("the batch job must be accepted")
            accepted_s[job] = time.monotonic()
        listed = {}
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end and any(len(listed.get(j, ())) < len(i) for j, i in jobs.items()):
            for number, job in enumerate(jobs):
                after = len(listed.setdefault(job, []))
                answer = await harness.call(gateways[number % 2].front, "GET", f"/lots/{job}?after={after}", [("Host", HOST)])
                if answer.status != 200:
                    record(f"client reads {job}: {answer.status}")
                    continue
                for result in json.loads(answer.body)["results"]:
                    listed[job].append(result)
                    age_s = time.monotonic() - accepted_s[job]
                    record(f"client reads {job}: {result['id']} is {result['state']} {age_s:.1f} s after the 202")
            await asyncio.sleep(0.5)
        ran = {run.request for run in world.all_runs()}
        dead = [r["id"] for results in listed.values() for r in results if r["state"] == "dead_letter"]
        done = [r for results in listed.values() for r in results if r["state"] == "completed"]
        whole = all(r["text"] == world.engines["i-a"].text(r["id"]) for r in done)
        record.show(f"{len(dead)} of 30 items are dead_letter within {WATCH_S:g} s, itemTtlS being {ITEM_TTL_S}; "
                    f"{len(ran & set(dead))} of them reached an engine; {len(done)} completed, texts whole: {whole}")
        return bool(dead)


harness.main(case)
