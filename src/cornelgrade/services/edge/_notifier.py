"""A signal that wakes every task that waits for it at that moment."""

import trio


class Notifier:
    """Unlike :class:`trio.Event` it can be given again and again."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify_all(self) -> None:
        """Wake the tasks that wait now."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self) -> None:
        """Wait for the next time that the signal is given."""
        await self._event.wait()
