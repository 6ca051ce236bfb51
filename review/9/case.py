"""Streams go on at another software version after the gateways were restarted.

Two versions of the engines serve side by side. The last engine of the first version leaves: its
entry is removed, and it goes on serving. Then all gateways are killed and started again. Clients
take their broken streams up, and name the attempt that brought the first event.
"""

import itertools
import pathlib
import re
import signal
import time

import fleet
import trio

CASE = pathlib.Path(__file__).resolve().parent
EVENTS, EVENT_S = 60, 0.05
STREAMS_PER_GATEWAY, TIME_LIMIT_S = 7, 5.0
LEAVES_S, KILLED_S, DOWN_S = 0.8, 1.4, 0.2
AGE_MS = 600_000


class Versioned(fleet.Engine):
    """An engine that names its software version in the data of its events."""

    def __init__(self, *args, version: str) -> None:
        super().__init__(*args)
        self.version = version
        self.born -= AGE_MS

    def entry(self, state: str = "ready") -> bytes:
        return super().entry(state).replace(b'"version": "v1"', f'"version": "{self.version}"'.encode())

    async def run(self, stream, conn, method, target, headers, body) -> None:
        import h11

        after = self.note_run(method, target, headers)
        await self.begin(stream, conn, headers)
        for number in range(after + 1, self.events + 1):
            await trio.sleep(self.event_s)
            data = f"id: {number}\ndata: {number} by {self.version}\n\n".encode()
            await stream.send_all(conn.send(h11.Data(data=data)))
        await stream.send_all(conn.send(h11.EndOfMessage()))


def read_events(body: bytes) -> list[tuple[int, str]]:
    found = re.findall(rb"id: (\d+)\ndata: \d+ by (v\d)\n\n", body)
    return [(int(number), version.decode()) for number, version in found]


async def case() -> int:
    streams: dict[str, list[tuple[int, str]]] = {}
    tries: dict[str, list[str]] = {}
    async with fleet.running(CASE / "record.txt") as run:
        await run.start_store()
        await run.write_desired_state(
            [fleet.route("r-1", "/lohu930/", "streaming", resumable=True, maxAttempts=2)]
        )
        for number, version in enumerate(("v1", "v2", "v2")):
            zone = fleet.ZONES[number]
            engine = Versioned(run.record, f"i-{number}", zone, EVENTS, EVENT_S, version=version)
            await run.add_engine(engine)
        await run.start_programs(gateways=3, workers=1)
        numbers = itertools.count()

        async def ask(gateway: fleet.Program) -> None:
            """Send a request, and take its stream up on a new channel after a broken one."""
            began_s = trio.current_time()
            first, events, after = "", [], 0
            addresses = itertools.cycle(
                g.front for g in (gateway, *(o for o in run.gateways if o is not gateway))
            )
            name = ""
            while trio.current_time() - began_s < TIME_LIMIT_S:
                request = f"{next(numbers):016x}"
                name = name or request
                left_s = TIME_LIMIT_S - (trio.current_time() - began_s)
                headers = {
                    "host": fleet.HOST, "x-request-id": request,
                    "x-deadline-ms": str(int(left_s * 1000)), "x-model": "m",
                    "x-token-usage": "450,39", "x-prompt-prefix": f"5c1e07a2:100,{name}:250",
                }
                if after:
                    headers |= {"last-event-id": str(after), "resumes": first}
                got = await fleet.call(
                    next(addresses), "POST", "/lohu930/2f", headers, name.encode(), left_s
                )
                seen = read_events(got.body) if got.status == 200 else []
                run.record.line(
                    "attempt", stream=name, id=request, after=after, status=got.status,
                    end=got.end, events=len(seen), versions=sorted({v for _, v in seen}),
                )
                tries.setdefault(name, []).append(f"{got.status or got.end}")
                if seen and not first:
                    first = request
                events += seen
                after = events[-1][0] if events else 0
                streams[name] = events
                if got.complete and got.status == 200:
                    return
                await trio.sleep(0.4)

        async with trio.open_nursery() as nursery:
            for gateway in run.gateways:
                for _ in range(STREAMS_PER_GATEWAY):
                    nursery.start_soon(ask, gateway)
            if fleet.TROUBLE:
                await trio.sleep(LEAVES_S)
                leaving = await run.store.get("servers", "i-0")
                await run.store.delete("servers", "i-0", leaving.version)
                run.record.line("left", engine="i-0")
                await trio.sleep(KILLED_S - LEAVES_S)
                for gateway in run.gateways:
                    gateway.end()
                run.record.line("killed", programs=[g.name for g in run.gateways])
                await trio.sleep(DOWN_S)
                for gateway in run.gateways:
                    gateway.start()
        mixed = [n for n, seen in streams.items() if len({v for _, v in seen}) > 1]
        for name in mixed:
            run.record.line("mixed", stream=name, events=streams[name][:1] + streams[name][-1:])
        run.record.line("judged", mixed=len(mixed))
    whole = sum(len(seen) == EVENTS for seen in streams.values())
    began = sum(bool(seen) and seen[0][1] == "v1" for seen in streams.values())
    print(
        f"{len(streams)} streams, {began} began at v1, {whole} whole; "
        f"{len(mixed)} hold events of two software versions"
    )
    broken = len(mixed) > 2
    print("ORDER: broken" if broken else "ORDER: held")
    return fleet.BROKEN if broken else fleet.HELD


fleet.main(case)
