"""What a process knows of the platform's store: whether it responds, what was received of it."""

import contextlib
from collections.abc import Iterator

import trio


class StoreAvailability:
    """Tracks whether the platform's store responds; shared by all its clients in a process.

    A watch that gets no response can't be told from one without changes. So every watch is sent
    again each time that the store has become available.

    :ivar unavailable: whether the last call failed.
    :ivar recovered_s: when calls last succeeded again after failures, on the process's clock.
    :ivar responded_s: when a call last succeeded, on the process's clock.
    """

    def __init__(self) -> None:
        self.unavailable = False
        self.recovered_s = -1e9
        self.responded_s = -1e9
        self._changed = trio.Event()
        self._watches: set[trio.CancelScope] = set()
        self._followed: dict[str, int] = {}
        self._followed_s: dict[str, float] = {}
        self._restarted_s = -1e9
        self._settle_s: dict[str, float] = {}

    def record_failure(self) -> bool:
        """Record a failed call; return ``True`` if it is the first in a row."""
        if self.unavailable:
            return False
        self.unavailable = True
        self._notify()
        return True

    def record_success(self) -> bool:
        """Record a successful call; return ``True`` if it is the first after failures."""
        self.responded_s = trio.current_time()
        if not self.unavailable:
            return False
        self.unavailable = False
        self.recovered_s = self.responded_s
        self.restart_watches()
        return True

    def restart_watches(self) -> None:
        """Send all watches again, because changes may have been missed."""
        self._restarted_s = trio.current_time()
        for scope in self._watches:
            scope.cancel()
        self._notify()

    @contextlib.contextmanager
    def interruptible_watch(self) -> Iterator[trio.CancelScope]:
        """Run a watch in a scope that is cancelled when watches have to be sent again."""
        with trio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                yield scope
            finally:
                self._watches.discard(scope)

    async def wait_change(self) -> None:
        """Wait until the store becomes unavailable or available, or watches are restarted."""
        await self._changed.wait()

    async def wait_available(self) -> None:
        """Wait until the store responds."""
        while self.unavailable:
            await self._changed.wait()

    def record_followed(self, kind: str, revision: int, settle_s: float) -> None:
        """Record that changes of a kind have been received up to a revision.

        :param settle_s: pause after a change, by which the next ones may arrive late.
        """
        self._followed[kind] = max(revision, self._followed.get(kind, 0))
        self._followed_s[kind] = trio.current_time()
        self._settle_s[kind] = settle_s

    def may_be_behind(self, kind: str) -> bool:
        """Return whether changes of a watched kind may have been missed.

        The watch has not responded since it was sent again.
        """
        return self.unavailable or self._followed_s.get(kind, -1e9) < self._restarted_s

    def followed_revisions(self) -> dict[str, int]:
        """Return the newest revision received of each kind that is watched."""
        return dict(self._followed)

    def settle_s(self, kind: str) -> float:
        """Return by how much changes of a watched kind may arrive late."""
        return self._settle_s[kind]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
