import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import httpx
import pytest

import cornelgrade

SOURCE = str(pathlib.Path(cornelgrade.__file__).parents[1])


def read_address(process, event="event=listening") -> str:
    for line in process.stdout:
        if line.startswith(event):
            return line.split("address=")[1].strip()
    raise AssertionError("process ended before it was listening")


@contextlib.contextmanager
def running(*arguments):
    command = [sys.executable, "-m", "cornelgrade.standins", *arguments]
    env = {**os.environ, "PYTHONPATH": SOURCE}
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env=env) as process:
        try:
            yield process
        finally:
            process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0


@pytest.mark.parametrize(
    ("arguments", "path"),
    [
        (("platform",), "/v1/counters"),
        (("engine", "--config", '{"slots": 3}'), "/v1/load"),
        (("plain", "--name", "refills"), "/v1/counters"),
    ],
)
def test_stand_in_runs_as_a_process(arguments, path):
    with running(*arguments) as process:
        res = httpx.get(f"http://{read_address(process)}{path}", trust_env=False)
        assert res.status_code == 200


def test_proxy_process_takes_switches_at_its_control_port():
    with running("plain") as plain, running("proxy", "--target", read_address(plain)) as proxy:
        control = read_address(proxy, "event=control")
        url = f"http://{read_address(proxy)}/confirm"
        assert httpx.post(url, trust_env=False).json()["effect"] == 1
        switches = f"http://{control}/v1/switches"
        assert httpx.put(switches, json={"refuse": True}, trust_env=False).is_success
        with pytest.raises(httpx.TransportError):
            httpx.post(url, trust_env=False)
