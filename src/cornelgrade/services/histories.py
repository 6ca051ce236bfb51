"""The service ``histories``: recent history of each subject, in bounded memory."""

import collections
import time
from collections.abc import Callable

import trio

from cornelgrade.services import ports

MAX_STEPS = 48
MAX_BYTES = 8_000_000
STEP_OVERHEAD_BYTES = 300
SUBJECT_OVERHEAD_BYTES = 1_000
MAX_SENTENCE_CHARACTERS = 500


class Histories:
    """Keeps the newest steps of the most recently updated subjects.

    :class:`ports.Histories` describes the names of subjects.

    :param max_steps: steps kept for one subject; the oldest is evicted first.
    :param max_bytes: estimated memory of all histories; the least recently updated subject is
        evicted first.
    :param now_s: returns the Unix time in seconds.
    """

    name = "histories"

    def __init__(
        self,
        max_steps: int = MAX_STEPS,
        max_bytes: int = MAX_BYTES,
        now_s: Callable[[], float] = time.time,
    ) -> None:
        self._max_steps = max_steps
        self._max_bytes = max_bytes
        self._now_s = now_s
        self._bytes = 0
        self._histories: collections.OrderedDict[str, collections.deque[ports.Step]]
        self._histories = collections.OrderedDict()

    @property
    def estimated_bytes(self) -> int:
        """The estimated memory of all histories."""
        return self._bytes

    async def run(self, started: Callable[[], None]) -> None:
        """Wait until cancelled; histories are written and read by plain calls."""
        started()
        await trio.sleep_forever()

    def record(self, subject: str, step: str, sentence: str, peer: str = "") -> None:
        """Add a step to the history of ``subject``."""
        new_step = ports.Step(self._now_s(), step, sentence[:MAX_SENTENCE_CHARACTERS], peer)
        history = self._histories.get(subject)
        if history is None:
            history = self._histories[subject] = collections.deque()
            self._bytes += _subject_bytes(subject)
        else:
            self._histories.move_to_end(subject)
        history.append(new_step)
        self._bytes += _step_bytes(new_step)
        if len(history) > self._max_steps:
            self._bytes -= _step_bytes(history.popleft())
        while self._bytes > self._max_bytes and len(self._histories) > 1:
            self._evict_oldest()

    def get_steps(self, subject: str) -> tuple[ports.Step, ...]:
        """Return a history, oldest step first; empty for an unknown subject."""
        return tuple(self._histories.get(subject, ()))

    def find(self, identifier: str) -> tuple[str, ...]:
        """Return the subjects that equal ``identifier`` or end with ``/`` and it."""
        ending = f"/{identifier}"
        return tuple(s for s in self._histories if s == identifier or s.endswith(ending))

    def _evict_oldest(self) -> None:
        subject, history = self._histories.popitem(last=False)
        self._bytes -= _subject_bytes(subject) + sum(map(_step_bytes, history))


def _subject_bytes(subject: str) -> int:
    return SUBJECT_OVERHEAD_BYTES + len(subject)


def _step_bytes(step: ports.Step) -> int:
    return STEP_OVERHEAD_BYTES + len(step.sentence) + len(step.peer)
