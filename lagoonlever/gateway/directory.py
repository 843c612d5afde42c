"""Tells callers which VMs to use, and the platform whether this one takes callers."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import logbook

from lagoonlever.decisions.fleet.offered_vms import offered_vms
from lagoonlever.gateway import events_paths as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.platform.entry_calls import READY_PATH, RESOLVE_PATH, addresses_answer
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

MOST_ADDRESSES = 64
TTL_S = 1.0
"""Short, as some callers keep an answer three times as long, and a VM stops within seconds."""
OK = 200
NOT_READY = 503
NOT_FOUND = 404


@attrs.define(kw_only=True, eq=False)
class Directory:
    """The handler of the addresses for readiness and for the directory."""

    _beliefs: Beliefs
    _timers: TimerService
    _rng: random.Random
    _own: Address
    _ready: Callable[[], bool]
    _is_cut_off: Callable[[], bool]
    _offered: tuple[int, bool] = (0, False)
    """How many VMs the last answer named, and whether this one was among them."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer a question about readiness or addresses."""
        path = exchange.request.path
        if path == READY_PATH:
            status = OK if self._ready() else NOT_READY
            await exchange.respond(status=status, headers=Headers(), body=b"")
            return
        if path != RESOLVE_PATH:
            await exchange.respond(status=NOT_FOUND, headers=Headers(), body=b"")
            return
        addresses = self.addresses()
        self._note_offer(addresses)
        if not addresses:
            await exchange.respond(status=NOT_READY, headers=Headers(), body=b"")
            return
        await exchange.respond(
            status=OK,
            headers=Headers((("Content-Type", JSON_TYPE),)),
            body=addresses_answer(addresses, ttl_s=TTL_S),
        )

    def addresses(self) -> tuple[Address, ...]:
        """Return where callers are sent to: this VM first, then the others in random order."""
        peers, own = offered_vms(
            self._beliefs.fellows.accepting_callers(self._timers.now),
            own_accepts=self._ready(),
            own_cut_off=self._is_cut_off(),
        )
        addresses = [self._own] if own else []
        addresses += [peer.callers for peer in self._rng.sample(peers, len(peers))]
        return tuple(addresses[:MOST_ADDRESSES])

    def _note_offer(self, addresses: tuple[Address, ...]) -> None:
        """Log whom callers are sent to, where it differs from the last answer."""
        offer = (len(addresses), self._own in addresses)
        if offer == self._offered:
            return
        self._offered = offer
        events.ADDRESSES_OFFERED.log(log, count=offer[0], own=offer[1])
