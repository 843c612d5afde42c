"""What one connection of a client holds, paid for from the account of its process."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.admission.held_memory import (
    CONNECTION_BYTES,
    Holding,
    MemoryAccount,
    Stage,
    head_bytes,
)


@attrs.define(kw_only=True, eq=False)
class ConnectionMemory:
    """Pays for a connection at each stage; what is left is paid back as it closes."""

    _account: MemoryAccount
    _give_way: Callable[[], None]
    holding: Holding = attrs.field(init=False)
    _head_bytes: int = 0
    """What was paid for the head of the request."""
    _answer_bytes: int = 0
    """What was paid for the answer that is being read."""

    @holding.default
    def _make_holding(self) -> Holding:
        return Holding(give_way=self._give_way, since=trio.current_time())

    @property
    def is_leaving(self) -> bool:
        """Whether the connection has given way, or is refused."""
        return self.holding.stage is Stage.LEAVING

    @property
    def largest_bytes(self) -> int:
        """What one connection may hold at most."""
        return self._account.largest_bytes

    def pay(self, size: int) -> bool:
        """Pay for ``size`` bytes more; False if there is no memory for them."""
        return self._account.grow(self.holding, size, now=trio.current_time())

    @property
    def head_bytes(self) -> int:
        """What was paid for the head of the request, beside its bytes."""
        return self._head_bytes

    def pay_head(self, *, fields: int, items: int) -> bool:
        """Pay for a head with so many parts in all, until its request is over.

        False if there is no memory for it. What has been paid for the head counts.
        """
        due = head_bytes(fields=fields, items=items) - self._head_bytes
        if due <= 0:
            return True
        if not self.pay(due):
            return False
        self._head_bytes += due
        return True

    def settle(self, size: int) -> None:
        """Pay for ``size`` bytes beside the connection itself and the head, and no more."""
        self._account.shrink_to(self.holding, CONNECTION_BYTES + self._head_bytes + size)

    def move(self, stage: Stage) -> None:
        """Record that the next stage has begun."""
        self._account.move(self.holding, stage, now=trio.current_time())

    def begin_idle(self, received_bytes: int) -> None:
        """Pay back what was held for an exchange, but for what has come of the next request."""
        self._answer_bytes = 0
        self._head_bytes = 0
        self.settle(received_bytes)
        self.move(Stage.IDLE)

    def drop(self) -> None:
        """Pay back what was held for a request that is refused."""
        self.move(Stage.LEAVING)
        self._head_bytes = 0
        self.settle(0)

    def pay_answer(self, size: int) -> bool:
        """Pay for bytes of an answer; False if there is no memory for them."""
        if not self.pay(size):
            return False
        self._answer_bytes += size
        return True

    def return_answer(self, size: int) -> None:
        """Pay back what was paid for bytes of an answer."""
        self._answer_bytes -= size
        self._account.shrink(self.holding, size)

    def unpaid_of_answer(self, size: int) -> int:
        """Return how many bytes of what waits to be written nobody has paid for."""
        return 0 if self.is_leaving else max(0, size - self._answer_bytes)

    def pay_back(self, size: int) -> None:
        """Pay back ``size`` bytes; one that has given way has done so already."""
        if not self.is_leaving:
            self._account.shrink(self.holding, size)
