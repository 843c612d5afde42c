"""Hands received messages to the parts that subscribed to their class."""

from __future__ import annotations

from typing import Any, TypeVar

import trio

from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages import Received

T = TypeVar("T")

DEFAULT_CAPACITY = 256
"""Messages that wait for one subscriber before further ones are dropped."""


class Subscriptions:
    """The channels of each message class."""

    def __init__(self) -> None:
        self._channels: dict[type[Any], list[trio.MemorySendChannel[Received[Any]]]] = {}

    def add(
        self, message_class: type[T], *, capacity: int = DEFAULT_CAPACITY
    ) -> trio.MemoryReceiveChannel[Received[T]]:
        """Give a channel of the messages of one class."""
        send, receive = trio.open_memory_channel[Received[T]](capacity)
        self._channels.setdefault(message_class, []).append(send)
        return receive

    def deliver(self, *, sender: Incarnation, message: object) -> bool:
        """Hand a message to its subscribers; tells whether at least one had room."""
        channels = self._channels.get(type(message), [])
        taken = False
        for channel in list(channels):
            try:
                channel.send_nowait(Received(sender=sender, message=message))
                taken = True
            except trio.WouldBlock:
                continue
            except trio.BrokenResourceError:
                channels.remove(channel)
        return taken
