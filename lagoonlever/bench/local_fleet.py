"""A fleet of gateways' parts on a network in memory, in simulated time."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.fleet.peer_table import PeerState, PeerTable
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.daemon import LONGEST_WAIT_S
from lagoonlever.gateway.knowledge import KnowledgeExchange
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.presence import Presence
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.timers import TimerService

PLACES = ("dc-0", "dc-1", "dc-2")
WIDE_MBPS = 200.0
NARROW_MBPS = 10.0


@attrs.define(kw_only=True, eq=False)
class FleetVm:
    """One VM's presence and what it believes."""

    state: PeerState
    presence: Presence
    beliefs: Beliefs
    bus: LocalBus
    learner: Learner
    knowledge: KnowledgeExchange
    timers: TimerService
    scopes: list[trio.CancelScope] = attrs.field(factory=list)
    """Of all that runs on it, also what a test has added."""

    async def run(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run a part of it until it is killed."""
        scope = trio.CancelScope()
        self.scopes.append(scope)
        with scope:
            await part()

    def sees(self, now: float) -> set[str]:
        """Give the VMs that it would send callers to."""
        return {state.life.name for state in self.beliefs.fellows.accepting_callers(now)}

    @property
    def reads(self) -> bool:
        """Whether it reads the store for others in its own view."""
        roles = self.presence.roles.value
        return roles is not None and roles.reads_store


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """Starts VMs on a network in memory; time is simulated."""

    nursery: trio.Nursery
    network: LocalNetwork = attrs.field(factory=lambda: LocalNetwork(random=random.Random(1)))
    vms: dict[str, FleetVm] = attrs.field(factory=dict)
    started: int = 0

    @property
    def seeds(self) -> tuple[Address, ...]:
        """Where the first VMs listen, which others ask at their start."""
        return tuple(Address(host=f"10.0.0.{number}", port=1) for number in range(3))

    def start(self, name: str, *, wide: bool = False) -> FleetVm:
        """Start a VM, or a VM again at the address that it had."""
        number = int(name.removeprefix("vm-"))
        self.started += 1
        address = Address(host=f"10.0.0.{number}", port=1)
        life = Incarnation(name=name, started_ms=self.started, nonce=1000 + self.started)
        state = PeerState(
            life=life,
            data_center=PLACES[number % len(PLACES)],
            callers=address,
            bus=address,
            link_mbps=WIDE_MBPS if wide else NARROW_MBPS,
        )
        rng = random.Random(number)
        book = EngineScheduler(rng=rng, data_center=state.data_center)
        beliefs = Beliefs(fellows=PeerTable(own=life), book=book)
        bus = LocalBus(own=life, address=address, network=self.network)
        timers = TimerService(tick_s=LONGEST_WAIT_S)
        presence = Presence(
            bus=bus,
            beliefs=beliefs,
            timers=timers,
            own_state=lambda: attrs.evolve(
                state, configuration=beliefs.version, list_revision=beliefs.targets.as_of
            ),
            seeds=self.seeds,
        )
        learner = Learner(beliefs=beliefs, timers=timers)
        knowledge = KnowledgeExchange(
            bus=bus,
            beliefs=beliefs,
            learner=learner,
            timers=timers,
            roles=presence.roles,
            own_bus=address,
        )
        vm = FleetVm(
            state=state,
            presence=presence,
            beliefs=beliefs,
            bus=bus,
            learner=learner,
            knowledge=knowledge,
            timers=timers,
        )
        self.vms[name] = vm
        for part in (timers.run, presence.run, knowledge.run):
            self.nursery.start_soon(vm.run, part)
        return vm

    def kill(self, name: str) -> None:
        """End a VM; what is sent to it is lost."""
        vm = self.vms.pop(name)
        for scope in vm.scopes:
            scope.cancel()
        silent = Incarnation(name="nobody", started_ms=0, nonce=0)
        LocalBus(own=silent, address=vm.state.bus, network=self.network)

    def cut(self, name: str) -> None:
        """Cut a VM from all others."""
        for other in self.vms.values():
            if other.state.life.name != name:
                self.network.cut(self.vms[name].state.bus, other.state.bus)

    def all_see_all(self) -> bool:
        """Tell whether every VM sees every other."""
        now = trio.current_time()
        return all(vm.sees(now) == set(self.vms) - {name} for name, vm in self.vms.items())

    def unseen(self) -> dict[str, set[str]]:
        """Give whom each VM does not see, for those that miss somebody."""
        now = trio.current_time()
        return {
            name: missing
            for name, vm in self.vms.items()
            if (missing := set(self.vms) - {name} - vm.sees(now))
        }

    def readers(self) -> set[str]:
        """Give the VMs that read the store."""
        return {name for name, vm in self.vms.items() if vm.reads}


def run_fleet(story: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a story on a fleet in virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await story(Fleet(nursery=nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def start_many(fleet: Fleet, count: int, *, wide: int = 6) -> None:
    """Start so many VMs at once, the first ``wide`` of them on wide links."""
    for number in range(count):
        fleet.start(f"vm-{number}", wide=number < wide)
