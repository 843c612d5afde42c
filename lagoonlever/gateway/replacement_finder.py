"""Finds the processes that were started in the place of lost targets while the store is away."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.replacements import PROBE_DELAYS_S, is_same_service
from lagoonlever.exceptions import PeerError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.http.client import ClientConnection, Opener, Pool, fetch
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_gateway import TargetFound
from lagoonlever.platform.headers import read_answer
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ASK_TIMEOUT_S = 0.12
"""An engine that has just started is idle, and answers in a few milliseconds."""


@attrs.define(kw_only=True, eq=False)
class ReplacementFinder:
    """Asks at the addresses of lost targets who answers there, and tells the other VMs."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _reuse_s: Callable[[], float]
    """Returns how long an address stays unused after its target has ended."""
    _opener: Opener = ClientConnection.open
    _pool: Pool = attrs.field(init=False)
    _lost: dict[str, float] = attrs.field(factory=dict)
    """Targets that are looked after, and when each was last known to live."""
    _nursery: trio.Nursery | None = None

    @_pool.default
    def _make_pool(self) -> Pool:
        return Pool(per_address=0, opener=self._opener)

    async def run(self) -> None:
        """Look for replacements, and take those that others have found, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._receive()
            finally:
                # Streams that end later look for nothing.
                self._nursery = None

    async def _receive(self) -> None:
        async for received in self._bus.subscribe(TargetFound):
            found = received.message
            self._learner.take_found(found.former, found.found, source=received.sender.name)

    @MECHANISMS.register(
        "replacements",
        does="who answers at a lost target's address is asked, and used unlisted",
        without="a target that came back is used once the store lists it",
        plain=gives(None),
    )
    def lost(self, target_id: str, *, alive_at: float) -> None:
        """Look for what comes in a lost target's place.

        ``alive_at`` is its last sign of life, by the clock that goes on in a suspended VM.
        """
        target = self._beliefs.targets.find(target_id)
        if target is None or target_id in self._lost or self._nursery is None:
            return
        self._lost[target_id] = alive_at
        self._nursery.start_soon(self._look, target, alive_at)

    def answered(self, target_id: str, answering: str) -> None:
        """Take the id that a request to a lost target was refused with."""
        alive_at = self._lost.get(target_id)
        if alive_at is not None:
            self._take(target_id, answering, alive_at)

    async def _look(self, target: ListedTarget, alive_at: float) -> None:
        try:
            for after_s in PROBE_DELAYS_S:
                await trio.sleep(max(0.0, alive_at + after_s - self._timers.elapsed))
                if self._beliefs.targets.is_address_taken(target.id):
                    return
                answering = await self._ask_id(target)
                if answering is not None:
                    self._take(target.id, answering, alive_at)
                    return
        finally:
            del self._lost[target.id]

    def _take(self, target_id: str, answering: str, alive_at: float) -> None:
        """Put another process in a lost target's place, if it can only be of its service."""
        if answering == target_id:
            # It is back under its id: nothing of before counts against it.
            self._beliefs.book.avoidance.record_success(target_id)
            return
        proved = is_same_service(
            alive_at=alive_at, answered_at=self._timers.elapsed, reuse_s=self._reuse_s()
        )
        if not proved:
            return
        if self._learner.take_found(target_id, answering, source="its own answer"):
            message = TargetFound(former=target_id, found=answering)
            present = self._beliefs.fellows.present(self._timers.now)
            self._bus.send_to_all((fellow.bus for fellow in present), message)

    async def _ask_id(self, target: ListedTarget) -> str | None:
        """Return the id that answers at a target's address, or None."""
        configuration = self._beliefs.configuration.value
        service = configuration.services.get(target.service) if configuration else None
        if service is None:
            return None
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                answer = await fetch(
                    target.address,
                    path=service.health_path,
                    step="ask who answers",
                    timeout_s=ASK_TIMEOUT_S,
                    pool=self._pool,
                )
                return read_answer(answer.status, answer.headers).target_id
        except PeerError as error:
            events.NO_REPLACEMENT.log(log, target=target.id, error=str(error))
        return None
