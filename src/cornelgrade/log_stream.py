"""A stream for log lines that never blocks its writer and bounds how much is written.

What can't be written is dropped, and a line tells how much was.
"""

import os
import time
from collections.abc import Callable

# Lines waiting for a reader that is slow: some seconds of a busy process.
PENDING_BYTES = 262_144
# A busy gateway writes two lines a request, some tens a second; far above that is a storm.
LINES_PER_S = 200
BURST_LINES = 1000


class BoundedStream:
    """A text stream on a file descriptor, which is made non-blocking.

    :param clock: monotonic seconds.
    """

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = clock
        self._pending = bytearray()
        self._dropped = 0
        self._allowed = float(BURST_LINES)
        self._at_s = clock()

    def write(self, text: str) -> int:
        """Take a line and write what the descriptor takes now."""
        data = text.encode("utf-8", "replace")
        if self._admits(len(data)):
            self._tell_dropped()
            self._pending += data
        else:
            self._dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as the descriptor takes without waiting."""
        try:
            while self._pending:
                written = os.write(self._fd, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, so nobody can be told either.
            self._pending.clear()

    def _admits(self, size: int) -> bool:
        now_s = self._clock()
        self._allowed = min(BURST_LINES, self._allowed + (now_s - self._at_s) * LINES_PER_S)
        self._at_s = now_s
        if self._allowed < 1 or len(self._pending) + size > PENDING_BYTES:
            return False
        self._allowed -= 1
        return True

    def _tell_dropped(self) -> None:
        if self._dropped:
            line = f"level=WARNING service=logs event=lines_dropped count={self._dropped}\n"
            self._pending += line.encode()
            self._dropped = 0
