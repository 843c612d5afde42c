"""The gateway daemon: opens the sockets of one VM and runs its parts until it may end."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.configuration import ClientLimits, RouteKind
from lagoonlever.decisions.engine_book import EngineBook
from lagoonlever.decisions.hedging import Runners
from lagoonlever.entry.daemon import new_incarnation
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.calls import Calls
from lagoonlever.gateway.directory import Directory
from lagoonlever.gateway.fellows import Fellows
from lagoonlever.gateway.front import Front
from lagoonlever.gateway.registration import Registration
from lagoonlever.gateway.settings import GatewaySettings
from lagoonlever.gateway.store_follower import StoreFollower
from lagoonlever.gateway.streams import Streams
from lagoonlever.gateway.target_client import TargetClient
from lagoonlever.http.messages import Address
from lagoonlever.http.server import ServerLimits, ServerState, open_listeners, serve_http
from lagoonlever.identity import Incarnation
from lagoonlever.platform.store import MetadataStore
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

MOST_OUTSTANDING = 64
"""Calls that one VM has open at one runner."""
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
    _timers: TimerService = attrs.field(factory=TimerService)
    _http: ServerState = attrs.field(factory=ServerState)
    _beliefs: Beliefs = attrs.field(factory=Beliefs)
    _stop: trio.Event = attrs.field(factory=trio.Event)

    def stop(self) -> None:
        """Begin the planned stop; a repeated call has no effect."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a planned stop is over, or cancelled."""
        settings = self._settings
        own = new_incarnation(settings.name, self._rng)
        store = MetadataStore(address=settings.store.address)
        registration = Registration(store=store, settings=settings, own=own, rng=self._rng)
        client = TargetClient()
        listeners = await _open(settings.listen)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timers.run)
            nursery.start_soon(self._follower(store).run)
            nursery.start_soon(registration.run)
            for address in {settings.readiness, settings.directory}:
                if address is not None:
                    nursery.start_soon(self._serve_directory, address)
            nursery.start_soon(self._serve_front, client, listeners)
            events.STARTED.log(
                log,
                vm=settings.name,
                data_center=settings.data_center,
                address=str(settings.listen),
            )
            await self._stop.wait()
            await self._leave(registration)
            nursery.cancel_scope.cancel()

    async def _leave(self, registration: Registration) -> None:
        began = self._timers.now
        grace_s = self._settings.bounds.grace_s
        self._http.closing = True
        events.STOPPING.log(log, open=self._http.open_exchanges, grace_s=grace_s)
        await registration.leave()
        while self._timers.now - began < grace_s - END_MARGIN_S:
            quiet = self._timers.now - began > QUIET_S
            if quiet and not self._http.open_exchanges:
                break
            await trio.sleep(STOP_CHECK_S)
        events.STOPPED.log(log, seconds=self._timers.now - began, open=self._http.open_exchanges)

    @property
    def _ready(self) -> bool:
        known = self._beliefs.configuration.value is not None
        return known and not self._stop.is_set()

    def _limits(self) -> ServerLimits:
        configuration = self._beliefs.configuration.value
        limits = configuration.limits if configuration else ClientLimits()
        return ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _follower(self, store: MetadataStore) -> StoreFollower:
        return StoreFollower(
            store=store,
            beliefs=self._beliefs,
            fellows=Fellows(published=self._beliefs.fellows),
            timers=self._timers,
            rng=self._rng,
        )

    async def _serve_front(
        self, client: TargetClient, listeners: list[trio.SocketListener]
    ) -> None:
        runners = Runners(rng=self._rng, max_outstanding=MOST_OUTSTANDING)
        calls = Calls(beliefs=self._beliefs, timers=self._timers, client=client, runners=runners)
        book = EngineBook(rng=self._rng, data_center=self._settings.data_center)
        streams = Streams(beliefs=self._beliefs, timers=self._timers, client=client, book=book)
        front = Front(
            beliefs=self._beliefs,
            timers=self._timers,
            rng=self._rng,
            serve={
                RouteKind.IDEMPOTENT: calls.serve,
                RouteKind.NON_IDEMPOTENT: calls.serve,
                RouteKind.STREAM: streams.serve,
            },
        )
        await serve_http(
            handler=front.handle, listeners=listeners, limits=self._limits, state=self._http
        )

    async def _serve_directory(self, address: Address) -> None:
        directory = Directory(
            beliefs=self._beliefs,
            rng=self._rng,
            own=self._settings.listen,
            own_name=self._settings.name,
            ready=lambda: self._ready,
        )
        await serve_http(
            handler=directory.handle,
            listeners=await _open(address),
            limits=ServerLimits(),
            state=ServerState(),
        )


async def _open(address: Address) -> list[trio.SocketListener]:
    return await open_listeners(host=address.host, port=address.port)


__all__ = ("GatewayDaemon", "Incarnation")
