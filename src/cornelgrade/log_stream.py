"""A rate-limited, non-blocking stream for log lines.

Lines that cannot be written are dropped; a later log line reports their number.
"""

import os
import time
from collections.abc import Callable

# Buffer for a slow reader: a few seconds of a busy process's log.
MAX_PENDING_BYTES = 262_144
# A busy gateway logs two lines per request, tens of lines per second; far more is a log flood.
MAX_LINES_PER_S = 200
BURST_LINES = 1000


class BoundedStream:
    """A text stream on a file descriptor, which is set to non-blocking.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = clock
        self._pending = bytearray()
        self._dropped = 0
        self._allowed_lines = float(BURST_LINES)
        self._refilled_at_s = clock()

    def write(self, text: str) -> int:
        """Buffer a line, or drop it at a limit, and flush."""
        data = text.encode("utf-8", "replace")
        if self._consume_allowance(len(data)):
            self._report_dropped()
            self._pending += data
        else:
            self._dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        try:
            while self._pending:
                written = os.write(self._fd, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error cannot be logged either.
            self._pending.clear()

    def _consume_allowance(self, size: int) -> bool:
        now_s = self._clock()
        self._allowed_lines = min(
            BURST_LINES, self._allowed_lines + (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        )
        self._refilled_at_s = now_s
        if self._allowed_lines < 1 or len(self._pending) + size > MAX_PENDING_BYTES:
            return False
        self._allowed_lines -= 1
        return True

    def _report_dropped(self) -> None:
        if self._dropped:
            line = f"level=WARNING service=logs event=lines_dropped count={self._dropped}\n"
            self._pending += line.encode()
            self._dropped = 0
