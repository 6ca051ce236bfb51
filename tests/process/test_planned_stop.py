"""A gateway that is told to stop under load cuts off no request that reached it."""

import contextlib
import signal
import threading
import time

import h11
import trio
from bench.soak import world
from tests.process import harness, load

from cornelgrade import addresses
from cornelgrade.platform.standins import edge_system, formats

CALLERS = 12
SIGNAL_AFTER_S = 0.5
STOP_S = 8.0


class EdgeCallers:
    """Callers of one gateway that send until it refuses connections.

    :ivar cut_off: requests that were sent completely and got no complete response.
    """

    def __init__(self, address):
        self.address = addresses.split_host_port(address)
        self.answered = 0
        self.cut_off = []

    async def run(self, number, *, kept):
        """Send one request after the other, on a kept connection or a new one for each."""
        for count in range(10_000):
            try:
                stream = await trio.open_tcp_stream(*self.address)
            except OSError:
                return
            request = f"{'kept' if kept else 'new'}-{number}-{count}"
            async with stream:
                await self._send_on(stream, request, kept=kept)

    async def _send_on(self, stream, request, *, kept):
        conn = h11.Connection(h11.CLIENT)
        for turn in range(10_000 if kept else 1):
            if not await self._send_once(stream, conn, f"{request}-{turn}"):
                return
            conn.start_next_cycle()

    async def _send_once(self, stream, conn, request):
        """Send a request; return whether the connection is kept."""
        fields = {"host": edge_system.HOST, **formats.online_headers(request, 5.0)}
        head = h11.Request(method="POST", target=edge_system.ONCE_PREFIX, headers=[*fields.items()])
        raw = (conn.send(head) or b"") + (conn.send(h11.EndOfMessage()) or b"")
        status = 0
        with contextlib.suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            await stream.send_all(raw)
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive_some(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    self.answered += 1
                    return conn.our_state is h11.DONE and conn.their_state is h11.DONE
                elif isinstance(event, h11.ConnectionClosed):
                    break
        self.cut_off.append((request, status))
        return False


# Guards against requests that are reset or never read between the stop signal and the close.
async def test_stopped_gateway_of_the_platform_answers_all_it_accepted(tmp_path):
    async with world.running(tmp_path, gateways=1, workers=0, engines=3) as system:
        gateway = system.gateways[0]
        callers = EdgeCallers(gateway.caller_address)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(_run_callers, callers, number)
            await trio.sleep(SIGNAL_AFTER_S)
            gateway.signal(signal.SIGTERM)
            with trio.fail_after(STOP_S + 1):
                assert await gateway.wait() == 0
    assert callers.answered > CALLERS
    assert callers.cut_off == []


async def _run_callers(callers, number):
    await callers.run(number, kept=number % 2 == 0)


# Guards against the same on the product's own interface: a refusal is a response, a reset is none.
def test_stopped_gateway_of_the_product_answers_all_it_accepted():
    engine = {"step_s": 0.01, "slots": 16}
    with harness.Fleet(engines=2, workers=False, engine=engine) as fleet:
        results = []

        def ask(number):
            """Ask until the gateway says that it stops; callers then ask another one."""
            result = load.StreamResult("", ended=True)
            while result.ended:
                result = load.stream(fleet, f"question {number} {len(results)}", 20)
                results.append(result)

        threads = [threading.Thread(target=ask, args=(number,)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(SIGNAL_AFTER_S)
        fleet.vms[0].gateway.send(signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert fleet.vms[0].gateway.wait(STOP_S) == 0
    refused = [result for result in results if not result.ended]
    assert len(results) > CALLERS
    assert [r for r in refused if r.error["code"] != "draining"] == []
