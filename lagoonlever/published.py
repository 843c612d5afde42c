"""A value that one task owns and others read: the latest snapshot, and its changes."""

from __future__ import annotations

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Published(Generic[T]):
    """Holds an immutable snapshot; only its owner calls ``publish``."""

    def __init__(self, value: T) -> None:
        self._value = value
        self._changed = trio.Event()

    @property
    def value(self) -> T:
        """The latest snapshot."""
        return self._value

    def publish(self, value: T) -> None:
        """Replace the snapshot and wake whoever waits for a change."""
        self._value = value
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_change(self) -> T:
        """Wait for the next snapshot and give it."""
        await self._changed.wait()
        return self._value
