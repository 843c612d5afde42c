"""Builds the parts of one entry VM and wires them to each other."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from lagoonlever.config.vm import VmSettings
from lagoonlever.decisions.generation import Dispatch, GenerationSpec
from lagoonlever.decisions.membership import Member
from lagoonlever.decisions.planned_stop import Held
from lagoonlever.decisions.targets import Target
from lagoonlever.entry.addresses import EntryAddressesPart
from lagoonlever.entry.admission import AdmissionPart
from lagoonlever.entry.cache_events import CacheEventSink
from lagoonlever.entry.callers import CallerDirectory
from lagoonlever.entry.membership import MembershipPart
from lagoonlever.entry.orphans import OrphanPart
from lagoonlever.entry.peer_streams import PeerStreams
from lagoonlever.entry.published import Published
from lagoonlever.entry.reporting import Reporting
from lagoonlever.entry.request_metrics import RequestMetrics
from lagoonlever.entry.routes import Routes
from lagoonlever.entry.services import SERVICES_PATH, ServiceRouter
from lagoonlever.entry.serving import GenerationServing
from lagoonlever.entry.stopping import Stopping
from lagoonlever.entry.target_probes import TargetProber
from lagoonlever.entry.targets import TargetWatch
from lagoonlever.exceptions import RequestRefused
from lagoonlever.history.events_vms import AttemptDispatched, VmStopBegan, VmStopEnded
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.messages import Address, Request
from lagoonlever.http.server import ServerLimits, ServerState
from lagoonlever.instruments import Metrics
from lagoonlever.outcomes import NotRun, Outcome, Reason
from lagoonlever.peers.bus import PeerBus
from lagoonlever.platform.port import Platform
from lagoonlever.platform.registry import open_platform
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.report.status import VmStatus
from lagoonlever.timers import TimerService
from lagoonlever.tree.nodes import TreeView, default_tree

HTTP_LIMITS = ServerLimits()
STARTING_RETRY_S = 1.0

Run = Callable[[], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class Parts:
    """The parts of one VM, wired; ``runnable`` gives what is to be started."""

    settings: VmSettings
    own: Member
    bus: PeerBus
    timers: TimerService
    metrics: Metrics
    http: ServerState
    recorder: Recorder | None
    platform: Platform
    tree: Published[TreeView]
    membership: MembershipPart
    targets: TargetWatch
    prober: TargetProber
    admission: AdmissionPart
    generations: GenerationServing
    peer_streams: PeerStreams
    orphans: OrphanPart
    services: ServiceRouter
    addresses: EntryAddressesPart
    stopping: Stopping
    reporting: Reporting
    routes: Routes
    started_at: float

    def runnable(self) -> tuple[Run, ...]:
        """Give what runs as long as the VM does."""
        return (
            self.timers.run,
            self.bus.run,
            self.membership.run,
            self.targets.run,
            self.prober.run,
            self.admission.run,
            self.generations.run,
            self._hear_taken_over,
            self.orphans.run,
            self.services.run,
            self.reporting.run,
        )

    def serves(self, *, members: int, targets: int) -> bool:
        """Tell whether so many members and live targets are known, engines with their models."""
        view = self.targets.view.value
        ready = [t for t in view.targets if t.takes_work and not self.targets.needs_models(t)]
        return len(self.membership.members.value.alive) >= members and len(ready) >= targets

    def record_stop_ended(self, vm: str) -> None:
        """Record the end of a planned stop in the history."""
        if self.recorder is not None:
            self.recorder.record(
                VmStopEnded(
                    at=self.recorder.now,
                    process=self.recorder.process,
                    vm=vm,
                    open_requests=self.generations.service.running + self.services.open_keys,
                )
            )

    async def _hear_taken_over(self) -> None:
        await self.peer_streams.run(self.generations.service)


@attrs.define(kw_only=True, eq=False)
class _Builder:
    """What several parts need; each method builds one part."""

    settings: VmSettings
    own: Member
    bus: PeerBus
    rng: random.Random
    timers: TimerService
    metrics: Metrics
    http: ServerState
    nursery: trio.Nursery

    def recorder(self) -> Recorder | None:
        """Give the recorder of the history, if the settings want one."""
        file = self.settings.history_file
        return Recorder(process=self.settings.name, path=Path(file)) if file else None

    def platform(self) -> Platform:
        """Open the platform's port."""
        options = self.settings.platform
        return open_platform(
            options.adapter,
            addresses=[Address.parse(text) for text in options.addresses],
            metrics=self.metrics,
        )

    def membership(self, platform: Platform, load: Callable[[], float]) -> MembershipPart:
        """Build the membership part."""
        return MembershipPart(
            own=self.own,
            bus=self.bus,
            platform=platform,
            timers=self.timers,
            random=self.rng,
            settings=self.settings.membership,
            seeds=tuple(Address.parse(seed) for seed in self.settings.seeds),
            load=load,
        )

    def targets(self, membership: MembershipPart) -> TargetWatch:
        """Build the targets' watch."""
        return TargetWatch(
            readings=membership.target_list,
            members=membership.members,
            bus=self.bus,
            timers=self.timers,
            random=self.rng,
            settings=self.settings.targets,
        )

    def admission(
        self, tree: Published[TreeView], targets: TargetWatch, membership: MembershipPart
    ) -> AdmissionPart:
        """Build the admission part."""
        return AdmissionPart(
            tree=tree,
            targets=targets.view,
            members=membership.members,
            bus=self.bus,
            timers=self.timers,
            metrics=self.metrics,
            random=self.rng,
        )


def build_parts(
    *,
    settings: VmSettings,
    own: Member,
    bus: PeerBus,
    rng: random.Random,
    timers: TimerService,
    metrics: Metrics,
    http: ServerState,
    nursery: trio.Nursery,
) -> Parts:
    """Build and wire every part of one VM."""
    builder = _Builder(
        settings=settings,
        own=own,
        bus=bus,
        rng=rng,
        timers=timers,
        metrics=metrics,
        http=http,
        nursery=nursery,
    )
    recorder = builder.recorder()
    objectives = ObjectiveRecorder(metrics=metrics, settings=settings.objectives, recorder=recorder)
    request_metrics = RequestMetrics(
        metrics=metrics, objectives=objectives, clock=lambda: timers.now
    )
    platform = builder.platform()
    tree = Published(default_tree())
    callers = CallerDirectory(tree=tree)
    membership = builder.membership(platform, lambda: _load_of(http))
    targets = builder.targets(membership)
    admission = builder.admission(tree, targets, membership)
    peer_streams = PeerStreams(bus=bus, members=membership.members)

    def refusal() -> Outcome | None:
        return _refusal(membership, targets)

    def moved_to() -> tuple[str, ...] | None:
        return addresses.others() if stopping.leaving else None

    generations = GenerationServing(
        vm=settings.name,
        guard=targets,
        admission=admission,
        callers=callers,
        timers=timers,
        rng=rng,
        background=nursery,
        peers=peer_streams,
        generation=settings.generation,
        detection=settings.detection,
        routing=settings.routing,
        subset_size=settings.targets.subset_size,
        refusal=refusal,
        moved_to=moved_to,
        metrics=request_metrics,
        observe=_dispatch_recorder(recorder),
    )
    services = ServiceRouter(
        own=own.incarnation,
        guard=targets,
        members=membership.members,
        platform=platform,
        timers=timers,
        settings=settings.services,
        rng=rng,
        organisation_of=lambda request: _organisation_of(callers, request),
        recorder=recorder,
        metrics=request_metrics,
    )
    addresses = EntryAddressesPart(
        members=membership.members,
        settings=settings.addresses,
        random=rng,
        key_home=lambda: services.key_home,
    )

    def held() -> Held:
        return Held(
            generations=generations.service.running,
            keyed_requests=services.open_keys,
            exchanges=http.open_exchanges,
            connections=http.open_connections,
        )

    def on_leaving() -> None:
        http.closing = True
        membership.leave()
        generations.service.wake_callers()
        if recorder is not None:
            recorder.record(
                VmStopBegan(at=recorder.now, process=recorder.process, vm=settings.name)
            )

    stopping = Stopping(
        timers=timers,
        address_lifetime_s=settings.addresses.lifetime_s,
        held=held,
        on_leaving=on_leaving,
    )
    started_at = timers.now

    def vm_status() -> VmStatus:
        return VmStatus(
            name=settings.name,
            incarnation=str(own.incarnation),
            data_center=settings.data_center,
            address=str(own.http),
            phase="leaving" if stopping.leaving else "serving" if not refusal() else "starting",
            uptime_s=timers.now - started_at,
            settings_version=tree.value.version,
            platform_reachable=membership.list_readable,
            open_streams=generations.service.running,
            open_connections=http.open_connections,
        )

    reporting = Reporting(
        vm=vm_status,
        members=membership.members,
        targets=targets.view,
        tree=tree,
        admission=admission.state,
        traffic=bus.traffic,
        open_streams=lambda: (
            task.spec.organisation for task in generations.service.tasks if task.finished is None
        ),
        timers=timers,
        metrics=metrics,
        objectives=objectives,
    )
    prober = TargetProber(
        watch=targets,
        subset_of=generations.router.subset_of,
        cache_sink=CacheEventSink(router=generations.router).take,
        timers=timers,
        random=rng,
        settings=settings.targets,
    )
    orphans = OrphanPart(
        engines=generations.engines,
        members=membership.members,
        bus=bus,
        timers=timers,
        background=nursery,
    )
    routes = Routes()
    routes.add("POST", "/v1/completions", generations.service.handle)
    routes.add("GET", "/v1/entry", addresses.handle)
    routes.add("GET", "/v1/models", generations.service.handle_models)
    routes.add("*", SERVICES_PATH, services.handle, prefix=True)
    routes.add("GET", "/admin/status", reporting.handle_status)
    routes.add("GET", "/metrics", reporting.handle_metrics)
    return Parts(
        settings=settings,
        own=own,
        bus=bus,
        timers=timers,
        metrics=metrics,
        http=http,
        recorder=recorder,
        platform=platform,
        tree=tree,
        membership=membership,
        targets=targets,
        prober=prober,
        admission=admission,
        generations=generations,
        peer_streams=peer_streams,
        orphans=orphans,
        services=services,
        addresses=addresses,
        stopping=stopping,
        reporting=reporting,
        routes=routes,
        started_at=started_at,
    )


def _load_of(http: ServerState) -> float:
    """Give the share of this VM's capacity in use, by its open connections."""
    return min(1.0, http.open_connections / HTTP_LIMITS.connections)


def _refusal(membership: MembershipPart, targets: TargetWatch) -> Outcome | None:
    if membership.members.value.superseded:
        return NotRun(
            reason=Reason.SUPERSEDED,
            message="a newer life of this VM serves; use another address",
            retry_after_s=STARTING_RETRY_S,
        )
    if not targets.belief.allows_work:
        return NotRun(
            reason=Reason.ISOLATED,
            message="this VM cannot tell which targets may be given work; use another",
            retry_after_s=STARTING_RETRY_S,
        )
    return None


def _organisation_of(callers: CallerDirectory, request: Request) -> str | None:
    try:
        return callers.organisation_of(request.headers)
    except RequestRefused:
        return None


def _dispatch_recorder(
    recorder: Recorder | None,
) -> Callable[[GenerationSpec, Dispatch, Target], None]:
    """Give what records each dispatch right before it is written."""
    if recorder is None:
        return lambda *_: None

    def record(spec: GenerationSpec, dispatch: Dispatch, target: Target) -> None:
        recorder.record(
            AttemptDispatched(
                at=recorder.now,
                process=recorder.process,
                request=spec.request_id,
                generation=dispatch.generation,
                attempt=dispatch.attempt,
                target=target.name,
                seed=dispatch.seed,
                model_version=dispatch.model_version,
                prefix_tokens=len(dispatch.prefix),
                hedge=dispatch.hedge,
            )
        )

    return record
