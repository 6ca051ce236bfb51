"""The service ``peer_histories``: queries the other processes of the fleet for histories."""

from collections.abc import Callable

import httpx
import trio

from cornelgrade import errors, kernel, settings
from cornelgrade.adapters import peer_histories, peer_key
from cornelgrade.services import ports

TIMEOUT_S = 1.0
MAX_CONCURRENT_REQUESTS = 32


class PeerHistories:
    """Queries the gateway and worker of every usable VM; slow and dead ones are listed by name."""

    name = "peer_histories"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.Settings, key: peer_key.PeerKey | None = None
    ) -> None:
        self._kern = kern
        self._cfg = cfg
        self._key = key or peer_key.read(cfg.peer_key_file)
        self._fetcher: peer_histories.HistoryFetcher | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Keep the HTTP client open until cancelled."""
        scheme = "https" if self._cfg.tls is not None else "http"
        async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False, trust_env=False) as client:
            self._fetcher = peer_histories.HistoryFetcher(client, self._key, self._cfg.vm, scheme)
            started()
            await trio.sleep_forever()

    async def gather(self, scope: ports.HistoryScope, identifier: str) -> ports.GatheredSteps:
        """Query all processes concurrently within a time limit."""
        fetched: list[peer_histories.Steps] = []
        unanswered: list[str] = []
        limit = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

        async def fetch_steps(name: str, address: str) -> None:
            assert self._fetcher is not None
            async with limit:
                try:
                    fetched.append(await self._fetcher.fetch(address, scope, identifier))
                except errors.CornelgradeError:
                    unanswered.append(name)

        async with trio.open_nursery() as nursery:
            for name, address in self._list_processes().items():
                nursery.start_soon(fetch_steps, name, address)
        steps = sorted((step for steps in fetched for step in steps), key=lambda step: step.at_s)
        return ports.GatheredSteps(tuple(steps), tuple(sorted(unanswered)))

    def _list_processes(self) -> dict[str, str]:
        """Return the addresses of the processes to query by name, this VM's worker included."""
        view = self._kern.find("membership", ports.Membership).view()
        processes = {f"{self._cfg.vm} worker": self._cfg.worker_address}
        for member in view.usable():
            if member.vm != self._cfg.vm:
                processes[f"{member.vm} gateway"] = member.gateway_address
                processes[f"{member.vm} worker"] = member.worker_address
        return processes
