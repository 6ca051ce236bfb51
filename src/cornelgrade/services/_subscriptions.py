"""Hands messages to those services of the process that subscribed to their type."""

from typing import Any, TypeVar

import trio

T = TypeVar("T")
_BACKLOG = 1024
_Pair = tuple[trio.MemorySendChannel[Any], trio.MemoryReceiveChannel[Any]]


class Subscriptions:
    """The subscribers of one service."""

    def __init__(self) -> None:
        self._pairs: dict[type, list[_Pair]] = {}

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Open a channel for messages of one type."""
        send: trio.MemorySendChannel[T]
        receive: trio.MemoryReceiveChannel[T]
        send, receive = trio.open_memory_channel(_BACKLOG)
        self._pairs.setdefault(kind, []).append((send, receive))
        return receive.clone()

    def deliver(self, message: object) -> None:
        """Queue a message for its subscribers; a full queue loses its oldest."""
        for send, receive in self._pairs.get(type(message), ()):
            try:
                send.send_nowait(message)
            except trio.WouldBlock:
                receive.receive_nowait()
                send.send_nowait(message)
