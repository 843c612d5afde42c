"""A fleet whose store comes back from older copies, in simulated time, at any moment.

Followers, pushes and lists are the real ones, and so is the store's client; what is between
them is in memory.
"""

from __future__ import annotations

import itertools
import json
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator

import attrs
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.bench.local_fleet import Fleet, FleetVm
from lagoonlever.decisions.targets import registry as target_registry
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import ConnectionBroken, PeerTimeout
from lagoonlever.fakes.metadata_store import FakeMetadataStore, OutsideChange, StoreCopy, StoreFault
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.gateway.store_follower import StoreFollower
from lagoonlever.http.client import Response
from lagoonlever.http.exchange import CallerGone
from lagoonlever.http.messages import Address, Headers
from lagoonlever.identity import Incarnation
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.platform import store_calls
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.documents import target_entry
from lagoonlever.platform.store import MetadataStore
from lagoonlever.platform.store_wire import READ_RANGE
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.tests.gateway_site import configuration

VMS = 6
TARGETS = 4
STORE = Address(host="store", port=1)
AWAY_S = 0.2
LAPSE_S = 3.0
"""After a return, until the entry of a target that is gone has lapsed."""
SETTLE_S = 9.0
"""After the last trouble: a watch that hangs, a held removal, a lapse."""
POLL_S = 0.05


@attrs.frozen(kw_only=True)
class MemoryRequest:
    """A call of the store's client, as the stand-in reads it."""

    path: str
    query: dict[str, str]
    body: bytes


@attrs.define(kw_only=True)
class MemoryExchange:
    """A call and its answer, without a connection."""

    request: MemoryRequest
    answer: Response | None = None

    async def respond(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Take the answer."""
        self.answer = Response(status=status, headers=headers, body=body)


@attrs.define(kw_only=True)
class LateNetwork(LocalNetwork):
    """Holds messages back while told to, and delivers them later."""

    holds: bool = False
    held: list[tuple[LocalBus, Address, bytes, Incarnation | None]] = attrs.field(factory=list)

    def carry(
        self, *, sender: LocalBus, to: Address, data: bytes, expected: Incarnation | None
    ) -> None:
        """Deliver, or hold back."""
        if self.holds:
            self.held.append((sender, to, data, expected))
            return
        super().carry(sender=sender, to=to, data=data, expected=expected)

    def release(self) -> None:
        """Deliver what was held back."""
        self.holds = False
        held, self.held = self.held, []
        for sender, to, data, expected in held:
            self.carry(sender=sender, to=to, data=data, expected=expected)


@attrs.define(kw_only=True)
class Process:
    """One life of a target, as it is in truth."""

    listed: ListedTarget
    state: str = "ready"


@attrs.define(kw_only=True, eq=False)
class World:
    """The fleet, its store, and what is true of targets and configuration."""

    fleet: Fleet
    network: LateNetwork
    nursery: trio.Nursery
    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    processes: dict[str, Process] = attrs.field(factory=dict)
    version: int = 1
    copy: StoreCopy | None = None
    clients: dict[str, MetadataStore] = attrs.field(factory=dict)
    _starts: Iterator[int] = attrs.field(factory=lambda: itertools.count(1_000))
    _acknowledged: dict[tuple[str, int], set[int]] = attrs.field(factory=dict)
    """The processes that each life of a VM has known to leave, by their starts."""
    _versions: dict[tuple[str, int], int] = attrs.field(factory=dict)

    def start_vm(self, number: int) -> None:
        """Start a VM, or start it again."""
        name = f"vm-{number}"
        vm = self.fleet.start(name, wide=True)
        client = self.clients[name] = MetadataStore(address=STORE)
        for part in self._parts(vm, client, random.Random(number)):
            self.fleet.nursery.start_soon(vm.run, part)

    def _parts(
        self, vm: FleetVm, client: MetadataStore, rng: random.Random
    ) -> Iterable[Callable[[], Awaitable[None]]]:
        """Give what runs on a VM beside the fleet's own parts."""
        return (self._follower(vm, client, rng).run,)

    def _follower(
        self,
        vm: FleetVm,
        client: MetadataStore,
        rng: random.Random,
        rollouts: Rollouts | None = None,
    ) -> StoreFollower:
        return StoreFollower(
            store=client,
            beliefs=vm.beliefs,
            learner=vm.learner,
            knowledge=vm.knowledge,
            roles=vm.presence.roles,
            timers=vm.timers,
            rng=rng,
            rollouts=rollouts,
        )

    def kill_vm(self, number: int) -> None:
        """End a VM; it starts again at once."""
        self.fleet.kill(f"vm-{number}")
        self.start_vm(number)

    def start_target(self, number: int, *, version: str = "v1") -> None:
        """Start a process of a target, in place of one that has left; it registers."""
        name = f"t-{number}"
        former = self.processes.get(name)
        if former is not None and former.state != "gone":
            return
        listed = ListedTarget(
            id=name,
            service="apps",
            address=Address(host="10.9.0.1", port=number + 1),
            data_center="dc-0",
            version=version,
            started_ms=next(self._starts),
        )
        self.processes[name] = Process(listed=listed)
        self._write(listed)

    def drain(self, number: int) -> None:
        """Have a target say that it leaves."""
        process = self.processes.get(f"t-{number}")
        if process is not None and process.state == "ready":
            process.state = "draining"
            self._write(attrs.evolve(process.listed, draining=True))

    def end(self, number: int) -> None:
        """Have a target leave, with its entry."""
        process = self.processes.get(f"t-{number}")
        if process is not None and process.state != "gone":
            process.state = "gone"
            self.store.delete(f"{TARGETS_PREFIX}{process.listed.id}")

    def configure(self) -> None:
        """Have operators write the next version."""
        self.version += 1
        self.store.put(CONFIGURATION_KEY, json.dumps(configuration(self.version)).encode())

    async def restore(self, hang: bool, again_s: float) -> None:
        """Have the store come back from the last copy; what was lost is written again later."""
        if self.copy is None:
            return
        self.store.watches_hang = hang
        self.store.fault = StoreFault.REFUSING
        await trio.sleep(AWAY_S)
        lost = self.store.restore(self.copy)
        self.store.fault = StoreFault.NONE
        self.nursery.start_soon(self._write_again, lost, again_s)

    async def _write_again(self, lost: tuple[OutsideChange, ...], again_s: float) -> None:
        """Have those that live write soon, and entries of targets that are gone lapse later."""
        kept = tuple(change for change in lost if change.value is not None)
        await trio.sleep(again_s)
        self.store.write_again(kept)
        await trio.sleep(LAPSE_S - again_s)
        self.store.write_again(change for change in lost if change not in kept)

    async def watch_promises(self) -> None:
        """Fail once a VM goes back on a version, or on a target that it knew to leave."""
        while True:
            for vm in self.fleet.vms.values():
                self._check(vm)
            await trio.sleep(POLL_S)

    def _check(self, vm: FleetVm) -> None:
        life = (vm.state.life.name, vm.state.life.nonce)
        version = vm.beliefs.version
        assert version >= self._versions.get(life, 0), f"{life} went back to {version}"
        self._versions[life] = version
        left = self._acknowledged.setdefault(life, set())
        for name, process in self.processes.items():
            start = process.listed.started_ms
            assert start is not None
            known = vm.beliefs.targets.find(name)
            takes = vm.beliefs.targets.takes_work(name)
            is_same = known is not None and known.started_ms == start
            if takes:
                assert start not in left, f"{life} gives work to {name}, which it knew to leave"
            elif process.state != "ready" and is_same:
                left.add(start)

    def check_settled(self) -> None:
        """Fail unless every VM knows what is true now."""
        for name, vm in self.fleet.vms.items():
            assert vm.beliefs.version == self.version, f"{name}: {vm.beliefs.version}"
            for target, process in self.processes.items():
                takes = vm.beliefs.targets.takes_work(target)
                assert takes == (process.state == "ready"), f"{name}: {target} {process.state}"

    def _write(self, listed: ListedTarget) -> None:
        self.store.put(f"{TARGETS_PREFIX}{listed.id}", target_entry(listed))


async def answer(
    world: World, *, method: str, path: str, body: bytes, step: str, timeout_s: float
) -> Response:
    """Have the store answer a call of its client."""
    path, _, text = path.partition("?")
    query = dict(part.split("=", 1) for part in text.split("&")) if text else {}
    query = {name: value.replace("%2F", "/") for name, value in query.items()}
    exchange = MemoryExchange(request=MemoryRequest(path=path, query=query, body=body))
    try:
        with trio.fail_after(timeout_s):
            await world.store.handle(exchange)  # type: ignore[arg-type]
    except CallerGone:
        if exchange.answer is None:
            raise ConnectionBroken("closed", step=step, peer="store") from None
    except trio.TooSlowError:
        raise PeerTimeout("no answer", step=step, peer="store") from None
    assert exchange.answer is not None
    return exchange.answer


def run_world(
    story: Callable[[World], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
    *,
    vms: int = VMS,
    world_type: type[World] = World,
) -> None:
    """Run a story on a fleet that has started, in simulated time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            network = LateNetwork(random=random.Random(1))
            fleet = Fleet(nursery=nursery, network=network)
            world = world_type(fleet=fleet, network=network, nursery=nursery)

            async def fetch_in_memory(_: Address, **call: object) -> Response:
                wanted = ("method", "path", "body", "step", "timeout_s")
                return await answer(world, **{name: call[name] for name in wanted})  # type: ignore[arg-type]

            monkeypatch.setattr(store_calls, "fetch", fetch_in_memory)
            world.configure()
            for number in range(TARGETS):
                world.start_target(number)
            for number in range(vms):
                world.start_vm(number)
            await trio.sleep(3.0)
            nursery.start_soon(world.watch_promises)
            await story(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def play(world: World, steps: list[tuple[str, int, float]]) -> None:
    """Play steps, each followed by a pause, then calm, and look at what is known."""
    for step, number, pause_s in steps:
        if step == "target":
            world.start_target(number % TARGETS)
        elif step == "drain":
            world.drain(number % TARGETS)
        elif step == "end":
            world.end(number % TARGETS)
        elif step == "configure":
            world.configure()
        elif step == "copy":
            world.copy = world.store.copy()
        elif step == "restore":
            await world.restore(number % 2 == 0, 0.2 * number)
        elif step == "kill":
            world.kill_vm(number % VMS)
        elif step == "kill all":
            for vm in range(VMS):
                world.kill_vm(vm)
        elif step == "cut":
            world.fleet.cut(f"vm-{number % VMS}")
        elif step == "heal":
            world.network.heal()
        elif step == "hold":
            world.network.holds = True
        elif step == "release":
            world.network.release()
        elif step == "lose":
            world.network.loss = 0.1 * number
        await trio.sleep(pause_s)
    world.network.heal()
    world.network.loss = 0.0
    world.network.release()
    await trio.sleep(SETTLE_S)
    world.check_settled()


PAUSES = st.sampled_from([0.0, 0.05, 0.3, 1.0])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                *("target", "drain", "end", "configure", "copy", "copy", "restore", "restore"),
                *("kill", "kill all", "cut", "heal", "hold", "release", "lose"),
            ]
        ),
        st.integers(0, 7),
        PAUSES,
    ),
    max_size=25,
)


def test_nothing_goes_back_and_all_is_known_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    @given(steps=STEPS)
    def kept(steps: list[tuple[str, int, float]]) -> None:
        run_world(lambda world: play(world, steps), monkeypatch)

    kept()


RETURNED = [
    ("copy", 0, 0.3),
    ("end", 0, 0.3),
    ("target", 0, 0.3),
    ("drain", 0, 1.0),
    ("restore", 7, 1.0),
]


def test_a_copy_that_lists_a_former_process_gives_no_work_to_the_one_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry of the past that is taken for a new start under the same id."""
    run_world(lambda world: play(world, RETURNED), monkeypatch)


def test_a_target_that_is_back_beside_other_news_is_back_at_every_vm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that drops a living target, as its entry's return was no news to tell."""
    steps = [("end", 0, 1.0), ("copy", 0, 0.3), ("target", 0, 1.0), ("restore", 3, 0.6)]
    run_world(lambda world: play(world, [*steps, ("drain", 1, 0.0)]), monkeypatch)


LEAVING = [("copy", 0, 0.3), ("drain", 0, 0.3), ("end", 1, 1.0), ("restore", 7, 1.0)]


def test_without_the_doubt_of_older_entries_a_target_that_left_gets_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run_world(lambda world: play(world, LEAVING), monkeypatch)
    monkeypatch.setattr(target_registry, "may_be_restored", lambda *_, **__: False)
    with pytest.raises(ExceptionGroup) as caught:
        run_world(lambda world: play(world, LEAVING), monkeypatch)
    assert caught.group_contains(AssertionError, match="knew to leave")


def test_without_eras_what_follows_a_return_is_not_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """Numbers are given out again, and a drain seems to be old news."""
    steps = [("copy", 0, 0.1)]
    steps += [(step, 2, 0.1) for step in ("drain", "end", "target", "drain", "end", "target") * 4]
    steps += [("restore", 1, 0.3), ("drain", 3, 0.0)]
    run_world(lambda world: play(world, steps), monkeypatch)
    monkeypatch.setattr(store_calls.StoreEras, "read", lambda *_: 0)
    with pytest.raises(ExceptionGroup) as caught:
        run_world(lambda world: play(world, steps), monkeypatch)
    assert caught.group_contains(AssertionError, match="t-[23] ")


@pytest.mark.parametrize("vms", [9, 75])
def test_a_return_is_one_whole_read_a_reader_and_known_everywhere_within_two_seconds(
    vms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(world: World) -> None:
        world.copy = world.store.copy()
        for _ in range(5):
            world.configure()
        world.drain(0)
        await trio.sleep(1.0)
        before = world.store.calls[READ_RANGE]
        await world.restore(False, 0.3)
        await trio.sleep(2.0)
        eras = {vm.beliefs.targets.as_of.era for vm in world.fleet.vms.values()}
        assert eras == {2}
        assert world.store.calls[READ_RANGE] - before <= len(world.fleet.readers())

    run_world(story, monkeypatch, vms=vms)
