import os
import pathlib
import signal
import subprocess
import sys

import pytest
import trio

from cornelgrade.adapters import engine, platform_http, upstream_http
from cornelgrade.services import lease
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_http, engine_model
from cornelgrade.standins import platform_http as platform_server

PROGRAM = pathlib.Path(__file__).with_name("paused_holder.py")


async def wait_stopped(child):
    with trio.fail_after(20):
        while True:
            pid, status = os.waitpid(child.pid, os.WUNTRACED | os.WNOHANG)
            if pid and os.WIFSTOPPED(status):
                return
            assert not pid, "the holder ended"
            await trio.sleep(0.02)


@pytest.mark.parametrize(
    ("checks_fencing", "timeout_s", "outcome"),
    [(True, 60.0, "refused"), (False, 1.0, "not sent in time")],
)
async def test_order_of_a_paused_holder_does_not_undo_its_successors_order(
    nursery, checks_fencing, timeout_s, outcome
):
    server = platform_server.PlatformServer()
    url = f"http://{await nursery.start(server.serve, '127.0.0.1:0')}"
    cfg = engine_model.Config(
        models=(engine.Loaded("m", 1),), order_s=0.1, checks_fencing=checks_fencing
    )
    loaded_engine = engine_standin.Engine("e1", cfg)
    address = await nursery.start(engine_http.EngineServer(loaded_engine).serve, "127.0.0.1:0")
    args = [url, address, "2", str(timeout_s)]
    child = subprocess.Popen(
        [sys.executable, str(PROGRAM), *args], stdout=subprocess.PIPE, text=True
    )
    try:
        await wait_stopped(child)
        async with platform_http.HttpPlatform(url) as store, trio.open_nursery() as running:
            successor = lease.Lease(
                store, "orders", "next", lease_s=1.0, longest_order_s=lambda: 1.0
            )
            running.start_soon(successor.run)
            with trio.fail_after(10):
                epoch = (await successor.wait_until_held()).record.epoch
            upstream = upstream_http.HttpUpstream("e1", address)
            with successor.guard_order(epoch):
                await upstream.order(engine.Order(engine.OrderKind.LOAD, epoch, "m", 3))
            child.send_signal(signal.SIGCONT)
            printed, _ = await trio.to_thread.run_sync(child.communicate)
            assert printed.startswith(outcome)
            assert loaded_engine.state().models == (engine.Loaded("m", 3),)
            running.cancel_scope.cancel()
    finally:
        child.kill()
        child.wait()
