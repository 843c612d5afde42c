"""Faults that a stand-in target is told to have: death, a freeze, slowness."""

from __future__ import annotations

import enum

import attrs
import trio


class FaultKind(enum.Enum):
    """What is to happen to the stand-in."""

    DIE = "die"
    FREEZE = "freeze"
    THAW = "thaw"
    SLOW = "slow"
    RECOVER = "recover"
    DROP_ANSWER = "drop_answer"
    CLOSE_IDLE = "close_idle"


@attrs.frozen(kw_only=True)
class FaultOrder:
    """A fault to have now, or once some stream has sent ``after_tokens`` tokens.

    ``request_id`` narrows it to one stream, ``factor`` multiplies the times of a
    slow target, ``count`` is how many answers or connections are hit.
    """

    kind: FaultKind
    after_tokens: int | None = None
    request_id: str | None = None
    factor: float = 1.0
    count: int = 1


class Faults:
    """The faults of one stand-in; what it does next waits for ``moving`` first."""

    def __init__(self) -> None:
        self._armed: list[FaultOrder] = []
        self._died = trio.Event()
        self._thawed = trio.Event()
        self._thawed.set()
        self._factor = 1.0
        self._counts: dict[FaultKind, int] = {}

    @property
    def factor(self) -> float:
        """How many times longer everything takes now."""
        return self._factor

    @property
    def frozen(self) -> bool:
        """Whether nothing moves."""
        return not self._thawed.is_set()

    @property
    def dead(self) -> bool:
        """Whether the stand-in has died."""
        return self._died.is_set()

    async def moving(self) -> None:
        """Return at once, but wait for the thaw when frozen and for ever when dead."""
        if self.dead:
            await trio.sleep_forever()
        await self._thawed.wait()

    async def wait_death(self) -> None:
        """Return when the stand-in dies."""
        await self._died.wait()

    def inject(self, order: FaultOrder) -> None:
        """Have a fault now, or arm it for the token that it waits for."""
        if order.after_tokens is not None:
            self._armed.append(order)
            return
        self._apply(order)

    def sent(self, request_id: str, tokens: int) -> None:
        """Have the faults that wait for a stream to have sent this many tokens."""
        for order in list(self._armed):
            if order.after_tokens != tokens or order.request_id not in (None, request_id):
                continue
            self._armed.remove(order)
            self._apply(order)

    def take(self, kind: FaultKind) -> bool:
        """Tell whether a counted fault hits now, and use it up."""
        left = self._counts.get(kind, 0)
        self._counts[kind] = max(0, left - 1)
        return left > 0

    def _apply(self, order: FaultOrder) -> None:
        if order.kind is FaultKind.DIE:
            self._died.set()
        elif order.kind is FaultKind.FREEZE:
            self._thawed = trio.Event()
        elif order.kind is FaultKind.THAW:
            self._thawed.set()
        elif order.kind is FaultKind.SLOW:
            self._factor = order.factor
        elif order.kind is FaultKind.RECOVER:
            self._factor = 1.0
            self._armed.clear()
            self._counts.clear()
            self._thawed.set()
        else:
            self._counts[order.kind] = order.count
