"""Opens connections to targets: by this VM's own path, or by way of VMs that reach them."""

from __future__ import annotations

import itertools
import weakref
from collections.abc import Awaitable, Callable, Iterator
from functools import partial

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.peer_table import ANNOUNCE_INTERVAL_S, PeerState, PeerTable
from lagoonlever.decisions.fleet.tunnel_peers import TunnelPeers, usable_peers
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.decisions.targets.target_paths import DialPlan, TargetPaths
from lagoonlever.exceptions import ConnectFailed
from lagoonlever.gateway import events_paths as events
from lagoonlever.gateway import metrics
from lagoonlever.gateway.connect_race import ConnectRace, NoWay, Way
from lagoonlever.gateway.tally import Tally
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.tunnel import BAD_GATEWAY, TunnelRefused, open_tunnel
from lagoonlever.identity import Incarnation
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

PEER_FIELD = "Lagoonlever-Peer"
"""The incarnation of the VM that asks for a tunnel."""
TUNNEL_FIELD = "Lagoonlever-Tunnel"
"""The name of a tunnel in the logs of both VMs."""
HEAD_START_S = 0.03
"""Before the next way is tried beside: a connection takes some milliseconds."""
PEERS_TRIED = 8
"""Of which one at least is likely to have a path where most VMs have just lost theirs."""
TUNNEL_TIMEOUT_S = 0.12
"""Until another VM has answered: longer than it tries itself."""
LOOK_PERIOD_S = ANNOUNCE_INTERVAL_S
"""In step with what a VM says of itself, so that a VM at rest wakes up once for all of it."""
PROBE_TIMEOUT_S = 0.15
LOOKS_BETWEEN_PROBES = 2


@attrs.define(kw_only=True, eq=False)
class _DrawnPeers:
    """The VMs that one connection may lead by; drawn only if its own path fails or takes long."""

    _draw: Callable[[], tuple[PeerState, ...]]
    _drawn: tuple[PeerState, ...] | None = None

    def take(self, turn: int) -> PeerState | None:
        """Return the VM of a turn, or None if there are not so many."""
        if self._drawn is None:
            self._drawn = self._draw()
        return self._drawn[turn] if turn < len(self._drawn) else None


@attrs.define(kw_only=True, eq=False)
class TargetDialer:
    """The one place where connections to targets are opened."""

    _own: Incarnation
    _tunnel_port: int | None
    """Where each VM opens connections for others, beside its bus; None for nowhere."""
    _timers: TimerService
    _fellows: PeerTable
    _targets: TargetRegistry
    _tally: Tally
    _peers: TunnelPeers
    _open_direct: Opener = ClientConnection.open
    paths: TargetPaths = attrs.field(factory=TargetPaths)
    _on_change: list[Callable[[Address], Awaitable[None]]] = attrs.field(factory=list)
    _tunnels: dict[str, weakref.WeakSet[ClientConnection]] = attrs.field(factory=dict)
    """The open tunnels by the name of the VM that they lead by."""
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _was_cut_off: bool = False
    _looks: int = 0

    @property
    def may_ask_others(self) -> bool:
        """Whether there are other VMs by way of which targets may be reached."""
        return self._tunnel_port is not None and bool(self._fellows.present(self._timers.now))

    def on_change(self, notify: Callable[[Address], Awaitable[None]]) -> None:
        """Have ``notify`` called with each target whose path was cut or is open again.

        Idle connections to it are then of no use: they may lead nowhere, or by a longer way.
        """
        self._on_change.append(notify)

    async def run(self) -> None:
        """Watch the tunnels, and try paths that are cut, until cancelled."""
        async with trio.open_nursery() as nursery:
            with self._timers.subscribed(partial(self._look, nursery), period_s=LOOK_PERIOD_S):
                await trio.sleep_forever()

    async def open(
        self, address: Address, *, timeout_s: float, apart_from: str | None = None
    ) -> ClientConnection:
        """Connect to a target; raise ``ConnectFailed``, which proves that it received nothing.

        The VM ``apart_from`` is asked after all others.
        """
        own: Way = partial(self.open_own, address, timeout_s=timeout_s)
        plan = self.paths.plan(address, self._timers.now)
        if plan is DialPlan.OWN or self._tunnel_port is None:
            return await own()
        drawn = _DrawnPeers(draw=partial(self._draw_peers, apart_from))
        ways: list[Way] = [own] if plan is DialPlan.BOTH else []
        ways += [partial(self._open_by_peer, drawn, turn, address) for turn in range(PEERS_TRIED)]
        connection = await ConnectRace(ways=ways, head_start_s=HEAD_START_S).run()
        if connection is None:
            raise self._unreached(address)
        if connection.via is not None:
            await self._record_cut(address, connection.via)
        return connection

    async def open_own(self, address: Address, *, timeout_s: float) -> ClientConnection:
        """Connect by this VM's own path only; raise ``ConnectFailed``."""
        try:
            connection = await self._open_direct(address, timeout_s=timeout_s)
        except ConnectFailed as error:
            self._record_unreached(address, error)
            raise
        connection.resets = True
        await self._record_reached(address)
        return connection

    def is_down(self, address: Address) -> bool:
        """Check whether a target was found down by more than this VM, if there is any other one."""
        return self.paths.is_down(address, self._timers.now)

    def is_cut(self, address: Address) -> bool:
        """Check whether other VMs reach a target by paths that this one does not have."""
        return self.paths.is_cut(address)

    def _draw_peers(self, apart_from: str | None) -> tuple[PeerState, ...]:
        now = self._timers.now
        drawn = self._peers.draw(usable_peers(self._fellows.present(now)), now, count=PEERS_TRIED)
        return tuple(sorted(drawn, key=lambda peer: peer.life.name == apart_from))

    def _unreached(self, address: Address) -> ConnectFailed:
        """Return the error for a target that no way leads to.

        Where there is no other VM, the failure of this one is all the evidence that there can be.
        """
        now = self._timers.now
        if not self._fellows.present(now):
            self.paths.record_down(address, now)
        message = f"no path to {address}, and no other VM that was asked has one"
        if self.paths.is_down(address, now):
            message = f"{address} takes no connection of any VM"
        error = ConnectFailed(message, step="connect", peer=str(address))
        self._record_unreached(address, error)
        return error

    async def _open_by_peer(
        self, drawn: _DrawnPeers, turn: int, address: Address
    ) -> ClientConnection:
        """Connect by way of the VM that was drawn for a turn; raise ``ConnectFailed``."""
        peer = drawn.take(turn)
        if peer is None:
            raise ConnectFailed("no other VM to ask", step="tunnel", peer=str(address))
        assert self._tunnel_port is not None
        name = peer.life.name
        via = Address(host=peer.bus.host, port=self._tunnel_port)
        tunnel = f"{self._own.name}/{next(self._numbers)}"
        fields = Headers(((PEER_FIELD, str(self._own)), (TUNNEL_FIELD, tunnel)))
        try:
            stream = await open_tunnel(via, to=address, headers=fields, timeout_s=TUNNEL_TIMEOUT_S)
        except TunnelRefused as refused:
            if refused.status == BAD_GATEWAY:
                self._tally.add(metrics.TUNNELS, "target-down")
                self.paths.record_down(address, self._timers.now)
                raise NoWay from refused
            self._tally.add(metrics.TUNNELS, "refused")
            self._peers.record_failure(name, self._timers.now)
            raise
        except ConnectFailed:
            self._tally.add(metrics.TUNNELS, "failed")
            self._peers.record_failure(name, self._timers.now)
            raise
        self._tally.add(metrics.TUNNELS, "opened")
        connection = ClientConnection(stream=stream, address=address, via=name)
        connection.resets = True
        self._tunnels.setdefault(name, weakref.WeakSet()).add(connection)
        events.TUNNEL_OPENED.log(log, target=self._targets.name_at(address), vm=name, tunnel=tunnel)
        return connection

    async def _record_reached(self, address: Address) -> None:
        cut = self.paths.cut_targets if self.paths.is_cut(address) else ()
        lost_s = self.paths.record_reached(address, self._timers.now)
        if lost_s is not None:
            name = self._targets.name_at(address)
            events.TARGET_REACHED.log(log, target=name, seconds=lost_s)
        self._retire_tunnels(frozenset(cut))
        for other in cut:
            await self._path_changed(other)

    def _record_unreached(self, address: Address, error: ConnectFailed) -> None:
        now = self._timers.now
        if not self.paths.record_unreached(address, now):
            return
        ago_s = self.paths.since_reached_s(address, now)
        events.TARGET_UNREACHED.log(
            log,
            target=self._targets.name_at(address),
            address=str(address),
            error=error.message,
            ago_s="unknown" if ago_s is None else f"{ago_s:.2f}",
        )

    async def _record_cut(self, address: Address, via: str) -> None:
        if not self.paths.record_cut(address, self._timers.now):
            return
        events.PATH_CUT.log(log, target=self._targets.name_at(address), vm=via)
        await self._path_changed(address)

    async def _path_changed(self, address: Address) -> None:
        """Tell of a path, in any case: whoever connects just now is given its connection."""
        self._note_cut_off()
        with trio.CancelScope(shield=True):
            for notify in self._on_change:
                await notify(address)

    def _retire_tunnels(self, targets: frozenset[Address]) -> None:
        """Have tunnels to targets closed after the requests that use them now."""
        for connection in itertools.chain.from_iterable(self._tunnels.values()):
            connection.retired |= connection.address in targets

    def _note_cut_off(self) -> None:
        """Log once that this VM has lost its paths, or has one again."""
        is_cut_off = self.paths.is_cut_off
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        if is_cut_off:
            events.CUT_OFF.log(log, paths=len(self.paths.cut_targets))
        else:
            events.NOT_CUT_OFF.log(log)

    def _look(self, nursery: trio.Nursery, tick: Tick) -> None:
        self._peers.expire(tick.now)
        self.paths.retain(frozenset(target.address for target in self._targets.targets))
        self._watch_tunnels(tick.now)
        self._looks += 1
        probed = self.paths.next_probe() if self._looks % LOOKS_BETWEEN_PROBES == 0 else None
        if probed is not None:
            nursery.start_soon(self._probe, probed)

    def _watch_tunnels(self, now: float) -> None:
        """Let go of tunnels by VMs that leave, and break those by VMs that are gone."""
        present = {peer.life.name: peer for peer in self._fellows.present(now)}
        for name, tunnels in list(self._tunnels.items()):
            peer = present.get(name)
            for connection in list(tunnels):
                connection.retired |= peer is None or peer.leaving
                if peer is None:
                    connection.abort()
            if not tunnels:
                del self._tunnels[name]

    async def _probe(self, address: Address) -> None:
        """Try a path that is cut; what is opened is of no further use."""
        try:
            connection = await self.open_own(address, timeout_s=PROBE_TIMEOUT_S)
        except ConnectFailed:
            # The path has recorded it, and is tried again.
            return
        await connection.aclose()
