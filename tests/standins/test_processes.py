import os
import pathlib
import signal
import subprocess
import sys

import httpx
import pytest

import cornelgrade

SOURCE = str(pathlib.Path(cornelgrade.__file__).parents[1])


def address_of(process) -> str:
    for line in process.stdout:
        if line.startswith("event=listening"):
            return line.split("address=")[1].strip()
    raise AssertionError("ended without listening")


@pytest.mark.parametrize(
    ("arguments", "path"),
    [
        (("platform",), "/v1/counters"),
        (("engine", "--config", '{"slots": 3}'), "/v1/load"),
        (("plain", "--name", "refills"), "/v1/counters"),
    ],
)
def test_stand_in_runs_as_a_process(arguments, path):
    command = [sys.executable, "-m", "cornelgrade.standins", *arguments]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env={**os.environ, "PYTHONPATH": SOURCE}
    ) as process:
        try:
            res = httpx.get(f"http://{address_of(process)}{path}", trust_env=False)
            assert res.status_code == 200
        finally:
            process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0
