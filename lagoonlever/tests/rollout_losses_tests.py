"""What becomes of a roll-out whose VMs are lost beside a return of the store, in simulated time."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import FleetVm
from lagoonlever.decisions.rollouts import plan as rollout_plan
from lagoonlever.decisions.rollouts.plan import ExposureBounds, OtherVersions, Plan
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState
from lagoonlever.fakes.metadata_store import OutsideChange, StoreCopy, StoreFault
from lagoonlever.gateway import rollout_lead
from lagoonlever.gateway.rollout_lead import RolloutLead
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.platform.documents import order_document
from lagoonlever.platform.rollouts import ORDERS_PREFIX, read_status, status_key
from lagoonlever.platform.store import MetadataStore
from lagoonlever.tests.restored_fleet_tests import AWAY_S, World, run_world

VMS = 4
ORDER = RolloutOrder(service="apps", version="v2", duration_s=5.0)
OLD, NEW = ("t-0", "t-1", "t-2", "t-3"), ("t-8", "t-9")
WRITTEN_AGAIN_S = 0.5
"""From a return of the store until operators and targets that live have written again."""
LAPSE_S = 3.0
"""From a return of the store until the entries of targets that are gone have lapsed."""
SERVED_AGAIN_S = 1.0
"""From the lapse until each VM gives work to what is left."""
DECIDED_S = 15.0
"""From the loss of all VMs until what is left of the order is decided everywhere."""


@attrs.frozen(kw_only=True)
class Loss:
    """What is lost, and what is left."""

    state: RolloutState
    """Of the order as the VMs are lost."""
    old: str
    """The targets of the old version: ``alive``, ``dead``, or ``listed``, dead but in the copy."""
    status_kept: bool
    order_kept: bool
    survivor: int | None
    """The number of the VM that is left: the first leads, the last does not."""

    def __str__(self) -> str:
        kept = [name for name in ("status", "order") if getattr(self, f"{name}_kept")]
        left = "none left" if self.survivor is None else f"vm-{self.survivor} left"
        return "-".join([self.state.value, self.old, "+".join(kept) or "nothing", left])

    @property
    def outcome(self) -> RolloutState:
        """The one right end: what callers can be served by, and no more of what isn't known."""
        if self.old != "alive":
            return RolloutState.COMPLETED
        is_known = self.survivor is not None or self.status_kept
        if self.state is RolloutState.COMPLETED and is_known:
            return RolloutState.COMPLETED
        return RolloutState.ROLLED_BACK


def losses() -> Iterable[Loss]:
    """Give every case; a copy that has the status has the order too."""
    for state, old, status_kept, order_kept, survivor in itertools.product(
        (RolloutState.COMPLETED, RolloutState.RUNNING),
        ("alive", "dead", "listed"),
        (True, False),
        (True, False),
        (None, 0, VMS - 1),
    ):
        if order_kept or not status_kept:
            yield Loss(
                state=state,
                old=old,
                status_kept=status_kept,
                order_kept=order_kept,
                survivor=survivor,
            )


@attrs.define(kw_only=True, eq=False)
class RolloutWorld(World):
    """A fleet that rolls out versions, with the targets of two."""

    rollouts: dict[str, Rollouts] = attrs.field(factory=dict)

    def _parts(
        self, vm: FleetVm, client: MetadataStore, rng: random.Random
    ) -> Iterable[Callable[[], Awaitable[None]]]:
        vm.beliefs.targets.rolls_out = True
        own = vm.state.life
        rollouts = self.rollouts[own.name] = Rollouts(
            bus=vm.bus,
            beliefs=vm.beliefs,
            knowledge=vm.knowledge,
            timers=vm.timers,
            rng=rng,
        )
        lead = RolloutLead(
            bus=vm.bus,
            beliefs=vm.beliefs,
            rollouts=rollouts,
            knowledge=vm.knowledge,
            store=client,
            timers=vm.timers,
            roles=vm.presence.roles,
            own=own,
            bounds=ExposureBounds(),
        )
        follower = self._follower(vm, client, rng, rollouts)
        return (follower.run, rollouts.run, lead.run)

    def status(self) -> RolloutState | None:
        """Give what stands in the store."""
        value = self.store.value(status_key(ORDER.service))
        return None if value is None else read_status("status", value).state

    def states(self) -> set[RolloutState | None]:
        """Give what each VM takes the order for."""
        found = ((r, r.find(ORDER.service)) for r in self.rollouts.values())
        return {None if known is None else r.state_of(known) for r, known in found}

    def served(self) -> set[frozenset[str]]:
        """Give which targets each VM gives work to."""
        return {
            frozenset(target.id for target in vm.beliefs.targets.serving(ORDER.service))
            for vm in self.fleet.vms.values()
        }


async def until(limit_s: float, holds: Callable[[], bool]) -> None:
    """Wait for something to hold."""
    with trio.fail_after(limit_s):
        while not holds():  # noqa: ASYNC110
            await trio.sleep(0.05)


async def play(world: RolloutWorld, loss: Loss, monkeypatch: pytest.MonkeyPatch) -> None:
    """Order a version, lose what the case loses, and hold the fleet to the one right end."""
    before_order = await order(world)
    await trio.sleep(1.0)
    before_end = world.store.copy()
    if loss.state is RolloutState.COMPLETED:
        await complete(world, monkeypatch)
    copy = before_end if loss.order_kept else before_order
    await lose(world, loss, world.store.copy() if loss.status_kept else copy)
    await trio.sleep(WRITTEN_AGAIN_S)
    lapsed_at = trio.current_time() + (LAPSE_S if loss.old == "listed" else 0.0)
    left = set(OLD) if loss.old == "alive" else set(NEW)
    until_at = trio.current_time() + DECIDED_S
    while trio.current_time() < until_at:
        await trio.sleep(0.1)
        if trio.current_time() > lapsed_at + SERVED_AGAIN_S:
            assert all(world.served()), f"no target may be used, {left} are there"
            assert loss.old == "alive" or world.served() == {frozenset(NEW)}
    assert world.states() == {loss.outcome} == {world.status()}
    serving = NEW if loss.outcome is RolloutState.COMPLETED else OLD
    assert world.served() == {frozenset(serving)}


async def order(world: RolloutWorld) -> StoreCopy:
    """Start targets of the next version, and have it ordered; gives the store of before."""
    for name in NEW:
        world.start_target(int(name.removeprefix("t-")), version="v2")
    await trio.sleep(0.3)
    before = world.store.copy()
    world.store.put(f"{ORDERS_PREFIX}apps", order_document(ORDER))
    await until(3.0, lambda: world.states() == {RolloutState.RUNNING} == {world.status()})
    return before


async def complete(world: RolloutWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the version judged sound."""
    sound = Plan(phase=RolloutPhase.HELD, state=RolloutState.COMPLETED)
    with monkeypatch.context() as patched:
        patched.setattr(rollout_lead, "plan_of", lambda *_: sound)
        await until(3.0, lambda: world.states() == {RolloutState.COMPLETED})


async def lose(world: RolloutWorld, loss: Loss, copy: StoreCopy) -> None:
    """End old targets, VMs and the store, which comes back from a copy."""
    if loss.old != "alive":
        for name in OLD:
            world.end(int(name.removeprefix("t-")))
    world.store.fault = StoreFault.REFUSING
    await trio.sleep(AWAY_S)
    lost = world.store.restore(copy)
    for number in range(VMS):
        if number != loss.survivor:
            world.kill_vm(number)
    world.store.fault = StoreFault.NONE
    world.nursery.start_soon(write_again, world, loss, lost)


async def write_again(world: World, loss: Loss, lost: tuple[OutsideChange, ...]) -> None:
    """Have entries of dead targets lapse, at once or late, and operators and targets write."""
    gone = [change for change in lost if change.value is None]
    if loss.old == "dead":
        world.store.write_again(gone)
    await trio.sleep(WRITTEN_AGAIN_S)
    world.store.write_again(change for change in lost if change.value is not None)
    await trio.sleep(LAPSE_S - WRITTEN_AGAIN_S)
    world.store.write_again(gone)


@pytest.mark.parametrize("loss", tuple(losses()), ids=str)
def test_what_is_left_of_an_order_is_decided_so_that_callers_are_served(
    loss: Loss, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a verdict on nothing that takes the only targets out which are left."""

    async def story(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        await play(world, loss, monkeypatch)

    run_world(story, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_verdict_whose_answer_was_lost_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a version that is rolled back once operators have seen it completed."""

    async def story(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        await order(world)
        copy = world.store.copy()
        world.store.fault = StoreFault.LOSING
        with monkeypatch.context() as patched:
            sound = Plan(phase=RolloutPhase.MOVING, state=RolloutState.COMPLETED)
            patched.setattr(rollout_lead, "plan_of", lambda *_: sound)
            await until(3.0, lambda: world.status() is RolloutState.COMPLETED)
        assert world.states() == {RolloutState.RUNNING}
        world.store.fault = StoreFault.REFUSING
        await trio.sleep(AWAY_S)
        world.store.restore(copy)
        world.store.fault = StoreFault.NONE
        await until(DECIDED_S, lambda: RolloutState.RUNNING not in world.states())
        assert world.states() == {RolloutState.COMPLETED} == {world.status()}

    run_world(story, monkeypatch, vms=VMS, world_type=RolloutWorld)


@pytest.mark.parametrize(
    ("others", "state"),
    [
        (OtherVersions(listed=True, is_settled=True), RolloutState.ROLLED_BACK),
        (OtherVersions(listed=True, answered=True, is_settled=False), RolloutState.ROLLED_BACK),
        (OtherVersions(listed=True, is_settled=False), RolloutState.RUNNING),
        (OtherVersions(listed=False, answered=True, is_settled=False), RolloutState.RUNNING),
        (OtherVersions(listed=False, is_settled=True), RolloutState.COMPLETED),
    ],
)
def test_without_a_witness_entries_count_once_they_have_settled_or_answered(
    others: OtherVersions, state: RolloutState
) -> None:
    plan = rollout_plan.plan_without_counts(others)
    assert (plan.state, plan.phase) == (state, RolloutPhase.HELD)
