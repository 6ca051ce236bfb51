"""The service ``histories``: what happened lately to each subject, in bounded memory."""

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
    """Keeps the newest steps of the subjects that were last written to.

    Subjects are named as :class:`ports.Histories` says.

    :param max_steps: steps kept for one subject; older ones go first.
    :param max_bytes: estimated memory of all histories; the subject longest unwritten goes first.
    :param now_s: gives Unix time in seconds.
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
        self._told: collections.OrderedDict[str, collections.deque[ports.Step]]
        self._told = collections.OrderedDict()

    @property
    def estimated_bytes(self) -> int:
        """The estimated memory of all histories."""
        return self._bytes

    async def run(self, started: Callable[[], None]) -> None:
        """Be there; histories are written and read by plain calls."""
        started()
        await trio.sleep_forever()

    def record(self, subject: str, step: str, sentence: str, peer: str = "") -> None:
        """Add a step to the history of ``subject``."""
        made = ports.Step(self._now_s(), step, sentence[:MAX_SENTENCE_CHARACTERS], peer)
        history = self._told.get(subject)
        if history is None:
            history = self._told[subject] = collections.deque()
            self._bytes += _subject_bytes(subject)
        else:
            self._told.move_to_end(subject)
        history.append(made)
        self._bytes += _step_bytes(made)
        if len(history) > self._max_steps:
            self._bytes -= _step_bytes(history.popleft())
        while self._bytes > self._max_bytes and len(self._told) > 1:
            self._forget_oldest()

    def get_steps(self, subject: str) -> tuple[ports.Step, ...]:
        """Give a history, oldest step first; empty if nothing is known."""
        return tuple(self._told.get(subject, ()))

    def find(self, identifier: str) -> tuple[str, ...]:
        """Give the subjects that are ``identifier`` or end with ``/`` and it."""
        ending = f"/{identifier}"
        return tuple(s for s in self._told if s == identifier or s.endswith(ending))

    def _forget_oldest(self) -> None:
        subject, history = self._told.popitem(last=False)
        self._bytes -= _subject_bytes(subject) + sum(map(_step_bytes, history))


def _subject_bytes(subject: str) -> int:
    return SUBJECT_OVERHEAD_BYTES + len(subject)


def _step_bytes(step: ports.Step) -> int:
    return STEP_OVERHEAD_BYTES + len(step.sentence) + len(step.peer)
