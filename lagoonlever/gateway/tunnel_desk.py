"""Opens connections to targets for VMs that have lost their own paths to them.

The way in is for VMs of the fleet only, and leads to listed targets only. One hop: what is asked
for here is tried by this VM's own path, and never handed on.
"""

from __future__ import annotations

import contextlib

import attrs
import logbook
import trio

from lagoonlever.exceptions import ConnectFailed
from lagoonlever.gateway import events_paths as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.dialer import PEER_FIELD, TUNNEL_FIELD, TargetDialer
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.tunnel import (
    BAD_GATEWAY,
    FORBIDDEN,
    UNAVAILABLE,
    NoTunnel,
    TunnelRequest,
    TunnelServer,
)
from lagoonlever.identity import Incarnation
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

CONNECT_TIMEOUT_S = 0.06
"""Below the time for which the other VM waits for an answer."""
AGAIN_TIMEOUT_S = 0.03
"""For a target that has failed once; one that is there accepts within a few milliseconds."""
CONTROL_DELAY_S = 0.02
"""Before another target is tried beside one that does not answer."""
IDLE_S = 1.0
"""A tunnel on which nothing is due and nothing has passed for so long holds up no stop."""


@attrs.define(kw_only=True, eq=False)
class TunnelDesk:
    """The tunnels of other VMs that lead by this one."""

    _beliefs: Beliefs
    _timers: TimerService
    _dialer: TargetDialer
    _most_tunnels: int
    _server: TunnelServer = attrs.field(init=False)

    @_server.default
    def _make_server(self) -> TunnelServer:
        return TunnelServer(dial=self._dial, connections=2 * self._most_tunnels)

    @property
    def tunnels(self) -> int:
        """The number of tunnels that are open."""
        return self._server.tunnels

    @property
    def busy(self) -> int:
        """The number of tunnels that a request may be using."""
        return self._server.count_busy(trio.current_time(), idle_s=IDLE_S)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve other VMs until cancelled."""
        await self._server.run(listeners)

    async def is_down(self, address: Address) -> bool:
        """Check whether this VM reaches other targets by its own paths, and not this one."""
        outcome = await self._open(address)
        if isinstance(outcome, NoTunnel):
            return outcome.status == BAD_GATEWAY
        await trio.aclose_forcefully(outcome)
        return False

    async def _dial(self, request: TunnelRequest) -> trio.SocketStream | NoTunnel:
        peer = self._peer(request.headers)
        if peer is None or not self._is_target(request.to):
            return NoTunnel(status=FORBIDDEN)
        if self._server.tunnels >= self._most_tunnels:
            return NoTunnel(status=UNAVAILABLE)
        outcome = await self._open(request.to)
        events.TUNNEL_SERVED.log(
            log,
            target=self._beliefs.targets.name_at(request.to),
            vm=peer.name,
            tunnel=request.headers.get(TUNNEL_FIELD),
            outcome=f"refused with {outcome.status}" if isinstance(outcome, NoTunnel) else "open",
        )
        return outcome

    async def _open(self, address: Address) -> trio.SocketStream | NoTunnel:
        paths = self._dialer.paths
        if paths.is_cut(address):
            return NoTunnel(status=UNAVAILABLE)
        others, began = self._others(address), self._timers.now
        opened: ClientConnection | None = None
        failed_at = began
        failed = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._try_control, others, began, failed)
            # The paths have recorded a failure; the control shows what it means.
            with contextlib.suppress(ConnectFailed):
                opened = await self._dialer.open_own(address, timeout_s=CONNECT_TIMEOUT_S)
                nursery.cancel_scope.cancel()
            failed_at = self._timers.now
            failed.set()
        if opened is None and paths.is_witness(others, since=failed_at):
            # The path may have come back between the two; only a failure after that tells.
            with contextlib.suppress(ConnectFailed):
                opened = await self._dialer.open_own(address, timeout_s=AGAIN_TIMEOUT_S)
        if opened is not None:
            return opened.detach()
        is_witness = paths.is_witness(others, since=began)
        return NoTunnel(status=BAD_GATEWAY if is_witness else UNAVAILABLE)

    async def _try_control(
        self, others: tuple[Address, ...], began: float, failed: trio.Event
    ) -> None:
        """Try another target, once one fails or is late: a VM that reaches none is no witness."""
        with trio.move_on_after(CONTROL_DELAY_S):
            await failed.wait()
        if self._dialer.paths.is_witness(others, since=began):
            return
        control = self._dialer.paths.choose_control(others)
        if control is None:
            return
        try:
            connection = await self._dialer.open_own(control, timeout_s=CONNECT_TIMEOUT_S)
        except ConnectFailed:
            # The paths have recorded it.
            return
        await connection.aclose()

    def _others(self, address: Address) -> tuple[Address, ...]:
        """Return the targets that show whether this VM has lost its paths, or a target is down.

        Of the same service, as paths to one service may be lost alone, and of other data centres,
        as the targets of one go down together; where there are none, whatever there is.
        """
        targets = [t for t in self._beliefs.targets.targets if t.address != address]
        asked = [t for t in self._beliefs.targets.targets if t.address == address]
        same = [t for t in targets if any(t.service == a.service for a in asked)]
        far = [t for t in same if all(t.data_center != a.data_center for a in asked)]
        return tuple(target.address for target in far or same or targets)

    def _peer(self, headers: Headers) -> Incarnation | None:
        """Return the VM that asks, if it is known; its incarnation is told to VMs only."""
        try:
            life = Incarnation.parse(headers.get(PEER_FIELD) or "")
        except ValueError:
            return None
        known = self._beliefs.fellows.find(life.name)
        return life if known is not None and known.life == life else None

    def _is_target(self, address: Address) -> bool:
        return any(target.address == address for target in self._beliefs.targets.targets)
