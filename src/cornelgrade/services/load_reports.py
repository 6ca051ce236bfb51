"""The service ``load_reports``: sends this gateway's load on each engine to the engine's owner.

An increase is sent immediately, because it preempts batch work; a decrease at most every 50 ms. The
gateway of the VM that owns an engine also sends a zero load every second, so that missing reports
mean lost connectivity.
"""

import dataclasses
from collections.abc import Callable

import trio

from cornelgrade import kernel, settings
from cornelgrade.policy import ownership
from cornelgrade.services import ports, router, router_messages

DECREASE_INTERVAL_S = 0.05
REFRESH_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _SentReport:
    """The last report sent to an owner, and when it was sent."""

    owner: str
    outstanding: int
    queued: int
    at_s: float


class LoadReports:
    """Sends :class:`ports.Load` datagrams from a gateway to the owners of the engines."""

    name = "load_reports"

    def __init__(self, kern: kernel.Kernel, cfg: settings.Settings) -> None:
        self._kern = kern
        self._cfg = cfg
        self._sent: dict[str, _SentReport] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Send reports until cancelled."""
        router_service = self._kern.find("router", router.Router)
        started()
        while True:
            with trio.move_on_after(DECREASE_INTERVAL_S):
                await router_service.wait_increase()
            self._send_reports(router_service.usage())

    def _send_reports(self, usage: tuple[router_messages.Usage, ...]) -> None:
        members = self._kern.find("membership", ports.Membership)
        view = members.view()
        now_s = trio.current_time()
        for use in usage:
            vms = [m.vm for m in view.usable(use.failure_domain)]
            owner = ownership.choose_owner(use.upstream, vms)
            if owner is None or not self._should_send(use, owner, now_s):
                continue
            self._sent[use.upstream] = _SentReport(owner, use.outstanding, use.queued, now_s)
            members.send(owner, ports.Load(use.upstream, use.outstanding, use.queued))

    def _should_send(self, use: router_messages.Usage, owner: str, now_s: float) -> bool:
        sent = self._sent.get(use.upstream)
        busy = use.outstanding > 0 or use.queued > 0
        if sent is None or sent.owner != owner:
            return busy or owner == self._cfg.vm
        if (use.outstanding, use.queued) != (sent.outstanding, sent.queued):
            return True
        refresh_due = now_s - sent.at_s >= REFRESH_INTERVAL_S
        return refresh_due and (busy or owner == self._cfg.vm)
