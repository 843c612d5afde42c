"""A fleet in memory whose VMs place runs: by their own books, or by asking those that hold one."""

from __future__ import annotations

import random

import attrs

from lagoonlever.bench.local_fleet import PLACES, Fleet, FleetVm
from lagoonlever.decisions.settings.configuration import Configuration, EngineLimits, TargetService
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.run_placement import Placed, PlacementRequest
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.cache_locator import CacheLocator
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.placement_desk import PlacementDesk
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.gateway.room_asker import RoomAsker
from lagoonlever.gateway.room_desk import RoomDesk
from lagoonlever.gateway.settings import RetryBudgetBounds
from lagoonlever.gateway.tally import Tally
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision

SERVICE = "engines"
LIMITS = EngineLimits(slots=6, memory_tokens=55_000, copies=True)
OLD_VERSION, NEW_VERSION = "v1", "v2"
PROMPT = 5_000
MEMORY = 6_000


@attrs.define(kw_only=True, eq=False)
class PlacingVm:
    """One VM's parts that place runs and tell of them."""

    vm: FleetVm
    placer: Placer
    peers: PeerExchange
    desk: RoomDesk
    asker: RoomAsker
    lost: list[str]
    """Engines that it has heard to be lost."""

    @property
    def name(self) -> str:
        """Its VM's name."""
        return self.vm.state.life.name

    @property
    def is_hub(self) -> bool:
        """Whether it has the role in its own view."""
        roles = self.vm.presence.roles.value
        return roles is not None and roles.is_hub

    def messages_received(self) -> int:
        """Count what it was told and asked of runs, not of who lives."""
        about_vms = {"gs", "gm", "gq", "gl"}
        received = self.vm.bus.traffic.received
        return sum(c.messages for tag, c in received.items() if tag not in about_vms)

    async def place(
        self, request: str, *, after_loss: bool = False, version: str | None = None
    ) -> Placed:
        """Place a run and tell of it, as a stream does once it is written.

        One that goes on can do so only at the ``version`` that began it.
        """
        ask = PlacementRequest(
            request=request,
            service=SERVICE,
            prompt_tokens=PROMPT,
            memory_tokens=MEMORY,
            crowd=after_loss,
            repeat=after_loss,
            version=version,
        )
        outcome = await self.placer.place(ask)
        if not isinstance(outcome, Placed):
            raise RuntimeError(f"{request} got no place: {outcome}")
        self.peers.begin(self.booked(request, outcome))
        return outcome

    def booked(self, request: str, placed: Placed) -> EngineRun:
        """Give a run as its VM tells of it."""
        copy = None
        if placed.copy_to is not None:
            address = Address(host="10.2.0.1", port=1)
            copy = RunCopy(holder=placed.copy_to, address=address, name=request)
        return EngineRun(
            request=request,
            vm=self.name,
            engine=placed.engine,
            service=SERVICE,
            prompt_tokens=PROMPT,
            memory_tokens=MEMORY,
            part=f"part-{request}",
            fingerprint=f"question-{request}",
            copy=copy,
            version=self._version_of(placed.engine),
        )

    def _version_of(self, engine: str) -> str | None:
        target = self.vm.beliefs.targets.find(engine)
        return target.version if target is not None else None


def engines(count: int, *, old_versions: int = 0) -> list[ListedTarget]:
    """Return so many engines over the data centres of the fleet, the first of an old version."""
    return [
        ListedTarget(
            id=f"e-{number}",
            service=SERVICE,
            address=Address(host=f"10.1.0.{number}", port=80),
            data_center=PLACES[number % len(PLACES)],
            slots=LIMITS.slots,
            version=OLD_VERSION if number < old_versions else NEW_VERSION,
        )
        for number in range(count)
    ]


def placing_fleet(
    fleet: Fleet, *, engine_count: int, old_versions: int = 0
) -> dict[str, PlacingVm]:
    """Start what places runs on each VM of a fleet that is settled."""
    listed = engines(engine_count, old_versions=old_versions)
    configuration = Configuration(
        version=1,
        services={
            SERVICE: TargetService(
                name=SERVICE, health_path="/health", max_connections=100, engine=LIMITS
            )
        },
    )
    made = {}
    for name, vm in fleet.vms.items():
        vm.beliefs.configuration.publish(configuration)
        vm.beliefs.targets.apply_list(
            listed, revision=Revision(number=1), now=0.0, store_back_at=None
        )
        vm.beliefs.known.set()
        made[name] = _placing_vm(fleet, vm)
    return made


def _placing_vm(fleet: Fleet, vm: FleetVm) -> PlacingVm:
    name, timers = vm.state.life.name, vm.timers
    budgets = RetryBudgets(bounds=RetryBudgetBounds())
    peers = PeerExchange(
        bus=vm.bus,
        beliefs=vm.beliefs,
        learner=vm.learner,
        timers=timers,
        budgets=budgets,
        roles=vm.presence.roles,
        vm=name,
    )
    lost: list[str] = []
    peers.on_engine_lost(lost.append)
    placer = Placer(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=timers,
        budgets=budgets,
        roles=vm.presence.roles,
        vm=name,
        locator=CacheLocator(),
    )
    desk = PlacementDesk(bus=vm.bus, beliefs=vm.beliefs, timers=timers, placer=placer)
    spread = HubSpread(bus=vm.bus, beliefs=vm.beliefs, roles=vm.presence.roles, own=name)
    brittle = BrittleWatch(bus=vm.bus, beliefs=vm.beliefs, timers=timers, spread=spread)
    room_desk = RoomDesk(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=timers,
        placer=placer,
        tally=Tally(),
        brittle=brittle,
    )
    asker = RoomAsker(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=timers,
        roles=vm.presence.roles,
        vm=name,
        leaving=lambda: vm.state.leaving,
        desk=room_desk,
        brittle=brittle,
    )
    for part in (peers.run, placer.run, desk.run, room_desk.run, asker.run):
        fleet.nursery.start_soon(vm.run, part)
    return PlacingVm(vm=vm, placer=placer, peers=peers, desk=room_desk, asker=asker, lost=lost)


def chosen_at_random(seed: int, names: list[str], count: int) -> list[str]:
    """Give some names, the same for each seed."""
    return random.Random(seed).sample(sorted(names), count)
