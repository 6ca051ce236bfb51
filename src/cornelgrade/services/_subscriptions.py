"""Delivers messages to the services of the process that subscribed to their type."""

from typing import Any, TypeVar

import trio

T = TypeVar("T")
_QUEUE_CAPACITY = 1024
_Channel = tuple[trio.MemorySendChannel[Any], trio.MemoryReceiveChannel[Any]]


class Subscriptions:
    """The subscribers of one service."""

    def __init__(self) -> None:
        self._channels: dict[type, list[_Channel]] = {}

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Return a channel that receives the messages of one type."""
        send: trio.MemorySendChannel[T]
        receive: trio.MemoryReceiveChannel[T]
        send, receive = trio.open_memory_channel(_QUEUE_CAPACITY)
        self._channels.setdefault(kind, []).append((send, receive))
        return receive.clone()

    def deliver(self, message: object) -> None:
        """Queue a message for its subscribers; a full queue drops its oldest message."""
        for send, receive in self._channels.get(type(message), ()):
            try:
                send.send_nowait(message)
            except trio.WouldBlock:
                receive.receive_nowait()
                send.send_nowait(message)
