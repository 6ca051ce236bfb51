"""Work for a caller that has left stops within half a second, on the product's own interface."""

import json
import socket
import time

import pytest
from tests.process import harness

STOP_S = 0.5


def count_running(fleet):
    with fleet.call() as client:
        address = fleet.upstreams["engine-0"]
        return client.get(f"http://{address}/v1/load").json()["running"]


# Guards against an engine that generates for nobody, also before the first token and when the
# caller resets its connection.
@pytest.mark.parametrize("streamed", [True, False])
def test_engine_stops_when_its_caller_has_left(streamed):
    with harness.Fleet(
        engines=1, workers=False, engine={"step_s": 0.05, "load_lag_s": 0.0}
    ) as fleet:
        body = {"model": "lishe", "prompt": "a", "max_tokens": 400, "stream": streamed}
        raw = json.dumps(body).encode()
        host, port = fleet.vms[0].url.removeprefix("http://").split(":")
        head = (
            f"POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {harness.KEY}\r\n"
            f"content-length: {len(raw)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(head.encode() + raw)
            end_s = time.monotonic() + 5
            while not count_running(fleet):
                assert time.monotonic() < end_s
                time.sleep(0.02)
            time.sleep(0.3)
        left_s = time.monotonic()
        while count_running(fleet):
            assert time.monotonic() < left_s + STOP_S
            time.sleep(0.02)
