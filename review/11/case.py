"""One request with the path //[x/2f ends the gateway and all requests that it holds."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import harness  # noqa: E402

CLIENTS = 8
HOST = "nony24.example"


def headers(request):
    return [("Host", HOST), ("X-Request-Id", request), ("X-Model", "m"), ("X-Token-Usage", "1460,80"),
            ("X-Prompt-Prefix", f"5c1e07a2:800,{request}:250"), ("X-Deadline-Ms", "5000")]


async def case():
    async with harness.World(HERE) as world:
        record = world.record
        await world.configure([harness.route("chat", "/lohu930/", "streaming", "llm", HOST, maxAttempts=1)], ["llm"])
        for zone in "abc":
            # The first event comes after half a second, well inside the time limit.
            await world.add_engine(f"i-{zone}", "llm", zone, events=4, event_s=0.5)
        gateway = world.add("gateway", "frontend-a-1", "a")
        world.add("gateway", "frontend-b-1", "b")
        world.add("worker", "storage-a-1", "a")
        await world.start_all()
        channels = [harness.Channel(gateway.front) for _ in range(CLIENTS)]
        for channel in channels:
            await channel.open()

        async def ask(channel, request):
            record(f"client sends {request}")
            answer = await channel.ask("POST", "/lohu930/2f", headers(request), b"x")
            text = answer if isinstance(answer, str) else f"{answer.status} complete={answer.complete}"
            record(f"client gets {request}: {text}")
            return answer

        # Each channel is a kept one: its first request is answered.
        for answer in await asyncio.gather(*(ask(c, f"a{n}") for n, c in enumerate(channels))):
            if isinstance(answer, str) or answer.status != 200 or not answer.complete:
                raise RuntimeError("the first requests must be served")
        second = [asyncio.ensure_future(ask(c, f"b{n}")) for n, c in enumerate(channels)]
        await asyncio.sleep(0.3)
        target = "//[x/2f" if harness.TROUBLE else "/x/2f"
        record(f"another client sends a request without a route: GET {target}")
        try:
            answer = await harness.call(gateway.front, "GET", target, headers("c0"))
            record(f"another client gets {answer.status}")
        except (EOFError, OSError) as exc:
            record(f"another client gets {exc!r}")
        answers = await asyncio.gather(*second)
        await asyncio.sleep(1.0)
        record(f"exit code of the gateway: {gateway.exit_code}")
        ran = {run.request for run in world.all_runs()}
        lost = [n for n, a in enumerate(answers) if isinstance(a, str) and f"b{n}" in ran]
        record.show(f"{len(lost)} of {CLIENTS} requests from kept channels were passed on to sound engines, "
                    f"and their channels closed without an answer; the rule allows 3; exit code {gateway.exit_code}")
        return len(lost) > 3


harness.main(case)
