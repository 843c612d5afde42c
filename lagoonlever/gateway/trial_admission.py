"""Lets one request of the fleet try a part whose block is over, and tells the other VMs."""

from __future__ import annotations

import attrs
import logbook

from lagoonlever.decisions.engines.crash_suspects import Block
from lagoonlever.decisions.engines.part_blocks import OpenTrial, PartTrials
from lagoonlever.decisions.engines.suspects import part_name
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_crashes import PartTried
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
    _trials: PartTrials = attrs.field(factory=PartTrials)

    async def run(self) -> None:
        """Receive which parts other VMs try, until cancelled."""
        async for received in self._bus.subscribe(PartTried):
            message = received.message
            self._trials.record_elsewhere(message.key, self._timers.now)
            self._spread.pass_on(message, source=received.sender.name, for_plain=message)

    def admit(self, accepted: Accepted, trial: OpenTrial) -> Block | None:
        """Have a request try a part, or return for how long it waits."""
        now, request = self._timers.now, accepted.request_id
        names = [peer.life.name for peer in self._beliefs.fellows.present(now)]
        wait_s = self._trials.wait_s(trial, request, now, own=self._own, vms=names)
        if wait_s > 0:
            return Block(crash_count=trial.crash_count, remaining_s=wait_s, parts=trial.parts)
        if self._trials.begin(trial.key, request):
            events.PART_TRIED.log(
                log,
                request=request,
                barred_part=", ".join(sorted(part_name(part) for part in trial.parts)),
                ended=trial.crash_count,
            )
            message = PartTried(key=trial.key)
            self._spread.tell(message, for_plain=message)
        return None

    def ended(self, accepted: Accepted) -> None:
        """Record that the work on a request is over, whatever became of it."""
        self._trials.record_end(accepted.request_id)

    def expire(self, now: float) -> None:
        """Forget trials of other VMs that have shown nothing."""
        self._trials.expire(now)
