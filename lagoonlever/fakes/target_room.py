"""Slots, memory and queue of a stand-in: the most urgent is admitted first, a full one refuses."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs
import trio

USUAL_PRIORITY = 5
"""Of a request that names none; 0 is first."""
PLENTY = 1_000_000_000


@attrs.define(kw_only=True, eq=False)
class Place:
    """A request's part of a room; it works while ``admitted`` is set."""

    priority: int
    tokens: int
    number: int
    """Of its arrival."""
    admitted: trio.Event = attrs.field(factory=trio.Event)

    @property
    def order(self) -> tuple[int, int]:
        """The most urgent first, of these the oldest."""
        return self.priority, self.number


@attrs.define(kw_only=True, eq=False)
class TargetRoom:
    """What a target can take at once; without bounds nothing waits."""

    slots: int = PLENTY
    memory_tokens: int = PLENTY
    most_waiting: int = PLENTY
    preempted: int = 0
    """How often a request had to leave for a more urgent one, or for want of memory."""
    _running: list[Place] = attrs.field(factory=list)
    _waiting: list[Place] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for one."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """The memory of those that hold a slot."""
        return sum(place.tokens for place in self._running)

    def enter(self, *, priority: int, tokens: int) -> Place | None:
        """Give a place, which may have to wait; None where the room is full."""
        if tokens > self.memory_tokens:
            return None
        place = Place(priority=priority, tokens=tokens, number=next(self._numbers))
        self._waiting.append(place)
        self._settle()
        if len(self._waiting) > self.most_waiting and not place.admitted.is_set():
            self._waiting.remove(place)
            return None
        return place

    def grow(self, place: Place, tokens: int) -> None:
        """Take more memory; the newest of the least urgent leaves if there is none."""
        place.tokens += tokens
        while self.used_tokens > self.memory_tokens and len(self._running) > 1:
            self._preempt(max(self._running, key=lambda held: held.order))

    def leave(self, place: Place) -> None:
        """Give a place back."""
        for held in (self._running, self._waiting):
            if place in held:
                held.remove(place)
        self._settle()

    def _settle(self) -> None:
        """Admit the waiting, in their order, as far as there is room."""
        while self._waiting:
            first = min(self._waiting, key=lambda place: place.order)
            if not self._make_room(first):
                return
            self._waiting.remove(first)
            self._running.append(first)
            first.admitted.set()

    def _make_room(self, place: Place) -> bool:
        """Preempt what is less urgent, if that gives enough memory."""
        if len(self._running) >= self.slots:
            return False
        lacking = self.used_tokens + place.tokens - self.memory_tokens
        less_urgent = [held for held in self._running if held.priority > place.priority]
        if lacking > sum(held.tokens for held in less_urgent):
            return False
        for held in sorted(less_urgent, key=lambda held: held.order, reverse=True):
            if lacking <= 0:
                break
            lacking -= held.tokens
            self._preempt(held)
        return True

    def _preempt(self, place: Place) -> None:
        self.preempted += 1
        self._running.remove(place)
        place.admitted = trio.Event()
        self._waiting.append(place)
