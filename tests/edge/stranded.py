"""Cuts single VMs of a stand-in system off from all engines."""

import contextlib

import trio

from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system


class Cuts:
    """VMs whose new connections to engines fail; those that are open live on.

    :ivar refuses: whether they are refused; else they hang.
    """

    def __init__(self, system, *, refuses):
        self.vms = set()
        self.refuses = refuses
        self._system = system
        self._connect = http1.connect

    async def connect(self, address, timeout_s):
        engines = {engine.address for engine in self._system.engines.values()}
        if edge_system.CURRENT_NODE.get() not in self.vms or address not in engines:
            return await self._connect(address, timeout_s)
        if not self.refuses:
            await trio.sleep(timeout_s)
        raise engine_port.CallError(
            "cut off",
            step="connect",
            peer=address,
            progress=engine_port.Progress.NOT_SENT,
            timed_out=not self.refuses,
        )


@contextlib.contextmanager
def cut_vms(system, monkeypatch, *vms, refuses=False):
    """Cut VMs off; the yielded :class:`Cuts` may be changed."""
    cuts = Cuts(system, refuses=refuses)
    cuts.vms |= set(vms)
    with monkeypatch.context() as patch:
        patch.setattr(http1, "connect", cuts.connect)
        yield cuts
