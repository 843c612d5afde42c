"""Wires the parts that serve generations: engines, their watch, routing, callers' requests."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import trio

from lagoonlever.config.options import option
from lagoonlever.decisions.admission.held_memory import MemoryAccount, usual_account
from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.routing.routing import POLICIES, Router, make_policy
from lagoonlever.decisions.streams.generation_messages import Dispatch, GenerationSpec
from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.decisions.targets.targets import Target, TargetView
from lagoonlever.entry.callers.callers import CallerDirectory
from lagoonlever.entry.callers.request_metrics import RequestMetrics, unscraped_metrics
from lagoonlever.entry.engines.crashes import EngineCrashes
from lagoonlever.entry.engines.engines import AdmissionControl, Engines, TargetGuard
from lagoonlever.entry.engines.watch import EngineWatch
from lagoonlever.entry.generations.generations import GenerationService, GenerationSettings, Peers
from lagoonlever.entry.generations.recovery import EngineRecovery
from lagoonlever.outcomes import Outcome
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

WATCH_PERIOD_S = 0.05
ORPHAN_PERIOD_S = 0.5
OWN_POLICY = "affinity"


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """The section ``routing`` of a VM's settings."""

    policy: str = option(
        default=OWN_POLICY,
        check=lambda name: None if name in POLICIES else f"give one of: {', '.join(POLICIES)}",
        doc="How an engine is chosen.",
    )


@attrs.define(kw_only=True, eq=False)
class GenerationServing:
    """The generation side of one VM; the daemon and the benchmarks both build it."""

    vm: str
    guard: TargetGuard
    admission: AdmissionControl
    callers: CallerDirectory
    timers: TimerService
    rng: random.Random
    background: trio.Nursery
    peers: Peers
    crashes: EngineCrashes
    members: Published[MemberView]
    generation: GenerationSettings
    detection: DetectionSettings
    routing: RoutingSettings
    subset_size: int
    refusal: Callable[[], Outcome | None]
    moved_to: Callable[[], tuple[str, ...] | None]
    memory: MemoryAccount = attrs.field(factory=usual_account)
    metrics: RequestMetrics = attrs.field(factory=unscraped_metrics)
    observe: Callable[[GenerationSpec, Dispatch, Target], None] = lambda *_: None
    router: Router = attrs.field(init=False)
    engines: Engines = attrs.field(init=False)
    service: GenerationService = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.router = Router(
            node=self.vm,
            policy=make_policy(self.routing.policy),
            rng=self.rng,
            subset_size=self.subset_size,
        )
        self.engines = Engines(
            guard=self.guard,
            router=self.router,
            admission=self.admission,
            timers=self.timers,
            watch=EngineWatch(settings=self.detection, now=lambda: self.timers.now),
            background=self.background,
            crashes=self.crashes,
            observe=self.observe,
        )
        self.service = GenerationService(
            settings=self.generation,
            callers=self.callers,
            engines=self.engines,
            rng=self.rng,
            background=self.background,
            resume_points=EngineRecovery(view=self.guard.view),
            peers=self.peers,
            refusal=self.refusal,
            moved_to=self.moved_to,
            metrics=self.metrics,
            pause_since_last_tick=self.timers.pause_since_last_tick,
            vm=self.vm,
            memory=self.memory,
        )
        self.crashes.on_ends(self.service.ends_known)

    async def run(self) -> None:
        """Watch the streams and the callers until cancelled."""
        with (
            self.timers.subscribed(self.engines.watch.on_tick, period_s=WATCH_PERIOD_S),
            self.timers.subscribed(self.service.on_tick, period_s=ORPHAN_PERIOD_S),
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow, self.guard.view)
                nursery.start_soon(self._follow, self.members)
                nursery.start_soon(self.crashes.run)
                nursery.start_soon(self.crashes.run_served)

    async def _follow(self, published: Published[TargetView] | Published[MemberView]) -> None:
        """Let routing choose this VM's subset anew whenever targets or members change."""
        while True:
            names = [member.name for member in self.members.value.reachable]
            self.router.targets_changed(self.guard.view.value, names)
            await published.wait_change()
