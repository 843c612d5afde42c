"""Spreads what a VM has learnt to all others: itself, or in a very large fleet by hubs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import hub_recipients, sends_directly
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.peers.interface import Bus
from lagoonlever.published import Published


@attrs.define(kw_only=True, eq=False)
class HubSpread:
    """Sends news on the way that fits the size of the fleet."""

    _bus: Bus
    _beliefs: Beliefs
    _roles: Published[Roles | None]
    _own: str
    """This VM's name."""

    def tell(self, message: object, *, for_plain: object | None) -> None:
        """Send what this VM saw to all, also to silent VMs, which may only be cut off.

        ``for_plain`` is what VMs get that are no hubs, where this VM is one; None for nothing.
        """
        if self._is_small:
            self._bus.send_to_all((fellow.bus for fellow in self._fellows), message)
            return
        self.pass_on(message, source=self._own, for_plain=for_plain)

    def pass_on(self, message: object, *, source: str, for_plain: object | None) -> None:
        """Pass on what ``source`` sent: to the hubs, and as a hub to VMs of this data centre."""
        roles = self._roles.value
        if self._is_small or roles is None:
            return
        self._send(hub_recipients(roles, own=self._own, source=source), message)
        if not roles.is_hub or for_plain is None:
            return
        hubs = frozenset(roles.hubs)
        near = (f for f in self._fellows if f.data_center == self._beliefs.book.data_center)
        plain = (f.bus for f in near if f.life.name not in hubs and f.life.name != source)
        self._bus.send_to_all(plain, for_plain)

    def answer(self, message: object, *, to: str) -> None:
        """Send a message to one VM, by its name."""
        self._send((to,), message)

    @property
    def _fellows(self) -> tuple[PeerState, ...]:
        return self._beliefs.fellows.states

    @property
    def _is_small(self) -> bool:
        return sends_directly(len(self._fellows))

    def _send(self, names: Iterable[str], message: object) -> None:
        for name in names:
            fellow = self._beliefs.fellows.find(name)
            if fellow is not None:
                self._bus.send(fellow.bus, message)
