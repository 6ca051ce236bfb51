"""Queue of one service's batch items in this worker, most urgent job first."""

import trio

from cornelgrade.services import _chunk_run


class ItemQueue:
    """The items of the chunks that this worker has claimed for one service."""

    def __init__(self) -> None:
        self._runs: list[tuple[float, _chunk_run.ChunkRun]] = []
        self.changed = trio.Event()

    def add(self, run: _chunk_run.ChunkRun, urgency: float) -> None:
        """Add a chunk; the lowest urgency value goes first, ties in order of addition."""
        self._runs.append((urgency, run))
        self._runs.sort(key=lambda entry: entry[0])
        self.notify()

    def remove(self, run: _chunk_run.ChunkRun) -> None:
        """Remove a chunk."""
        self._runs = [entry for entry in self._runs if entry[1] is not run]

    def notify(self) -> None:
        """Signal that items may have become ready."""
        self.changed.set()
        self.changed = trio.Event()

    @property
    def ready(self) -> int:
        """Number of items that are ready to run."""
        return sum(run.ready for _, run in self._runs)

    def pop(self) -> _chunk_run.Work | None:
        """Remove and return the next item, or ``None`` if no item is ready."""
        for _, run in self._runs:
            work = run.next_item()
            if work is not None:
                return work
        return None
