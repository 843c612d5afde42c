"""Tests of a roll-out whose VMs are lost while the store is restored, in simulated time."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import FleetVm
from lagoonlever.decisions.rollouts import plan as rollout_plan
from lagoonlever.decisions.rollouts import totals as rollout_totals
from lagoonlever.decisions.rollouts.evidence import Judgement
from lagoonlever.decisions.rollouts.plan import ExposureBounds, OtherVersions, Plan
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState
from lagoonlever.fakes.metadata_store import OutsideChange, StoreCopy, StoreFault
from lagoonlever.gateway import rollout_lead
from lagoonlever.gateway.rollout_lead import RolloutLead
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.platform.documents import order_document
from lagoonlever.platform.rollouts import ORDERS_PREFIX, read_status, status_key
from lagoonlever.platform.store import MetadataStore
from lagoonlever.tests.restored_fleet_tests import AWAY_S, SETTLE_S, World, run_world

VMS = 4
ORDER_KEY = f"{ORDERS_PREFIX}apps"
ORDER = RolloutOrder(service="apps", version="v2", duration_s=5.0)
SOUND = Judgement(total_log_ratio=-9.0, worst_log_ratio=-3.0)
OLD, NEW = ("t-0", "t-1", "t-2", "t-3"), ("t-8", "t-9")
REWRITE_S = 0.5
"""Time from the restore of the store until operators and live targets have written again."""
WRITTEN_AGAIN_TURN = 10
EXPIRY_S = 3.0
"""Time from the restore of the store until the entries of dead targets have expired."""
SERVED_AGAIN_S = 1.0
"""Time from that expiry until each VM sends work to the remaining targets."""
DECIDED_S = 15.0
"""Time from the loss of the VMs until every VM knows the decision on the order."""


@attrs.frozen(kw_only=True)
class Loss:
    """Case of what is lost and what remains."""

    state: RolloutState
    """State of the order when the VMs are lost."""
    old: str
    """Targets of the old version: ``alive``, ``dead``, or ``listed``.

    ``listed`` targets are dead, but in the copy that the store is restored from.
    """
    status_kept: bool
    order_kept: bool
    survivor: int | None
    """Number of the remaining VM, if any: the first one leads, the last one does not."""

    def __str__(self) -> str:
        kept = [name for name in ("status", "order") if getattr(self, f"{name}_kept")]
        left = "none left" if self.survivor is None else f"vm-{self.survivor} left"
        return "-".join([self.state.value, self.old, "+".join(kept) or "nothing", left])

    @property
    def outcome(self) -> RolloutState:
        """The only right final state.

        Targets that exist serve callers, and nothing unknown is assumed.
        """
        if self.old != "alive":
            return RolloutState.COMPLETED
        is_known = self.survivor is not None or self.status_kept
        if self.state is RolloutState.COMPLETED and is_known:
            return RolloutState.COMPLETED
        return RolloutState.ROLLED_BACK


def losses() -> Iterable[Loss]:
    """Yield every case; a copy with the status also has the order."""
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
    """Simulated fleet with a roll-out and the targets of two versions."""

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
        """Return the state of the order in the store."""
        value = self.store.value(status_key(ORDER.service))
        return None if value is None else read_status("status", value).state

    def states(self) -> set[RolloutState | None]:
        """Return the states of the order on all VMs."""
        found = ((r, r.find(ORDER.service)) for r in self.rollouts.values())
        return {None if known is None else r.state_of(known) for r, known in found}

    def served(self) -> set[frozenset[str]]:
        """Return the sets of targets that the VMs send work to."""
        return {
            frozenset(target.id for target in vm.beliefs.targets.serving(ORDER.service))
            for vm in self.fleet.vms.values()
        }


async def until(limit_s: float, holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, for at most ``limit_s`` seconds."""
    with trio.fail_after(limit_s):
        while not holds():  # noqa: ASYNC110
            await trio.sleep(0.05)


async def run_case(world: RolloutWorld, loss: Loss, monkeypatch: pytest.MonkeyPatch) -> None:
    """Order a version, apply the losses of the case, and check the only right final state."""
    before_order = await order(world)
    await trio.sleep(1.0)
    before_end = world.store.copy()
    if loss.state is RolloutState.COMPLETED:
        await complete(world, monkeypatch)
    copy = before_end if loss.order_kept else before_order
    await lose(world, loss, world.store.copy() if loss.status_kept else copy)
    await trio.sleep(REWRITE_S)
    expired_at = trio.current_time() + (EXPIRY_S if loss.old == "listed" else 0.0)
    left = set(OLD) if loss.old == "alive" else set(NEW)
    deadline = trio.current_time() + DECIDED_S
    while trio.current_time() < deadline:
        await trio.sleep(0.1)
        if trio.current_time() > expired_at + SERVED_AGAIN_S:
            assert all(world.served()), f"no target may be used, {left} are there"
            assert loss.old == "alive" or world.served() == {frozenset(NEW)}
    assert world.states() == {loss.outcome} == {world.status()}
    serving = NEW if loss.outcome is RolloutState.COMPLETED else OLD
    assert world.served() == {frozenset(serving)}


async def order(world: RolloutWorld) -> StoreCopy:
    """Start targets of the new version and order it; return the store's copy from before."""
    for name in NEW:
        world.start_target(int(name.removeprefix("t-")), version="v2")
    await trio.sleep(0.3)
    before = world.store.copy()
    world.store.put(ORDER_KEY, order_document(ORDER))
    await until(3.0, lambda: world.states() == {RolloutState.RUNNING} == {world.status()})
    return before


async def complete(world: RolloutWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the leader judge the version sound, and wait until all VMs know."""
    await decide(world, RolloutState.COMPLETED, monkeypatch)


async def decide(world: RolloutWorld, state: RolloutState, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the leader decide so, and wait until all VMs know."""
    with monkeypatch.context() as patched:
        plan = Plan(phase=RolloutPhase.HELD, state=state)
        patched.setattr(rollout_lead, "plan_rollout", lambda *_: plan)
        await until(3.0, lambda: world.states() == {state} == {world.status()})


async def order_again(world: RolloutWorld, monkeypatch: pytest.MonkeyPatch) -> StoreCopy:
    """Roll the version back and order it again; return the copy from before the second order."""
    await order(world)
    await decide(world, RolloutState.ROLLED_BACK, monkeypatch)
    before = world.store.copy()
    again = attrs.evolve(ORDER, duration_s=2 * ORDER.duration_s)
    world.store.put(ORDER_KEY, order_document(again))
    return before


async def restore(world: RolloutWorld, copy: StoreCopy) -> tuple[OutsideChange, ...]:
    """Have the store come back from a copy; return what operators and targets write again."""
    world.store.fault = StoreFault.REFUSING
    await trio.sleep(AWAY_S)
    lost = world.store.restore(copy)
    world.store.fault = StoreFault.NONE
    return lost


def is_status_of_order(world: RolloutWorld) -> bool:
    """Check whether the status in the store is later than the order, as operators read it."""
    status = world.store.revision_of(status_key(ORDER.service))
    return status > world.store.revision_of(ORDER_KEY) > 0


async def lose(world: RolloutWorld, loss: Loss, copy: StoreCopy) -> None:
    """Crash old targets and VMs, and restore the store from a copy."""
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
    """Let entries of dead targets expire, early or late; let operators and targets write again."""
    gone = [change for change in lost if change.value is None]
    if loss.old == "dead":
        world.store.write_again(gone)
    await trio.sleep(REWRITE_S)
    world.store.write_again(change for change in lost if change.value is not None)
    await trio.sleep(EXPIRY_S - REWRITE_S)
    world.store.write_again(gone)


@pytest.mark.parametrize("loss", tuple(losses()), ids=str)
def test_after_losses_an_order_is_decided_so_that_callers_are_served(
    loss: Loss, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a decision without evidence that removes the only remaining targets.

    VMs and targets are lost while the store is restored from an older copy, which may lack the
    order or list dead targets.
    """

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        await run_case(world, loss, monkeypatch)

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_verdict_whose_answer_was_lost_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rolling back a version that operators have already seen as completed.

    The store writes the final state but its answer is lost, and it then returns an older copy.
    """

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        await order(world)
        copy = world.store.copy()
        world.store.fault = StoreFault.LOSING
        with monkeypatch.context() as patched:
            sound = Plan(phase=RolloutPhase.MOVING, state=RolloutState.COMPLETED)
            patched.setattr(rollout_lead, "plan_rollout", lambda *_: sound)
            await until(3.0, lambda: world.status() is RolloutState.COMPLETED)
        assert world.states() == {RolloutState.RUNNING}
        world.store.fault = StoreFault.REFUSING
        await trio.sleep(AWAY_S)
        world.store.restore(copy)
        world.store.fault = StoreFault.NONE
        await until(DECIDED_S, lambda: RolloutState.RUNNING not in world.states())
        assert world.states() == {RolloutState.COMPLETED} == {world.status()}

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_status_of_a_former_order_does_not_stand_after_a_return_of_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against new targets that are taken back by the end of an earlier order.

    The copy is of the moment between the second order and the first status of it.
    """

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        await order_again(world, monkeypatch)
        copy = world.store.copy()
        await until(3.0, lambda: world.states() == {RolloutState.RUNNING} == {world.status()})
        await restore(world, copy)
        assert world.status() is RolloutState.ROLLED_BACK
        await until(SETTLE_S, lambda: world.status() is RolloutState.RUNNING)
        assert is_status_of_order(world)
        assert world.states() == {RolloutState.RUNNING}

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_former_order_of_an_older_copy_shuts_no_targets_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a copy with a version that was rolled back, and completed at a later order."""

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        copy = await order_again(world, monkeypatch)
        await until(3.0, lambda: world.states() == {RolloutState.RUNNING} == {world.status()})
        await complete(world, monkeypatch)
        for name in OLD:
            world.end(int(name.removeprefix("t-")))
        await trio.sleep(1.0)
        lost = await restore(world, copy)
        targets = [vm.beliefs.targets for vm in world.fleet.vms.values()]
        await until(SETTLE_S, lambda: {each.as_of.era for each in targets} == {2})
        for turn in range(100):
            await trio.sleep(0.1)
            assert world.states() == {RolloutState.COMPLETED}, turn
            assert world.served() == {frozenset(NEW)}, turn
            if turn == WRITTEN_AGAIN_TURN:
                world.store.write_again(lost)
        assert world.status() is RolloutState.COMPLETED
        assert is_status_of_order(world)

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_final_status_follows_an_order_that_is_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against operators who wait for the end of an order that has ended.

    The status is written again at once as the store comes back, and the order some time later.
    """

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        copy = await order(world)
        await complete(world, monkeypatch)
        lost = await restore(world, copy)
        await until(3.0, lambda: world.status() is RolloutState.COMPLETED)
        world.store.write_again(lost)
        await until(3.0, lambda: is_status_of_order(world))
        assert world.states() == {RolloutState.COMPLETED} == {world.status()}

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


def test_a_version_whose_targets_drain_meanwhile_is_not_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a verdict by answers alone, after which no target is left."""

    async def scenario(world: World) -> None:
        assert isinstance(world, RolloutWorld)
        monkeypatch.setattr(rollout_totals, "judge", lambda _: SOUND)
        await order(world)
        await trio.sleep(1.0)
        for name in NEW:
            world.drain(int(name.removeprefix("t-")))
        await until(DECIDED_S, lambda: RolloutState.RUNNING not in world.states())
        assert world.states() == {RolloutState.ROLLED_BACK} == {world.status()}
        assert world.served() == {frozenset(OLD)}

    run_world(scenario, monkeypatch, vms=VMS, world_type=RolloutWorld)


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
def test_without_counts_listed_targets_matter_once_settled_or_answered(
    others: OtherVersions, state: RolloutState
) -> None:
    plan = rollout_plan.plan_without_counts(others)
    assert (plan.state, plan.phase) == (state, RolloutPhase.HELD)
