"""Numbered questions to other VMs, each with one answer or none in its time."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus

T = TypeVar("T")


@attrs.define(kw_only=True, eq=False)
class Questions:
    """Asks by the bus; answers carry the ``number`` of their question."""

    _bus: Bus
    _numbers: Iterator[int] = attrs.field(init=False)
    """Begun by the start of this process, so that none is that of a former one."""
    _waiting: dict[int, trio.MemorySendChannel[object]] = attrs.field(factory=dict)
    """Where the answer to each open question goes."""

    @_numbers.default
    def _make_numbers(self) -> Iterator[int]:
        return itertools.count(self._bus.own.started_ms)

    async def ask(
        self,
        address: Address,
        question: Callable[[int], object],
        answer: type[T],
        *,
        timeout_s: float,
    ) -> T | None:
        """Send what ``question`` makes of a number; gives the answer, or None."""
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[object](1)
        self._waiting[number] = send
        try:
            self._bus.send(address, question(number), ttl_s=timeout_s)
            with trio.move_on_after(timeout_s):
                told = await receive.receive()
                return told if isinstance(told, answer) else None
        finally:
            self._waiting.pop(number, None)
        return None

    async def receive(self, answer: type[object]) -> None:
        """Hand over answers of a class until cancelled."""
        async for received in self._bus.subscribe(answer):
            waiting = self._waiting.pop(getattr(received.message, "number", -1), None)
            if waiting is not None:
                waiting.send_nowait(received.message)
