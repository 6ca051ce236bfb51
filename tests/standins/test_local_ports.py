"""Ports for servers that are configured before they listen."""

import os
import pathlib
import subprocess
import sys

import pytest

from cornelgrade.standins import local_ports

# As many as some systems draw one after the other.
PORTS = 500
PROCESSES = 6
PER_PROCESS = 300
SOURCE = pathlib.Path(local_ports.__file__).parents[2]
# Draws ports, then waits as a server would that hasn't begun to listen.
DRAW = f"""
import sys
from cornelgrade.standins import local_ports
print(*(local_ports.free_port() for _ in range({PER_PROCESS})), flush=True)
sys.stdin.read()
"""


# Guards against two servers of a system that get the same port, as none listens when it is drawn.
def test_ports_are_not_drawn_twice():
    ports = [local_ports.free_port() for _ in range(PORTS)]
    assert len(set(ports)) == PORTS


# Guards against a port that an outgoing connection takes before its server listens.
def test_ports_lie_below_those_of_outgoing_connections():
    file = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    if not file.exists():
        pytest.skip("the range is only known on Linux")
    first = int(file.read_text().split()[0])
    assert max(local_ports.free_port() for _ in range(PORTS)) < first


# Guards against servers of two test runs or soaks on one machine that get the same port.
def test_processes_draw_different_ports():
    environment = os.environ | {"PYTHONPATH": str(SOURCE)}
    children = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environment,
        )
        for _ in range(PROCESSES)
    ]
    try:
        drawn = [int(port) for child in children for port in child.stdout.readline().split()]
    finally:
        for child in children:
            child.communicate()
    own = [local_ports.free_port() for _ in range(PER_PROCESS)]
    assert len(drawn) == PROCESSES * PER_PROCESS
    assert len({*drawn, *own}) == len(drawn) + len(own)


# Guards against a forked process that goes on in its parent's block.
def test_forked_process_draws_from_another_block():
    drawn = {local_ports.free_port() for _ in range(PER_PROCESS)}
    readable, writable = os.pipe()
    child = os.fork()
    if child == 0:
        ports = [local_ports.free_port() for _ in range(PER_PROCESS)]
        os.write(writable, " ".join(map(str, ports)).encode())
        os._exit(0)
    os.close(writable)
    with os.fdopen(readable) as pipe:
        drawn_by_child = {int(port) for port in pipe.read().split()}
    os.waitpid(child, 0)
    later = {local_ports.free_port() for _ in range(PER_PROCESS)}
    assert len(drawn_by_child) == PER_PROCESS
    assert not drawn_by_child & (drawn | later)
