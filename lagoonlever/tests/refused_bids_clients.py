"""Clients of a play: kept connections, bursts, and some that repeat at once."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.tests.refused_bids_judge import SentRequest
from lagoonlever.tests.refused_bids_wire import Message, Wire, encode

HOST, KEY = "shop.example", "key-1"
DEADLINE_S = 3.0
BID_SHARE = 0.59
BODY_BYTES = 600
KEPT_CONNECTIONS = 32
IDLE_S = 5.0
"""A client uses no connection that rested longer: the VM may be closing it."""
REPEATING_SHARE, MOST_REPEATS = 0.3, 3
FAILED_FROM = 400
PATIENCE_S = (0.02, 0.3)
"""Of a client that leaves before its answer."""
PAUSE_IN_BODY_S = (0.05, 1.0)


@attrs.frozen(kw_only=True)
class Habits:
    """What some of the clients do, each as a share of the requests."""

    leaving: float = 0.0
    """They close the connection before the answer."""
    halting: float = 0.0
    """They send the second half of a body some time after the first."""


@attrs.define(kw_only=True, eq=False)
class Clients:
    """The clients of one VM."""

    vm: str
    address: Address
    rng: random.Random
    per_s: Callable[[], float]
    """How many requests they send a second now."""
    habits: Habits = attrs.field(factory=Habits)
    sent: list[SentRequest] = attrs.field(factory=list)
    _kept: list[tuple[float, Wire]] = attrs.field(factory=list)
    """With the time since when each rests."""

    async def run(self, ended: Callable[[], bool]) -> None:
        """Send requests until a play has ended, and wait for their answers."""
        async with trio.open_nursery() as nursery:
            while not ended():
                nursery.start_soon(self._call)
                await trio.sleep(self.rng.expovariate(self.per_s()))

    async def _call(self) -> None:
        is_bid = self.rng.random() < BID_SHARE
        repeats = MOST_REPEATS if self.rng.random() < REPEATING_SHARE else 0
        for _ in range(1 + repeats):
            request = SentRequest(
                id=f"{self.rng.getrandbits(64):016x}",
                vm=self.vm,
                is_bid=is_bid,
                sent_at=time.monotonic(),
            )
            self.sent.append(request)
            with trio.move_on_after(self._draw_patience_s()):
                answer = await self._exchange(request)
                if answer is not None:
                    request.status = answer.status
                    request.answered_at = time.monotonic()
            if request.status is not None and request.status < FAILED_FROM:
                return

    async def _exchange(self, request: SentRequest) -> Message | None:
        wire: Wire | None = None
        answer: Message | None = None
        try:
            wire = await self._connect()
            await self._send(wire, self._encode(request))
            answer = await wire.read()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return None
        finally:
            if wire is not None:
                await self._release(wire, answer)
        return answer

    def _draw_patience_s(self) -> float:
        if self.rng.random() < self.habits.leaving:
            return self.rng.uniform(*PATIENCE_S)
        return DEADLINE_S

    async def _send(self, wire: Wire, message: bytes) -> None:
        """Write a request, whole or in two parts."""
        if self.rng.random() >= self.habits.halting:
            await wire.write(message)
            return
        half = len(message) - BODY_BYTES // 2
        await wire.write(message[:half])
        await trio.sleep(self.rng.uniform(*PAUSE_IN_BODY_S))
        await wire.write(message[half:])

    async def _connect(self) -> Wire:
        """Return the connection that was used last, or a new one."""
        while self._kept:
            since, wire = self._kept.pop()
            if time.monotonic() - since < IDLE_S:
                return wire
            await trio.aclose_forcefully(wire.stream)
        return Wire(stream=await trio.open_tcp_stream(self.address.host, self.address.port))

    async def _release(self, wire: Wire, answer: Message | None) -> None:
        closes = answer is None or answer.fields.get("connection", "").lower() == "close"
        if closes or len(self._kept) >= KEPT_CONNECTIONS:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(wire.stream)
            return
        self._kept.append((time.monotonic(), wire))

    def _encode(self, request: SentRequest) -> bytes:
        first = f"POST /bid/{request.id}" if request.is_bid else f"GET /look/{request.id}"
        fields = [
            ("Host", HOST),
            ("Request-Id", request.id),
            ("Deadline-Ms", round(DEADLINE_S * 1000)),
            ("Authorization", f"Bearer {KEY}"),
        ]
        body = b"x" * BODY_BYTES if request.is_bid else b""
        return encode(f"{first} HTTP/1.1", fields, body)
