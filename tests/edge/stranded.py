"""Cuts single VMs of a stand-in system off from all engines."""

import contextlib

import trio

from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system


class Cuts:
    """VMs whose new connections to engines fail; those that are open live on.

    :ivar refuses: whether they are refused; else they hang.
    :ivar resets: whether they are reset once a request was sent instead.
    """

    def __init__(self, system, *, refuses, resets):
        self.vms = set()
        self.refuses = refuses
        self.resets = resets
        self._system = system
        self._connect = http1.connect

    async def connect(self, address, timeout_s):
        engines = {engine.address for engine in self._system.engines.values()}
        if edge_system.CURRENT_NODE.get() not in self.vms or address not in engines:
            return await self._connect(address, timeout_s)
        if self.resets:
            return ResetChannel(await self._connect(address, timeout_s))
        if not self.refuses:
            await trio.sleep(timeout_s)
        raise engine_port.CallError(
            "cut off",
            step="connect",
            peer=address,
            progress=engine_port.Progress.NOT_SENT,
            timed_out=not self.refuses,
        )


class ResetChannel:
    """A channel that is reset once a request was sent on it, which the engine never reads."""

    def __init__(self, channel):
        self._channel = channel

    def __enter__(self):
        self._channel.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._channel.__exit__(*exc_info)

    def __getattr__(self, name):
        return getattr(self._channel, name)

    async def send(self, method, target, headers, body):
        self._channel.progress = engine_port.Progress.SENT

    async def read_head(self):
        raise self._channel.call_error("connection lost", "head")


@contextlib.contextmanager
def cut_vms(system, monkeypatch, *vms, refuses=False, resets=False):
    """Cut VMs off; the yielded :class:`Cuts` may be changed."""
    cuts = Cuts(system, refuses=refuses, resets=resets)
    cuts.vms |= set(vms)
    with monkeypatch.context() as patch:
        patch.setattr(http1, "connect", cuts.connect)
        yield cuts
