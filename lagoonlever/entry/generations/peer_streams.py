"""Tells other VMs, and hears from them, whose callers have moved."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.entry.generations.generations import GenerationService
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_generations import TakenOver
from lagoonlever.published import Published


@attrs.define(kw_only=True)
class PeerStreams:
    """The part that carries ``TakenOver`` between the generation services of two VMs."""

    _bus: Bus
    _members: Published[MemberView]

    def taken_over(self, vm: str, *, organisation: str, request_id: str, attempt: int) -> None:
        """Tell the VM that served a caller before that this one does so now."""
        view = self._members.value
        member = view.find_by_name(vm)
        if member is None or member.incarnation == view.own:
            return
        message = TakenOver(organisation=organisation, request_id=request_id, attempt=attempt)
        self._bus.send(member.peers, message)

    async def run(self, service: GenerationService) -> None:
        """Let go of what other VMs have taken over, until cancelled."""
        async for received in self._bus.subscribe(TakenOver):
            message = received.message
            service.taken_over(
                organisation=message.organisation,
                request_id=message.request_id,
                attempt=message.attempt,
            )
