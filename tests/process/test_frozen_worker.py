"""A worker that is frozen for some seconds: its items neither run twice nor are lost."""

import signal

import pytest
import trio
from bench.soak import world

from cornelgrade.platform.standins import edge_system, formats, stream_engine

ITEMS = 8
ITEM_EVENTS, EVENT_S = 60, 0.05


# Guards against starting what a frozen worker runs elsewhere, by others meanwhile or by itself when
# it goes on and takes the claims of the others for expired.
@pytest.mark.parametrize("frozen_s", [2.0, 4.0])
async def test_items_of_a_frozen_worker_run_once(tmp_path, frozen_s):
    async with world.running(tmp_path, gateways=1, workers=2, engines=2) as system:
        for engine in system.engines.values():
            engine.stand_in.events, engine.stand_in.event_s = ITEM_EVENTS, EVENT_S
        address = system.gateways[0].caller_address
        names = [f"item-{number}" for number in range(ITEMS)]
        raw = formats.encode_job(edge_system.NOTES_PREFIX, {name: b"note" for name in names})
        await trio.sleep(1.0)
        host = {"host": edge_system.HOST}
        target = f"{edge_system.NOTES_PREFIX}job".encode()
        fields = host | formats.request_headers("job")
        assert (await edge_system.call(address, "POST", target, fields, raw)).status == 202
        with trio.fail_after(5):
            while sum(e.stand_in.running for e in system.engines.values()) < ITEMS:
                await trio.sleep(0.05)
        await trio.sleep(0.6)
        worker = system.daemons["worker-0"]
        worker.signal(signal.SIGSTOP)
        await trio.sleep(frozen_s)
        worker.signal(signal.SIGCONT)
        results = []
        with trio.fail_after(15):
            while len(results) < ITEMS:
                target = formats.job_target("job", len(results)).encode()
                fields = host | formats.wait_headers(1.0)
                got = await edge_system.call(address, "GET", target, fields, b"")
                results += formats.decode_results(got.body)
        runs = {name: len(system.attempts(name)) for name in names}
    assert runs == dict.fromkeys(names, 1)
    assert {name for name, _, _ in results} == set(names)
    versions = (text for _, _, text in results)
    assert all(text.count("\n") == ITEM_EVENTS - 1 for text in versions)
    assert stream_engine.result_text(names[0], ITEM_EVENTS) in {text for _, _, text in results}
