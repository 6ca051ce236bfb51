"""Calls of a worker that has lost the store to another worker, which may reach it.

The store may reject or ignore some VMs only.
"""

import random

import trio

from cornelgrade import errors, kernel, logs
from cornelgrade.services.edge import peer_calls, peers

# For the response of the other worker, whose calls to a store that responds take milliseconds.
TIMEOUT_S = 1.5
_log = logs.Logger("worker_calls")


class WorkerCalls:
    """Calls of one path to the worker that responded last, else to one that hasn't declined yet.

    :param pause_s: after a worker that doesn't reach the store either, or doesn't know the path,
        none is called for this long: mostly the store is down for all of them.
    """

    def __init__(self, kern: kernel.Kernel, path: str, pause_s: float) -> None:
        self._path = path
        self._pause_s = pause_s
        self._peers = kern.find("peers", peers.Peers)
        self._calls = kern.find("peer_calls", peer_calls.PeerCalls)
        self._rng = random.Random(self._peers.vm)
        self._chosen: str | None = None
        self._declined: set[str] = set()
        self._next_s = 0.0

    def may_call(self) -> bool:
        """Return whether there is a worker to call and none has declined just now."""
        return trio.current_time() >= self._next_s and self._choose() is not None

    async def call(self, body: bytes, limit_bytes: int) -> bytes | None:
        """Call a worker; return the body of its response, ``None`` if it declined or failed.

        :param limit_bytes: maximum size of the response.
        """
        worker = self._choose()
        if worker is None:
            return None
        try:
            got = await self._calls.call(worker, self._path, TIMEOUT_S, limit_bytes, body)
        except errors.NotReachableError as exc:
            _log.info("worker_not_reached", path=self._path, worker=worker, error=repr(exc))
            got = None
        if not got:
            self._declined.add(worker)
            self._next_s = trio.current_time() + self._pause_s
        return got

    def _choose(self) -> str | None:
        others = set(self._peers.live_vms(peers.Role.WORKER)) - {self._peers.vm}
        if others <= self._declined:
            self._declined.clear()
        if (free := sorted(others - self._declined)) and self._chosen not in free:
            self._chosen = self._rng.choice(free)
        return self._chosen if free else None
