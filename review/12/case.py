"""Once a batch route with the prefix / is added, accepted jobs can't be read or ended any more."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import harness  # noqa: E402

HOST = "nony24.example"
SETTLE_S, CONFIG_APPLY_S = 1.0, 2.0


async def case():
    async with harness.World(HERE / "record.txt") as world:
        record = world.record
        routes = [harness.route("chat", "/lohu930/", "streaming", "llm", HOST, maxAttempts=1),
                  harness.route("notes", "/pule252/", "batch", "llm", HOST)]
        await world.configure(routes, ["llm"])
        for zone in "abc":
            await world.add_engine(f"i-{zone}", "llm", zone, events=10, event_s=0.05)
        gateways = [world.add("gateway", f"frontend-{z}-1", z) for z in "abc"]
        for zone in "abc":
            world.add("worker", f"storage-{zone}-1", zone)
        await world.start_all()
        job = "7c41e09b52d6a3f8"
        items = [f"e5b2907c14da6f{n:02d}" for n in range(10)]
        head = [("Host", HOST), ("X-Request-Id", job), ("Content-Type", "application/json")]
        answer = await harness.call(gateways[0].front, "POST", f"/pule252/{job}", head, harness.job_body("/pule252/", items))
        record(f"client submits {job}: {answer.status}")

        async def read(gateway, method="GET"):
            target = f"/lots/{job}" + ("?after=0" if method == "GET" else "")
            got = await harness.call(gateway.front, method, target, [("Host", HOST)])
            listed = len(json.loads(got.body)["results"]) if got.status == 200 and got.body else 0
            record(f"client sends {method} {target} to {gateway.name}: {got.status}, {listed} results")
            return got.status, listed

        for _ in range(40):
            if (await read(gateways[1]))[1] == len(items):
                break
            await asyncio.sleep(0.25)
        else:
            raise RuntimeError("the job must complete")
        prefix = "/" if harness.TROUBLE else "/zebu9/"
        await world.configure([*routes, harness.route("more", prefix, "batch", "llm", HOST)], ["llm"])
        await asyncio.sleep(max(SETTLE_S, CONFIG_APPLY_S) + 1.0)
        statuses = [(await read(gateway))[0] for gateway in gateways for _ in range(2)]
        ends = [(await read(gateway, "DELETE"))[0] for gateway in gateways]
        lost = [s for s in statuses if s in (404, 410)]
        record.show(f"{len(lost)} of {len(statuses)} reads of an accepted job whose results had been read get 404 or 410 "
                    f"after a route {prefix} was added; ends get {ends}")
        return bool(lost)


harness.main(case)
