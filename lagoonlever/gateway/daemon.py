"""The gateway daemon: opens the sockets of one VM and runs its parts until it may end."""

from __future__ import annotations

import random
import socket
from collections.abc import Mapping

import attrs
import logbook
import trio

from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.parts import GatewayParts
from lagoonlever.gateway.settings import GatewaySettings
from lagoonlever.gateway.supervision import run_part
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.http.exchange import Handler
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerState
from lagoonlever.identity import new_incarnation
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

LONGEST_WAIT_S = 1.0
"""Between two ticks of the timer service: nothing here asks it for pauses of the process."""
STOP_CHECK_S = 0.1
END_MARGIN_S = 0.7
"""Before the process would be killed: what is still open is closed by us, visibly broken."""
QUIET_S = 3.2
"""Callers keep a told address for up to three lifetimes of it."""


@attrs.define(kw_only=True, eq=False)
class GatewayDaemon:
    """One gateway; ``run`` returns when a planned stop is over."""

    _settings: GatewaySettings
    _rng: random.Random = attrs.field(factory=random.SystemRandom)
    timers: TimerService = attrs.field(factory=lambda: TimerService(tick_s=LONGEST_WAIT_S))
    _http: ServerState = attrs.field(factory=ServerState)
    _sockets: Mapping[str, socket.socket] = attrs.field(factory=dict)
    """Sockets that listen already, by their addresses."""
    _open_target: Opener = ClientConnection.open
    """Opens a connection to a target from this VM itself."""
    _stop: trio.Event = attrs.field(factory=trio.Event)
    _parts: GatewayParts | None = None

    @property
    def parts(self) -> GatewayParts:
        """The parts, for tests to look into; known once ``run`` has started."""
        if self._parts is None:
            raise RuntimeError("the daemon was not started")
        return self._parts

    def stop(self) -> None:
        """Begin the planned stop; a repeated call has no effect."""
        self._stop.set()

    def log_lines_lost(self, total: int) -> None:
        """Take the number of lost log lines into the metrics."""
        if self._parts is not None:
            self._parts.reporter.tally.set(metrics.LOG_LINES_LOST, float(total))

    def reload(self, settings: GatewaySettings) -> None:
        """Put changed settings in force, without a pause in service."""
        if settings == self._settings:
            events.SETTINGS_SAME.log(log)
            return
        former, self._settings = self._settings, settings
        kept = (former.listen, former.readiness, former.directory, former.bus)
        moved = kept != (settings.listen, settings.readiness, settings.directory, settings.bus)
        events.SETTINGS_RELOADED.log(log, addresses="wait for a restart" if moved else "stay")
        if self._parts is not None:
            self._parts.reload(settings)

    async def run(self) -> None:
        """Serve until a planned stop is over, or cancelled."""
        settings = self._settings
        listeners = await self._open(settings.listen)
        parts = GatewayParts(
            settings=settings,
            life=new_incarnation(settings.name, self._rng),
            rng=self._rng,
            timers=self.timers,
            stopping=self._stop.is_set,
            open_requests=lambda: self._http.open_exchanges,
            open_target=self._open_target,
        )
        self._parts = parts
        async with trio.open_nursery() as nursery:
            for name, part in parts.runnable().items():
                nursery.start_soon(run_part, name, part)
            for address in {settings.readiness, settings.directory}:
                if address is not None:
                    nursery.start_soon(self._serve_beside, parts, parts.directory.handle, address)
            if settings.metrics is not None:
                page = parts.metrics_page.handle
                nursery.start_soon(self._serve_beside, parts, page, settings.metrics)
            if settings.tunnel is not None:
                nursery.start_soon(self._serve_tunnels, parts, settings.tunnel)
            nursery.start_soon(self._serve_front, parts, listeners)
            events.STARTED.log(
                log,
                vm=settings.name,
                data_center=settings.data_center,
                address=str(settings.listen),
            )
            await self._stop.wait()
            await self._leave(parts)
            nursery.cancel_scope.cancel()

    async def _leave(self, parts: GatewayParts) -> None:
        began = self.timers.now
        grace_s = self._settings.bounds.grace_s
        lasts_s = grace_s - END_MARGIN_S
        parts.last_requests.departure.begin(began, lasts_s=lasts_s)
        self._http.closing = True
        events.STOPPING.log(log, open=self._http.open_exchanges, grace_s=grace_s)
        parts.presence.say_now()
        await parts.registration.leave()
        while self.timers.now - began < lasts_s:
            quiet = self.timers.now - began > QUIET_S
            if quiet and not self._http.open_exchanges and not parts.tunnel_desk.busy:
                break
            await trio.sleep(STOP_CHECK_S)
        seconds = self.timers.now - began
        events.STOPPED.log(log, seconds=seconds, open=self._http.open_exchanges)

    async def _open(self, address: Address) -> list[trio.SocketListener]:
        listening = self._sockets.get(str(address))
        if listening is None:
            return await open_listeners(host=address.host, port=address.port)
        return [trio.SocketListener(trio.socket.from_stdlib_socket(listening))]

    async def _serve_front(self, parts: GatewayParts, listeners: list[trio.SocketListener]) -> None:
        await serve_http(
            handler=parts.front.handle,
            listeners=listeners,
            limits=parts.server_limits,
            state=self._http,
            guard=parts.guard,
            check_head=parts.front.refuse_by_head,
        )

    async def _serve_tunnels(self, parts: GatewayParts, address: Address) -> None:
        await parts.tunnel_desk.run(await self._open(address))

    async def _serve_beside(self, parts: GatewayParts, handler: Handler, address: Address) -> None:
        await serve_http(
            handler=handler,
            listeners=await self._open(address),
            limits=parts.question_limits,
            state=ServerState(),
            guard=parts.guard,
        )
