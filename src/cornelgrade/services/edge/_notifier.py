"""A notification that wakes all tasks waiting for it."""

import trio


class Notifier:
    """Like :class:`trio.Event`, but can be set repeatedly."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = trio.Event()

    def next_event(self) -> trio.Event:
        """Return the event of the next notification, for a task that starts to wait later."""
        return self._event

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
