"""The parts of one entry VM, wired to each other; the daemon starts what ``runnable`` gives."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator

import attrs

from lagoonlever.decisions.admission.descriptor_shares import DescriptorShares
from lagoonlever.decisions.admission.held_memory import MemoryAccount
from lagoonlever.decisions.fleet.planned_stop import OpenWork
from lagoonlever.decisions.membership.membership import MemberState
from lagoonlever.entry.admin.admin import SettingsAdmin
from lagoonlever.entry.admin.messages import SETTINGS_PATH
from lagoonlever.entry.admin.operators import Operators
from lagoonlever.entry.admin.orders import OrdersAdmin
from lagoonlever.entry.admin.orders_messages import ORDERS_PATH
from lagoonlever.entry.admin.reporting import Reporting
from lagoonlever.entry.callers.callers import CallerDirectory
from lagoonlever.entry.callers.histories import (
    dispatch_recorder,
    record_stop_began,
    record_stop_ended,
)
from lagoonlever.entry.callers.routes import Routes
from lagoonlever.entry.callers.serving import GenerationServing
from lagoonlever.entry.engines.crashes import EngineCrashes
from lagoonlever.entry.fleet.addresses import EntryAddressesPart
from lagoonlever.entry.fleet.membership import MembershipPart
from lagoonlever.entry.foundation import Foundation
from lagoonlever.entry.generations.admission import AdmissionPart
from lagoonlever.entry.generations.cache_events import CacheEventSink
from lagoonlever.entry.generations.orphans import OrphanPart
from lagoonlever.entry.generations.peer_streams import PeerStreams
from lagoonlever.entry.orders.orders import OrdersPart
from lagoonlever.entry.services.services import SERVICES_PATH, ServiceRouter
from lagoonlever.entry.settings.settings import SettingsPart
from lagoonlever.entry.stopping import Stopping
from lagoonlever.entry.targets.probes import TargetProber
from lagoonlever.entry.targets.targets import TargetWatch
from lagoonlever.http.messages import Address, Request
from lagoonlever.http.server_limits import ServerGuard, ServerLimits
from lagoonlever.outcomes import NotRun, Outcome, Reason
from lagoonlever.published import Published
from lagoonlever.report.status import VmStatus
from lagoonlever.tree.nodes import TreeView, default_tree

COME_BACK_S = 1.0

Run = Callable[[], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class Parts:
    """Each part is made by the method of its name, from the parts above it."""

    base: Foundation
    operators: Operators = attrs.field(init=False)
    tree: Published[TreeView] = attrs.field(init=False)
    """The settings tree in force; the settings part is its owner."""
    callers: CallerDirectory = attrs.field(init=False)
    membership: MembershipPart = attrs.field(init=False)
    settings: SettingsPart = attrs.field(init=False)
    targets: TargetWatch = attrs.field(init=False)
    admission: AdmissionPart = attrs.field(init=False)
    peer_streams: PeerStreams = attrs.field(init=False)
    guard: ServerGuard = attrs.field(init=False)
    generations: GenerationServing = attrs.field(init=False)
    services: ServiceRouter = attrs.field(init=False)
    addresses: EntryAddressesPart = attrs.field(init=False)
    orphans: OrphanPart = attrs.field(init=False)
    prober: TargetProber = attrs.field(init=False)
    orders: OrdersPart = attrs.field(init=False)
    stopping: Stopping = attrs.field(init=False)
    reporting: Reporting = attrs.field(init=False)
    routes: Routes = attrs.field(init=False)
    http_limits: ServerLimits = attrs.field(init=False)

    @http_limits.default
    def _make_http_limits(self) -> ServerLimits:
        descriptors = self.base.settings.machine.usable_descriptors
        return ServerLimits(connections=DescriptorShares.of_process(descriptors).callers)

    @guard.default
    def _make_guard(self) -> ServerGuard:
        memory_bytes = self.base.settings.machine.memory_bytes
        return ServerGuard(memory=MemoryAccount.of_machine(memory_bytes))

    @operators.default
    def _make_operators(self) -> Operators:
        return Operators(settings=self.base.settings.admin)

    @tree.default
    def _make_tree(self) -> Published[TreeView]:
        return Published(default_tree())

    @callers.default
    def _make_callers(self) -> CallerDirectory:
        return CallerDirectory(tree=self.tree)

    @membership.default
    def _make_membership(self) -> MembershipPart:
        return MembershipPart(
            own=self.base.own,
            bus=self.base.bus,
            platform=self.base.platform,
            timers=self.base.timers,
            random=self.base.rng,
            settings=self.base.settings.membership,
            seeds=tuple(Address.parse(seed) for seed in self.base.settings.seeds),
            load=self._load,
        )

    @settings.default
    def _make_settings(self) -> SettingsPart:
        return SettingsPart(
            platform=self.base.platform,
            bus=self.base.bus,
            members=self.membership.members,
            timers=self.base.timers,
            random=self.base.rng,
            view=self.tree,
            options=self.base.settings.settings,
            recorder=self.base.recorder,
        )

    @targets.default
    def _make_targets(self) -> TargetWatch:
        return TargetWatch(
            readings=self.membership.target_list,
            members=self.membership.members,
            bus=self.base.bus,
            timers=self.base.timers,
            random=self.base.rng,
            settings=self.base.settings.targets,
        )

    @admission.default
    def _make_admission(self) -> AdmissionPart:
        return AdmissionPart(
            tree=self.tree,
            targets=self.targets.view,
            members=self.membership.members,
            bus=self.base.bus,
            timers=self.base.timers,
            metrics=self.base.metrics,
            random=self.base.rng,
        )

    @peer_streams.default
    def _make_peer_streams(self) -> PeerStreams:
        return PeerStreams(bus=self.base.bus, members=self.membership.members)

    @generations.default
    def _make_generations(self) -> GenerationServing:
        settings = self.base.settings
        return GenerationServing(
            vm=settings.name,
            guard=self.targets,
            admission=self.admission,
            callers=self.callers,
            timers=self.base.timers,
            rng=self.base.rng,
            background=self.base.background,
            peers=self.peer_streams,
            crashes=EngineCrashes(
                bus=self.base.bus,
                members=self.membership.members,
                targets=self.targets.view,
                timers=self.base.timers,
            ),
            members=self.membership.members,
            generation=settings.generation,
            detection=settings.detection,
            routing=settings.routing,
            subset_size=settings.targets.subset_size,
            refusal=self.refusal,
            moved_to=self._moved_to,
            memory=self.guard.memory,
            metrics=self.base.request_metrics,
            observe=dispatch_recorder(
                self.base.recorder,
                vm=settings.name,
                settings_version=lambda: self.tree.value.version,
            ),
        )

    @services.default
    def _make_services(self) -> ServiceRouter:
        return ServiceRouter(
            own=self.base.own.incarnation,
            guard=self.targets,
            members=self.membership.members,
            platform=self.base.platform,
            timers=self.base.timers,
            settings=self.base.settings.services,
            rng=self.base.rng,
            organisation_of=self._organisation_of,
            retry_ratio_of=lambda path: self.callers.settings_of(path).retry_budget,
            bus=self.base.bus,
            recorder=self.base.recorder,
            metrics=self.base.request_metrics,
        )

    @addresses.default
    def _make_addresses(self) -> EntryAddressesPart:
        return EntryAddressesPart(
            members=self.membership.members,
            settings=self.base.settings.addresses,
            random=self.base.rng,
            key_home=lambda: self.services.key_home,
        )

    @orphans.default
    def _make_orphans(self) -> OrphanPart:
        return OrphanPart(
            engines=self.generations.engines,
            members=self.membership.members,
            bus=self.base.bus,
            timers=self.base.timers,
            background=self.base.background,
        )

    @prober.default
    def _make_prober(self) -> TargetProber:
        router = self.generations.router
        return TargetProber(
            watch=self.targets,
            subset_of=router.subset_of,
            cache_sink=CacheEventSink(router=router).take,
            timers=self.base.timers,
            random=self.base.rng,
            settings=self.base.settings.targets,
        )

    @orders.default
    def _make_orders(self) -> OrdersPart:
        return OrdersPart(
            own_name=self.base.settings.name,
            platform=self.base.platform,
            members=self.membership.members,
            targets=self.targets.view,
            tree=self.tree,
            timers=self.base.timers,
            random=self.base.rng,
            settings=self.base.settings.orders,
        )

    @stopping.default
    def _make_stopping(self) -> Stopping:
        return Stopping(
            timers=self.base.timers,
            address_lifetime_s=self.base.settings.addresses.served_after_leaving_s,
            open_work=self._open_work,
            on_leaving=self._begin_leaving,
        )

    @reporting.default
    def _make_reporting(self) -> Reporting:
        return Reporting(
            operators=self.operators,
            vm=self._vm_status,
            members=self.membership.members,
            targets=self.targets.view,
            tree=self.tree,
            admission=self.admission.state,
            traffic=self.base.bus.traffic,
            open_streams=self._open_streams,
            timers=self.base.timers,
            metrics=self.base.metrics,
            objectives=self.base.objectives,
        )

    @routes.default
    def _make_routes(self) -> Routes:
        routes = Routes()
        service = self.generations.service
        routes.add("POST", "/v1/completions", service.handle, refuse_by_head=service.refuse_by_head)
        routes.add("GET", "/v1/models", service.handle_models)
        routes.add("GET", "/v1/entry", self.addresses.handle)
        routes.add(
            "*",
            SERVICES_PATH,
            self.services.handle,
            prefix=True,
            refuse_by_head=self.services.refuse_by_head,
        )
        admin = SettingsAdmin(part=self.settings, operators=self.operators)
        routes.add("*", SETTINGS_PATH, admin.handle, prefix=True)
        orders = OrdersAdmin(
            platform=self.base.platform, targets=self.targets.view, operators=self.operators
        )
        routes.add("*", ORDERS_PATH, orders.handle, prefix=True)
        routes.add("GET", "/admin/status", self.reporting.handle_status)
        routes.add("GET", "/metrics", self.reporting.handle_metrics)
        return routes

    def runnable(self) -> tuple[Run, ...]:
        """Give what runs as long as the VM does."""
        return (
            self.base.timers.run,
            self.base.bus.run,
            self.membership.run,
            self.settings.run,
            self.targets.run,
            self.prober.run,
            self.admission.run,
            self.generations.run,
            self._hear_taken_over,
            self._leave_when_told,
            self.orphans.run,
            self.services.run,
            self.reporting.run,
            self.orders.run,
        )

    def serves(self, *, members: int, targets: int) -> bool:
        """Tell whether so many members and live targets are known, engines with their models."""
        view = self.targets.view.value
        ready = [t for t in view.targets if t.takes_work and not self.targets.needs_models(t)]
        known = len(self.membership.members.value.alive) >= members and len(ready) >= targets
        return known and self.refusal() is None

    def refusal(self) -> Outcome | None:
        """Give why this VM takes no new work now, or None."""
        if self.membership.members.value.superseded:
            return NotRun(
                reason=Reason.SUPERSEDED,
                message="a newer life of this VM serves; use another address",
                retry_after_s=COME_BACK_S,
            )
        not_in_force = self.settings.refusal()
        if not_in_force is not None:
            return not_in_force
        if not self.targets.belief.allows_work:
            return NotRun(
                reason=Reason.ISOLATED,
                message="this VM cannot tell which targets may be given work; use another",
                retry_after_s=COME_BACK_S,
            )
        return None

    def record_ended(self) -> None:
        """Record the end of a planned stop, with what would be cut."""
        open_work = self._open_work()
        record_stop_ended(
            self.base.recorder,
            vm=self.base.settings.name,
            open_requests=open_work.generations + open_work.keyed_requests,
        )

    async def _hear_taken_over(self) -> None:
        await self.peer_streams.run(self.generations.service)

    async def _leave_when_told(self) -> None:
        """Begin the planned stop when the platform lists this VM as leaving, or as replaced."""
        members = self.membership.members
        view = members.value
        while not view.superseded and view.own_state is not MemberState.LEAVING:
            view = await members.wait_change()
        self.stopping.begin()

    def _load(self) -> float:
        """Give the share of this VM's capacity in use, by its open connections."""
        return min(1.0, self.base.http.open_connections / self.http_limits.connections)

    def _moved_to(self) -> tuple[str, ...] | None:
        return self.addresses.others() if self.stopping.leaving else None

    def _organisation_of(self, request: Request) -> str:
        return self.callers.organisation_of(request.headers)

    def _open_streams(self) -> Iterator[str]:
        for task in self.generations.service.tasks:
            if task.finished is None:
                yield task.spec.organisation

    def _open_work(self) -> OpenWork:
        return OpenWork(
            generations=self.generations.service.running,
            keyed_requests=self.services.open_keys,
            exchanges=self.base.http.open_exchanges,
            connections=self.base.http.open_connections,
        )

    def _begin_leaving(self) -> None:
        self.base.http.closing = True
        self.membership.leave()
        self.generations.service.wake_callers()
        record_stop_began(
            self.base.recorder, vm=self.base.settings.name, address=str(self.base.own.http)
        )

    def _phase(self) -> str:
        if self.stopping.leaving:
            return "leaving"
        return "starting" if self.refusal() else "serving"

    def _vm_status(self) -> VmStatus:
        return VmStatus(
            name=self.base.settings.name,
            incarnation=str(self.base.own.incarnation),
            data_center=self.base.settings.data_center,
            address=str(self.base.own.http),
            phase=self._phase(),
            uptime_s=self.base.timers.now - self.base.started_at,
            settings_version=self.tree.value.version,
            platform_reachable=self.membership.list_readable,
            open_streams=self.generations.service.running,
            open_connections=self.base.http.open_connections,
        )
