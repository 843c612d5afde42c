"""Lets one request of the fleet try a part whose block is over, or a request that may end engines.

The other VMs are told, and refuse it meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.crash_suspects import Block
from lagoonlever.decisions.engines.part_blocks import OpenTrial, PartTrials
from lagoonlever.decisions.engines.suspects import part_name
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_crashes import PartTried, TrialEnded
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class TrialAdmission:
    """Soft state: a message that is lost may cost one more target."""

    _own: str
    """This VM's name."""
    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _spread: HubSpread
    _given_way: Callable[[], None]
    """Called after a trial of this VM has given way to one of another VM."""
    _started: float = attrs.field(init=False)
    _trials: PartTrials = attrs.field(factory=PartTrials)

    @_started.default
    def _make_started(self) -> float:
        return self._timers.now

    async def run(self) -> None:
        """Receive what other VMs try, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_begun)
            nursery.start_soon(self._receive_ended)

    async def _receive_ended(self) -> None:
        async for received in self._bus.subscribe(TrialEnded):
            message = received.message
            self._trials.record_over(message.key, vm=message.vm)
            self._spread.pass_on(message, source=received.sender.name, for_plain=message)

    async def _receive_begun(self) -> None:
        async for received in self._bus.subscribe(PartTried):
            message, source = received.message, received.sender.name
            vm = message.vm or source
            gives_way = self._trials.record_elsewhere(
                message.key, self._timers.now, vm=vm, own=self._own
            )
            self._spread.pass_on(message, source=source, for_plain=message)
            if gives_way:
                self._given_way()

    def admit(self, accepted: Accepted, trial: OpenTrial, *, at_once: bool = False) -> Block | None:
        """Have a request try, or return for how long it waits; its work must end with ``ended``.

        ``at_once`` also if this VM has just started, and may not have met the others.
        """
        block = self.find_block(accepted, trial, at_once=at_once)
        if block is not None:
            return block
        if self._trials.begin(trial.key, accepted.request_id):
            self._log_tried(accepted, trial)
            message = PartTried(key=trial.key, vm=self._own)
            self._spread.tell(message, for_plain=message)
        return None

    def find_block(
        self, accepted: Accepted, trial: OpenTrial, *, at_once: bool = False
    ) -> Block | None:
        """Return for how long a request waits until it may try, or None; nothing is begun."""
        now, request = self._timers.now, accepted.request_id
        up_s = math.inf if at_once else now - self._started
        wait_s = self._trials.wait_s(
            trial, request, now, own=self._own, vms=self._names(now), up_s=up_s
        )
        if wait_s <= 0:
            return None
        parts = frozenset[str]() if trial.is_request else trial.parts
        return Block(crash_count=trial.crash_count, remaining_s=wait_s, parts=parts)

    def _names(self, now: float) -> Iterator[str]:
        """Yield the names of the VMs that are there; they are listed only if one is asked for."""
        for peer in self._beliefs.fellows.present(now):
            yield peer.life.name

    def _log_tried(self, accepted: Accepted, trial: OpenTrial) -> None:
        request, ended = accepted.request_id, trial.crash_count
        if trial.is_request:
            fingerprint = accepted.fingerprint
            events.REQUEST_TRIED.log(log, request=request, fingerprint=fingerprint, ended=ended)
            return
        names = ", ".join(sorted(part_name(part) for part in trial.parts))
        events.PART_TRIED.log(log, request=request, barred_part=names, ended=ended)

    def ended(self, accepted: Accepted, *, answered: bool) -> None:
        """Record that the work on a request is over, whatever became of it.

        Where its caller has been ``answered``, the other VMs are told: it may come back to them. An
        engine of one that was left may still end under it, so these wait.
        """
        for key in self._trials.record_end(accepted.request_id):
            if answered:
                message = TrialEnded(key=key, vm=self._own)
                self._spread.tell(message, for_plain=message)

    def expire(self, now: float) -> None:
        """Forget trials of other VMs that have shown nothing."""
        self._trials.expire(now)
