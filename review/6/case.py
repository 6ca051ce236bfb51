"""An engine in trouble sends bytes without end in small pieces; its gateways stand still.

Of four engines one answers a stream with pieces of 16 bytes that hold no line end, until the
caller closes. Clients send short streams to both gateways all the while.
"""

import itertools
import pathlib

import fleet
import h11
import trio

CASE = pathlib.Path(__file__).resolve().parent
TIMEOUT_S, LATE_S, CLIENT_S = 2.0, 0.5, 5.0
TRAFFIC_S, PAUSE_S = 20.0, 0.15
EVENTS = 10
PIECE = b"10\r\n" + b"x" * 16 + b"\r\n"


class SickEngine(fleet.Engine):
    """Begins a sound answer, and then sends pieces that are no event, without end."""

    async def run(self, stream, conn, method, target, headers, body) -> None:
        if not fleet.TROUBLE:
            await super().run(stream, conn, method, target, headers, body)
            return
        self.note_run(method, target, headers)
        self.record.line("endless", id=headers.get("x-request-id"))
        await self.begin(stream, conn, headers)
        await stream.send_all(conn.send(h11.Data(data=fleet.event(headers, 1))))
        while True:
            await stream.send_all(PIECE * 1000)


async def case() -> int:
    answers: list[tuple[str, str, fleet.Answer]] = []
    silences: dict[str, float] = {}
    async with fleet.running(CASE / "record.txt") as run:
        await run.start_store()
        await run.write_desired_state(
            [fleet.route("r-1", "/lohu930/", "streaming", timeoutMs=TIMEOUT_S * 1000)]
        )
        for number in range(4):
            kind = SickEngine if number == 0 else fleet.Engine
            zone = fleet.ZONES[number % 3]
            await run.add_engine(kind(run.record, f"i-{number}", zone, events=EVENTS))
        await run.start_programs(gateways=2, workers=1)
        numbers = itertools.count()

        async def ask(gateway: fleet.Program) -> None:
            request = f"{next(numbers):016x}"
            headers = {
                "host": fleet.HOST,
                "x-request-id": request,
                "x-deadline-ms": str(int(CLIENT_S * 1000)),
                "x-model": "m",
                "x-token-usage": "450,39",
                "x-prompt-prefix": f"5c1e07a2:100,91bd3f06:100,{request}:250",
            }
            got = await fleet.call(
                gateway.front, "POST", "/lohu930/2f", headers, b"a question", CLIENT_S
            )
            answers.append((gateway.name, request, got))
            run.record.line(
                "request", gateway=gateway.name, id=request, status=got.status, end=got.end,
                took_s=f"{got.took_s:.3f}",
            )

        async def probe(gateway: fleet.Program) -> None:
            """Ask for readiness each second, and note the longest time without a response."""
            last_s = trio.current_time()
            while True:
                got = await fleet.call(gateway.ready, "GET", "/ready", {"host": "x"}, limit_s=30.0)
                now_s = trio.current_time()
                silences[gateway.name] = max(silences.get(gateway.name, 0.0), now_s - got.sent_s)
                last_s = now_s
                await trio.sleep(1.0)

        async with trio.open_nursery() as nursery:
            probes = nursery.cancel_scope
            for gateway in run.gateways:
                nursery.start_soon(probe, gateway)
            async with trio.open_nursery() as asking:
                end_s = trio.current_time() + TRAFFIC_S
                while trio.current_time() < end_s:
                    for gateway in run.gateways:
                        asking.start_soon(ask, gateway)
                    await trio.sleep(PAUSE_S)
            probes.cancel()
        ended = [g.name for g in run.gateways if g.exit_code is not None]
        run.record.line("ended_programs", programs=ended)
        # The rule: what is still unanswered at the route's timeoutMs, and half a second later.
        # A channel that the gateway has closed counts as answered here.
        open_then = [a for a in answers if a[2].took_s > TIMEOUT_S]
        open_later = [a for a in open_then if a[2].took_s > TIMEOUT_S + LATE_S]
        served = sum(a[2].complete and a[2].status == 200 for a in answers)
        broken = len(open_later) >= 8 and 2 * len(open_later) > len(open_then)
        summary = (
            f"{len(answers)} requests, {served} served; {len(open_then)} unanswered at timeoutMs, "
            f"{len(open_later)} of them half a second later; longest wait of a readiness check: "
            + ", ".join(f"{name} {s:.1f} s" for name, s in sorted(silences.items()))
        )
        run.record.line("judged", broken=broken, summary=summary.replace(" ", "_"))
    print(summary)
    print("CONFIG: broken" if broken else "CONFIG: held")
    return fleet.BROKEN if broken else fleet.HELD


fleet.main(case)
