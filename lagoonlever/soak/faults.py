"""Carries out the faults of a plan, from outside of the processes."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import attrs
import trio

from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_runner import Conduct, FakeRunner
from lagoonlever.fakes.target_room import PLENTY
from lagoonlever.platform.headers import LEAVES
from lagoonlever.soak.needs import BRITTLE_KNOWN_S
from lagoonlever.soak.plan import Fault, FaultKind
from lagoonlever.soak.proxy import Link
from lagoonlever.soak.rollouts import SoakRollout
from lagoonlever.soak.signals import heeds
from lagoonlever.soak.site import GRACE_S, SoakSite, SoakTarget, SoakVm

SLOW_STORE_S = 0.25
AWAY_S = 0.2
"""For how long a store that comes back from an older copy is away."""
WRITTEN_AGAIN_S = 1.5
"""At most, until operators and targets have written again what it lost."""
_STORE = "store"
_ROLLOUT = "roll-out"
LEAST_LIMIT_PER_S = 1.5
LEAST_BORNE = 2
"""Refusals a second."""
BRITTLE_SLOTS = 4
LIMITS = 6
"""That are drawn, each one request a second more."""
MOST_REFUSED = 50
"""Calls that a runner in need turns away at most."""
STOP_MARGIN_S = 3.0
"""Beyond the time that a planned stop may take, before it counts as hanging."""
ENGINE_VERSIONS = ("v1", "v2", "v 3")
BAD_ANSWERS = (
    Conduct.FAIL,
    Conduct.LOSE_ANSWER,
    Conduct.CUT_ANSWER,
    Conduct.FOREIGN_ANSWER,
    Conduct.GARBAGE,
    Conduct.STAY_SILENT,
    Conduct.REFUSE,
)

SHED_ANSWERS = (
    Conduct.REFUSE,
    Conduct.REFUSE_TWICE,
    Conduct.REFUSE_TWICE,
    Conduct.ANSWER_TWICE,
    Conduct.FAIL_BUSY,
    Conduct.SERVE,
)
"""Of a runner that has no room; bids that it runs stand between its refusals."""
MOST_SHED = 400
"""Calls that are answered so at most, by each runner."""

Action = Callable[["FaultActions", Fault], Awaitable[None]]
_ACTIONS: dict[FaultKind, Action] = {}


def _action(*kinds: FaultKind) -> Callable[[Action], Action]:
    """Register what the decorated method does as the action of some kinds."""

    def register(action: Action) -> Action:
        for kind in kinds:
            _ACTIONS[kind] = action
        return action

    return register


@attrs.define(kw_only=True, eq=False)
class FaultActions:
    """Does to the site what a fault says, and undoes it when its time is over."""

    site: SoakSite
    _busy: set[str] = attrs.field(factory=set)
    """Parts that a fault holds; another fault of the same part is passed over."""

    async def carry_out(self, fault: Fault) -> None:
        """Do a fault; returns once it is over."""
        await _ACTIONS[fault.kind](self, fault)

    def _vm(self, fault: Fault) -> SoakVm:
        return self.site.vms[fault.number % len(self.site.vms)]

    @_action(FaultKind.VM_KILL)
    async def _kill(self, fault: Fault) -> None:
        await self._end_and_start([self._vm(fault)], signal.SIGKILL, fault.for_s)

    @_action(FaultKind.ALL_KILL)
    async def _kill_all(self, fault: Fault) -> None:
        await self._end_and_start(self.site.vms, signal.SIGKILL, fault.for_s)

    @_action(FaultKind.VM_STOP)
    async def _stop(self, fault: Fault) -> None:
        await self._end_and_start([self._vm(fault)], signal.SIGTERM, 0.1)

    async def _end_and_start(self, vms: list[SoakVm], number: signal.Signals, for_s: float) -> None:
        """Signal VMs that no other fault holds, wait for their ends, and start them again."""
        free = [vm for vm in vms if vm.name not in self._busy]
        self._busy |= {vm.name for vm in free}
        for vm in free:
            self.site.signal(vm, number, ends=True)
        for vm in free:
            with trio.move_on_after(GRACE_S + STOP_MARGIN_S) as limit:
                await self.site.wait_end(vm)
            if limit.cancelled_caught:
                self.site.judge.break_promise("planned stop", f"{vm.name} did not end")
                self.site.signal(vm, signal.SIGKILL, ends=True)
                await self.site.wait_end(vm)
        await trio.sleep(for_s)
        for vm in free:
            self.site.start_vm(vm)
        self._busy -= {vm.name for vm in free}

    @_action(FaultKind.VM_PAUSE)
    async def _pause(self, fault: Fault) -> None:
        vm = self._vm(fault)
        if vm.name in self._busy:
            return
        self._busy.add(vm.name)
        self.site.signal(vm, signal.SIGSTOP)
        await trio.sleep(fault.for_s)
        self.site.signal(vm, signal.SIGCONT)
        self._busy.discard(vm.name)

    @_action(FaultKind.VM_RELOAD)
    async def _reload(self, fault: Fault) -> None:
        vm = self._vm(fault)
        # Until the interpreter runs the program, a SIGHUP ends any process.
        if vm.process is not None and heeds(vm.process.pid, signal.SIGHUP):
            self.site.signal(vm, signal.SIGHUP)

    @_action(FaultKind.STORE_SILENT, FaultKind.STORE_REFUSES, FaultKind.STORE_LOSES)
    async def _harm_store(self, fault: Fault) -> None:
        conduct = {
            FaultKind.STORE_SILENT: StoreFault.SILENT,
            FaultKind.STORE_REFUSES: StoreFault.REFUSING,
            FaultKind.STORE_LOSES: StoreFault.LOSING,
        }[fault.kind]
        self.site.store.fault = conduct
        await trio.sleep(fault.for_s)
        self.site.store.fault = StoreFault.NONE
        self.site.store_disturbed_at = trio.current_time()

    @_action(FaultKind.STORE_RESTORED)
    async def _restore_store(self, fault: Fault) -> None:
        """Lose what the store takes meanwhile; operators and targets write it again later."""
        site, store = self.site, self.site.store
        if _STORE in self._busy:
            return
        self._busy.add(_STORE)
        copy = store.copy()
        await trio.sleep(fault.for_s)
        store.fault, store.watches_hang = StoreFault.REFUSING, fault.number % 2 == 0
        await trio.sleep(AWAY_S)
        lost = store.restore(copy)
        store.fault = StoreFault.NONE
        site.store_disturbed_at = trio.current_time()
        await trio.sleep(WRITTEN_AGAIN_S * (fault.number % 10) / 10)
        store.write_again(lost)
        site.store_disturbed_at = trio.current_time()
        self._busy.discard(_STORE)

    @_action(FaultKind.STORE_SLOW)
    async def _slow_store(self, fault: Fault) -> None:
        self.site.store.slow_s = SLOW_STORE_S
        await trio.sleep(fault.for_s)
        self.site.store.slow_s = 0.0
        self.site.store_disturbed_at = trio.current_time()

    @_action(FaultKind.STORE_FORGETS)
    async def _forget(self, fault: Fault) -> None:
        self.site.store.forget_history()
        self.site.store_disturbed_at = trio.current_time()

    @_action(FaultKind.STORE_CUT)
    async def _cut_store(self, fault: Fault) -> None:
        vm = self._vm(fault)
        vm.store_link.link = Link.HELD
        await trio.sleep(fault.for_s)
        vm.store_link.link = Link.WELL
        vm.disturbed_at = trio.current_time()

    @_action(FaultKind.ENGINE_CRASH)
    async def _crash(self, fault: Fault) -> None:
        place = fault.number % len(self.site.engines)
        await self._alone(f"engine {place}", self.site.engines, place, self.site.restart_target)

    @_action(FaultKind.ENGINE_RETURNS, FaultKind.RUNNER_RETURNS)
    async def _return(self, fault: Fault) -> None:
        is_engine = fault.kind is FaultKind.ENGINE_RETURNS
        kept = self.site.engines if is_engine else self.site.runners
        place = fault.number % len(kept)

        async def start_again(targets: list[SoakTarget], number: int) -> None:
            await self.site.start_target_again(targets, number, after_s=fault.for_s)

        await self._alone(
            f"{'engine' if is_engine else 'runner'} {place}", kept, place, start_again
        )

    @_action(FaultKind.ENGINE_OTHER_VERSION, FaultKind.ENGINE_RETURNS_OTHER)
    async def _change_version(self, fault: Fault) -> None:
        place = fault.number % len(self.site.engines)
        version = ENGINE_VERSIONS[fault.number // 10 % len(ENGINE_VERSIONS)]

        async def change(targets: list[SoakTarget], number: int) -> None:
            if fault.kind is FaultKind.ENGINE_OTHER_VERSION:
                await self.site.restart_target(targets, number, version=version)
                return
            await self.site.start_target_again(
                targets, number, after_s=fault.for_s, version=version
            )

        await self._alone(f"engine {place}", self.site.engines, place, change)

    @_action(FaultKind.RUNNER_LEAVES)
    async def _leave(self, fault: Fault) -> None:
        place = fault.number % len(self.site.runners)

        async def replace(_: list[SoakTarget], number: int) -> None:
            await self.site.replace_runner(number)

        await self._alone(f"runner {place}", self.site.runners, place, replace)

    @_action(FaultKind.RUNNERS_LIMITED)
    async def _limit(self, fault: Fault) -> None:
        runners = [runner.server for runner in self.site.runners]
        limit = f"{LEAST_LIMIT_PER_S + fault.number % LIMITS:g}"
        for runner in runners:
            runner.says.limit = limit
        await trio.sleep(fault.for_s)
        for runner in runners:
            runner.says.limit = None

    @_action(FaultKind.RUNNERS_BRITTLE)
    async def _make_brittle(self, fault: Fault) -> None:
        """Have runners say that they bear few refusals, and let few wait once all VMs know."""
        runners = [runner.server for runner in self.site.runners]
        for runner in runners:
            runner.says.tells_load = True
            runner.says.brittle = str(LEAST_BORNE + fault.number % LIMITS)
            runner.room.slots = BRITTLE_SLOTS
        await trio.sleep(BRITTLE_KNOWN_S)
        for runner in runners:
            runner.room.most_waiting = 0
        await trio.sleep(fault.for_s - BRITTLE_KNOWN_S)
        for runner in runners:
            runner.says.brittle = None
            runner.room.slots = runner.room.most_waiting = PLENTY

    @_action(
        FaultKind.PATHS_SILENT,
        FaultKind.PATHS_ONE_WAY,
        FaultKind.PATHS_RESET,
        FaultKind.PATHS_REFUSED,
    )
    async def _lose_paths(self, fault: Fault) -> None:
        state = {
            FaultKind.PATHS_SILENT: PathState.SILENT,
            FaultKind.PATHS_ONE_WAY: PathState.ONE_WAY,
            FaultKind.PATHS_RESET: PathState.RESET,
            FaultKind.PATHS_REFUSED: PathState.REFUSED,
        }[fault.kind]
        cut = [vm for vm in self._vms_of_cut(fault) if vm.paths_lost_at is None]
        for vm in cut:
            self.site.set_paths(vm, state)
        await trio.sleep(fault.for_s)
        for vm in cut:
            self.site.set_paths(vm, PathState.OPEN)

    def _vms_of_cut(self, fault: Fault) -> list[SoakVm]:
        """Return one VM, those of a data centre, or all but one."""
        one, vms = self._vm(fault), self.site.vms
        near = [vm for vm in vms if vm.settings.data_center == one.settings.data_center]
        return ([one], near, [vm for vm in vms if vm is not one])[fault.number // len(vms) % 3]

    @_action(FaultKind.RUNNER_RESTS)
    async def _rest(self, fault: Fault) -> None:
        runner = self.site.runners[fault.number % len(self.site.runners)].server
        assert isinstance(runner, FakeRunner)
        runner.says.rest = f"{fault.for_s:.1f}"
        runner.conducts.extend([Conduct.REFUSE, Conduct.SERVE] * MOST_REFUSED)
        await trio.sleep(fault.for_s)
        runner.says.rest = None
        runner.conducts.clear()

    @_action(FaultKind.RUNNER_SAYS_LEAVING)
    async def _say_leaving(self, fault: Fault) -> None:
        place = fault.number % len(self.site.runners)

        async def replace(kept: list[SoakTarget], number: int) -> None:
            kept[number].server.says.leaving = LEAVES
            await trio.sleep(fault.for_s)
            await self.site.replace_runner(number)

        await self._alone(f"runner {place}", self.site.runners, place, replace)

    @_action(FaultKind.NEW_VERSION)
    async def _roll_out(self, fault: Fault) -> None:
        """Order a version, if none is under way; runners are left alone by other faults then."""
        held = {_ROLLOUT, *(f"runner {place}" for place in range(len(self.site.runners)))}
        if held & self._busy:
            return
        self._busy |= held
        rollout = SoakRollout(site=self.site, duration_s=fault.for_s, is_bad=fault.number % 2 == 0)
        await rollout.run()
        self._busy -= held

    async def _alone(
        self,
        name: str,
        kept: list[SoakTarget],
        place: int,
        act: Callable[[list[SoakTarget], int], Awaitable[None]],
    ) -> None:
        if name in self._busy:
            return
        self._busy.add(name)
        await act(kept, place)
        self._busy.discard(name)
        self.site.targets_disturbed_at = trio.current_time()

    @_action(FaultKind.ENGINE_SILENT, FaultKind.ENGINE_ONE_WAY, FaultKind.ENGINE_SLOW_LINK)
    async def _harm_engine_link(self, fault: Fault) -> None:
        link = {
            FaultKind.ENGINE_SILENT: Link.HELD,
            FaultKind.ENGINE_ONE_WAY: Link.ONE_WAY,
            FaultKind.ENGINE_SLOW_LINK: Link.SLOW,
        }[fault.kind]
        await self._harm_link(self.site.engines, fault, link)

    @_action(FaultKind.RUNNER_SILENT)
    async def _harm_runner_link(self, fault: Fault) -> None:
        await self._harm_link(self.site.runners, fault, Link.HELD)

    async def _harm_link(self, kept: list[SoakTarget], fault: Fault, link: Link) -> None:
        proxy = kept[fault.number % len(kept)].proxy
        proxy.link = link
        await trio.sleep(fault.for_s)
        proxy.link = Link.WELL
        proxy.harmed_until = trio.current_time()
        self.site.targets_disturbed_at = trio.current_time()

    @_action(FaultKind.ENGINE_RESET, FaultKind.RUNNER_RESET)
    async def _reset(self, fault: Fault) -> None:
        kept = self.site.engines if fault.kind is FaultKind.ENGINE_RESET else self.site.runners
        kept[fault.number % len(kept)].proxy.reset_all()
        self.site.targets_disturbed_at = trio.current_time()

    @_action(FaultKind.RUNNER_BAD)
    async def _answer_badly(self, fault: Fault) -> None:
        server = self.site.runners[fault.number % len(self.site.runners)].server
        assert isinstance(server, FakeRunner)
        server.conducts.extend(self.site.rng.choices(BAD_ANSWERS, k=4))
        self.site.targets_disturbed_at = trio.current_time()

    @_action(FaultKind.RUNNERS_SHED)
    async def _shed(self, fault: Fault) -> None:
        """Have every runner, or all but one, turn calls away; no other fault ends it sooner."""
        spared = fault.number % (2 * len(self.site.runners))
        shedding = [r.server for n, r in enumerate(self.site.runners) if n != spared]
        for server in shedding:
            assert isinstance(server, FakeRunner)
            server.conducts.extend(self.site.rng.choices(SHED_ANSWERS, k=MOST_SHED))
        self.site.targets_disturbed_at = trio.current_time()
        await trio.sleep(fault.for_s)
        for server in shedding:
            assert isinstance(server, FakeRunner)
            server.conducts.clear()
        self.site.targets_disturbed_at = trio.current_time()

    @_action(FaultKind.NEW_CONFIGURATION)
    async def _configure(self, fault: Fault) -> None:
        self.site.configure()
