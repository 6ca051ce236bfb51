"""Batch items of one service that wait in this worker for a free slot, most urgent job first."""

import trio

from cornelgrade.services import _chunk_run


class ItemQueue:
    """The claimed chunks of one service."""

    def __init__(self) -> None:
        self._runs: list[tuple[float, _chunk_run.ChunkRun]] = []
        self.changed = trio.Event()

    def add(self, run: _chunk_run.ChunkRun, urgency: float) -> None:
        """Add a chunk; the lowest urgency value goes first, then the one added first."""
        self._runs.append((urgency, run))
        self._runs.sort(key=lambda pair: pair[0])
        self.notify()

    def remove(self, run: _chunk_run.ChunkRun) -> None:
        """Take a chunk out."""
        self._runs = [pair for pair in self._runs if pair[1] is not run]

    def notify(self) -> None:
        """Wake the engines that wait for items."""
        self.changed.set()
        self.changed = trio.Event()

    @property
    def ready(self) -> int:
        """Number of items that may run now."""
        return sum(run.ready for _, run in self._runs)

    def take(self) -> _chunk_run.Work | None:
        """Hand out the next item, ``None`` if there is none."""
        for _, run in self._runs:
            work = run.take()
            if work is not None:
                return work
        return None
