"""The entry daemon: opens the sockets of one VM and runs its parts until it may end."""

from __future__ import annotations

import random

import attrs
import logbook
import trio
import zmq

from lagoonlever.config.vm import VmSettings
from lagoonlever.decisions.membership.membership import Member, MemberState
from lagoonlever.entry.foundation import Foundation
from lagoonlever.entry.parts import Parts
from lagoonlever.events import event
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerState
from lagoonlever.identity import new_incarnation
from lagoonlever.instruments import Metrics
from lagoonlever.peers.bus import PeerBus
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

DEPART_S = 0.5
"""Time for the word of this VM's end to leave before its sockets close."""

STARTED = event(
    100,
    "started",
    "notice",
    "Entry VM {vm} listens on {address} for callers and on {peers} for the other VMs.",
    "The daemon is up; it serves once it knows its settings and its targets.",
)


@attrs.define(kw_only=True, eq=False)
class EntryDaemon:
    """One entry VM; ``run`` returns when a planned stop is over."""

    _settings: VmSettings
    _rng: random.Random = attrs.field(factory=random.SystemRandom)
    _timers: TimerService = attrs.field(factory=TimerService)
    _metrics: Metrics = attrs.field(factory=Metrics)
    _http: ServerState = attrs.field(factory=ServerState)
    _address: Address | None = None
    _peer_address: Address | None = None
    _parts: Parts | None = None
    _started: trio.Event = attrs.field(factory=trio.Event)
    _served: trio.Event = attrs.field(factory=trio.Event)

    @property
    def address(self) -> Address:
        """The callers' address; known once ``run`` has started."""
        return self._address or self._settings.advertised

    @property
    def timers(self) -> TimerService:
        """What tells the time to its parts."""
        return self._timers

    @property
    def peer_address(self) -> Address:
        """The other VMs' address; known once ``run`` has started."""
        return self._peer_address or Address.parse(self._settings.peer_listen)

    @property
    def parts(self) -> Parts:
        """The parts, for tests and the demonstration; known once ``run`` has started."""
        if self._parts is None:
            raise RuntimeError("the daemon was not started")
        return self._parts

    def stop(self) -> None:
        """Begin the planned stop; a repeated call has no effect."""
        if self._parts is not None:
            self._parts.stopping.begin()

    async def wait_started(self) -> None:
        """Wait until the sockets are open."""
        await self._started.wait()

    async def wait_ended(self) -> None:
        """Wait until a planned stop is over."""
        await self.parts.stopping.wait_ended()

    async def wait_serving(self, *, members: int = 1, targets: int = 0) -> None:
        """Wait until this VM knows so many members and live targets."""
        parts = self.parts
        ready = trio.Event()

        def look(_: Tick) -> None:
            if parts.serves(members=members, targets=targets):
                ready.set()

        with self._timers.subscribed(look):
            await ready.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until a planned stop is over, or cancelled."""
        listen = Address.parse(self._settings.listen)
        listeners = await _open_listeners(listen)
        port = listeners[0].socket.getsockname()[1]
        self._address = attrs.evolve(self._settings.advertised, port=port)
        async with trio.open_nursery() as nursery:
            parts = self._build(nursery)
            self._parts = parts
            for part in parts.runnable():
                nursery.start_soon(part)
            nursery.start_soon(self._serve, parts, listeners)
            STARTED.log(log, vm=self._settings.name, address=self.address, peers=self.peer_address)
            self._started.set()
            task_status.started()
            await parts.stopping.wait_ended()
            await self._close(listeners)
            await self._depart(parts)
            nursery.cancel_scope.cancel()
        await parts.base.platform.aclose()

    async def _serve(self, parts: Parts, listeners: list[trio.SocketListener]) -> None:
        await serve_http(
            handler=parts.routes.handle,
            listeners=listeners,
            limits=parts.http_limits,
            state=self._http,
            guard=parts.guard,
            check_head=parts.routes.refuse_by_head,
            keyed_callers=True,
        )
        self._served.set()

    async def _close(self, listeners: list[trio.SocketListener]) -> None:
        """Take no connection any more, and serve those taken to their ends.

        Guards against a caller with a very old address: between the look that found
        nothing held and the process's end, its request would be taken and then cut.
        """
        for listener in listeners:
            await listener.aclose()
        await self._served.wait()

    async def _depart(self, parts: Parts) -> None:
        parts.record_ended()
        parts.membership.depart()
        await trio.sleep(DEPART_S)

    def _build(self, nursery: trio.Nursery) -> Parts:
        settings = self._settings
        own = new_incarnation(settings.name, self._rng)
        bus = PeerBus(own=own, listen=Address.parse(settings.peer_listen))
        self._peer_address = _bind(bus, settings.peer_listen)
        member = Member(
            incarnation=own,
            data_center=settings.data_center,
            http=self.address,
            peers=self._peer_address,
            state=MemberState.ALIVE,
        )
        base = Foundation(
            settings=settings,
            own=member,
            bus=bus,
            rng=self._rng,
            timers=self._timers,
            metrics=self._metrics,
            http=self._http,
            background=nursery,
        )
        return Parts(base=base)


async def _open_listeners(listen: Address) -> list[trio.SocketListener]:
    try:
        return await open_listeners(host=listen.host, port=listen.port)
    except OSError as error:
        raise _cannot_listen("listen", str(listen), error) from error


def _bind(bus: PeerBus, peer_listen: str) -> Address:
    try:
        return bus.bind()
    except zmq.ZMQError as error:
        raise _cannot_listen("peer_listen", peer_listen, error) from error


def _cannot_listen(option: str, address: str, error: Exception) -> FaultsError:
    message = f"{address} can't be listened on ({error}); give a free port of this VM"
    return FaultsError([Fault(path=option, message=message)])
