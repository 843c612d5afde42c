"""One VM's generation side and its stand-in engines in this process, on loopback sockets.

The entry code is the daemon's own, with fixed views of targets, members and
settings in place of the parts that learn them.
"""

from __future__ import annotations

import random

import attrs
import trio

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetKind,
    TargetLoad,
    TargetView,
)
from lagoonlever.entry.callers.callers import CallerDirectory
from lagoonlever.entry.callers.routes import Routes
from lagoonlever.entry.callers.serving import GenerationServing, RoutingSettings
from lagoonlever.entry.engines.crashes import EngineCrashes
from lagoonlever.entry.fleet.addresses import EntryAnswer
from lagoonlever.entry.generations.admission import AdmissionPart
from lagoonlever.entry.generations.generations import GenerationSettings
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.engine import EngineOptions, FakeEngine
from lagoonlever.http.exchange import Exchange, Handler
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.identity import Incarnation
from lagoonlever.instruments import Metrics
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.published import Published
from lagoonlever.timers import TimerService
from lagoonlever.tree.nodes import ROOT, Node, Override, TreeView
from lagoonlever.tree.options import api_key_digest

LOOPBACK = "127.0.0.1"
MODEL = ServedModel(name="base", version="v1")
VM_NAME = "vm1"
IMPAIRED_S = 2.0
ENTRY_LIFETIME_S = 3600.0
ORGANISATION = "/bench"
API_KEY = "bench-key"
"""Every caller of the benchmarks brings it."""


@attrs.define(kw_only=True)
class FixedTargets:
    """A view of the targets that changes only by failed connects, each for a while."""

    view: Published[TargetView]
    _nursery: trio.Nursery

    def check_before_dispatch(self, target: Target) -> bool:
        """Let every dispatch pass: no target leaves."""
        return True

    def connected(self, target: Target) -> None:
        """Prefer the target as before."""
        self._set_impaired(target.name, False)

    def connect_failed(self, target: Target) -> None:
        """Prefer other targets to this one for a while."""
        self._set_impaired(target.name, True)
        self._nursery.start_soon(self._forgive, target.name)

    async def _forgive(self, name: str) -> None:
        await trio.sleep(IMPAIRED_S)
        self._set_impaired(name, False)

    def _set_impaired(self, name: str, impaired: bool) -> None:
        current = self.view.value.find(name)
        if current is None or current.impaired == impaired:
            return
        targets = tuple(
            attrs.evolve(target, impaired=impaired) if target.name == name else target
            for target in self.view.value.targets
        )
        self.view.publish(TargetView(targets=targets))


@attrs.define(kw_only=True)
class NoPeers:
    """The only VM: nobody takes over from another."""

    def taken_over(self, vm: str, *, organisation: str, request_id: str, attempt: int) -> None:
        """Tell nobody."""


@attrs.frozen(kw_only=True)
class RunningEngine:
    """A stand-in engine and where it listens."""

    name: str
    engine: FakeEngine
    address: Address


async def start_engine(
    nursery: trio.Nursery, *, name: str, options: EngineOptions
) -> RunningEngine:
    """Start a stand-in engine in this process."""
    engine = FakeEngine(options=options)
    listeners = await open_listeners(host=LOOPBACK, port=0)
    nursery.start_soon(engine.run, listeners)
    return RunningEngine(name=name, engine=engine, address=address_of(listeners))


def address_of(listeners: list[trio.SocketListener]) -> Address:
    """Give where a listener listens."""
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host=host, port=port)


def engine_target(name: str, address: Address, *, slots: int) -> Target:
    """Give the target of an idle engine that serves ``MODEL``."""
    return Target(
        name=name,
        address=address,
        kind=TargetKind.ENGINE,
        models=(ModelKey(name=MODEL.name, version=MODEL.version),),
        load=TargetLoad(running=0, waiting=0, slots=slots),
    )


async def start_vm(
    nursery: trio.Nursery,
    *,
    targets: tuple[Target, ...],
    detection: DetectionSettings,
    seed: int,
    limits: ServerLimits | None = None,
) -> Address:
    """Start the generation side of one VM and give the address of its callers."""
    listeners = await open_listeners(host=LOOPBACK, port=0)
    address = address_of(listeners)
    view = Published(TargetView(targets=targets))
    timers = TimerService()
    rng = random.Random(seed)
    keys = Override(option="api_keys", value=(api_key_digest(API_KEY),))
    organisation = Node(path=ORGANISATION, overrides=(keys,))
    tree = Published(TreeView(version=0, nodes=(Node(path=ROOT), organisation)))
    members = _lone_member(address)
    bus = LocalBus(network=LocalNetwork(random=rng), address=address, own=members.value.own)
    admission = AdmissionPart(
        tree=tree,
        targets=view,
        members=members,
        bus=bus,
        timers=timers,
        metrics=Metrics(),
        random=rng,
    )
    serving = GenerationServing(
        vm=VM_NAME,
        guard=FixedTargets(view=view, nursery=nursery),
        admission=admission,
        callers=CallerDirectory(tree=tree),
        timers=timers,
        rng=rng,
        background=nursery,
        peers=NoPeers(),
        crashes=EngineCrashes(bus=bus, members=members, targets=view, timers=timers),
        members=members,
        generation=GenerationSettings(),
        detection=detection,
        routing=RoutingSettings(),
        subset_size=len(targets),
        refusal=lambda: None,
        moved_to=lambda: None,
    )
    routes = Routes()
    routes.add("POST", "/v1/completions", serving.service.handle)
    routes.add("GET", "/v1/entry", _entry_handler(address))
    for part in (timers.run, admission.run, serving.run):
        nursery.start_soon(part)

    async def serve() -> None:
        await serve_http(
            handler=routes.handle,
            listeners=listeners,
            limits=limits or ServerLimits(),
            state=ServerState(),
        )

    nursery.start_soon(serve)
    return address


def _entry_handler(address: Address) -> Handler:
    async def handle(exchange: Exchange) -> None:
        answer = EntryAnswer(addresses=(str(address),), lifetime_s=ENTRY_LIFETIME_S)
        await exchange.respond_json(status=200, payload=attrs.asdict(answer))

    return handle


def _lone_member(address: Address) -> Published[MemberView]:
    member = Member(
        incarnation=Incarnation(name=VM_NAME, started_ms=1, nonce=1),
        data_center="dc1",
        http=address,
        peers=address,
        state=MemberState.ALIVE,
    )
    return Published(MemberView(members=(member,), own=member.incarnation))
