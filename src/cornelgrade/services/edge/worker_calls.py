"""Calls of a worker that has lost the store to another worker, which may reach it.

The store may reject or ignore some VMs only.
"""

import random

import trio

from cornelgrade import errors, kernel, logs
from cornelgrade.services.edge import peer_calls, peers

# For the response of the other worker, whose calls to a store that responds take milliseconds.
TIMEOUT_S = 1.5
# After a worker that doesn't reach the store either, none is asked for this long: mostly the store
# is down for all of them, and then each has many outcomes to store.
PAUSE_S = 0.5
_log = logs.Logger("worker_calls")


class WorkerCalls:
    """Calls the worker that responded last, else one that has not declined yet."""

    def __init__(self, kern: kernel.Kernel) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._calls = kern.find("peer_calls", peer_calls.PeerCalls)
        self._rng = random.Random(self._peers.vm)
        self._chosen: str | None = None
        self._declined: set[str] = set()
        self._next_s = 0.0

    def may_call(self) -> bool:
        """Return whether there is a worker to call and none has declined just now."""
        return trio.current_time() >= self._next_s and self._choose() is not None

    async def call(self, path: str, body: bytes, limit_bytes: int) -> bytes | None:
        """Call a worker; return the body of its response, ``None`` if it declined or failed.

        :param limit_bytes: maximum size of the response.
        """
        worker = self._choose()
        if worker is None:
            return None
        try:
            got = await self._calls.call(worker, path, TIMEOUT_S, limit_bytes, body)
        except errors.NotReachableError as exc:
            _log.info("worker_not_reached", path=path, worker=worker, error=repr(exc))
            got = None
        if not got:
            self._declined.add(worker)
            self._next_s = trio.current_time() + PAUSE_S
        return got

    def _choose(self) -> str | None:
        others = set(self._peers.live_vms(peers.Role.WORKER)) - {self._peers.vm}
        if others <= self._declined:
            self._declined.clear()
        if (free := sorted(others - self._declined)) and self._chosen not in free:
            self._chosen = self._rng.choice(free)
        return self._chosen if free else None
