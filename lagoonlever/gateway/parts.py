"""The parts of one gateway, wired to each other; the daemon starts what ``runnable`` gives."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import attrs

from lagoonlever.config.machine import usable_descriptors
from lagoonlever.decisions.admission.descriptor_shares import DescriptorShares
from lagoonlever.decisions.admission.held_memory import MemoryAccount, clients_bytes
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.fleet.peer_table import PeerState, PeerTable
from lagoonlever.decisions.fleet.tunnel_peers import TunnelPeers
from lagoonlever.decisions.settings.configuration import ClientLimits
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.decisions.targets.reported_limits import ReportedLimits
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.cache_locator import CacheLocator
from lagoonlever.gateway.call_desk import CallDesk
from lagoonlever.gateway.call_places import CallPlaces
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.directory import Directory
from lagoonlever.gateway.front import Front
from lagoonlever.gateway.front_parts import make_front
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.knowledge import KnowledgeExchange
from lagoonlever.gateway.last_requests import LastRequests
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.metrics_page import MetricsPage
from lagoonlever.gateway.origin_finder import OriginFinder
from lagoonlever.gateway.origin_records import OriginRecords
from lagoonlever.gateway.pace_keeper import PaceKeeper
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.permit_exchange import PermitExchange
from lagoonlever.gateway.placement_desk import PlacementDesk
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.presence import Presence
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.gateway.register import Register
from lagoonlever.gateway.registration import Registration
from lagoonlever.gateway.replacement_finder import ReplacementFinder
from lagoonlever.gateway.reporter import Reporter
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.gateway.rollout_lead import RolloutLead
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.gateway.room_asker import RoomAsker
from lagoonlever.gateway.room_desk import RoomDesk
from lagoonlever.gateway.run_copier import RunCopier
from lagoonlever.gateway.run_ender import RunEnder
from lagoonlever.gateway.settings import GatewaySettings
from lagoonlever.gateway.store_follower import StoreFollower
from lagoonlever.gateway.target_client import HELD_MEMORY_PART, TargetClient
from lagoonlever.gateway.target_limits import TargetLimits
from lagoonlever.gateway.target_words import TargetWords
from lagoonlever.gateway.tunnel_desk import TunnelDesk
from lagoonlever.gateway.version_record import VersionRecord
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.http.server_limits import ServerGuard, ServerLimits
from lagoonlever.identity import Incarnation
from lagoonlever.metrics import PLATFORM_CALLS, PLATFORM_RESTORES
from lagoonlever.peers.bus import PeerBus
from lagoonlever.platform.store import MetadataStore
from lagoonlever.timers import TimerService

QUESTION_BODY_BYTES = 16 * 1024
"""Questions have no bodies."""
HEARTBEATS_TO_LAPSE = 3.5
"""The entry of a target that is gone lapses after three, and one may begin late."""

Run = Callable[[], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class GatewayParts:
    """Each part is made by the method of its name, from the parts above it."""

    settings: GatewaySettings
    life: Incarnation
    rng: random.Random
    timers: TimerService
    stopping: Callable[[], bool]
    open_requests: Callable[[], int]
    open_target: Opener = ClientConnection.open
    """Opens a connection to a target from this VM itself."""
    guard: ServerGuard = attrs.field(init=False)
    shares: DescriptorShares = attrs.field(init=False)
    reporter: Reporter = attrs.field(init=False)
    store: MetadataStore = attrs.field(init=False)
    beliefs: Beliefs = attrs.field(init=False)
    learner: Learner = attrs.field(init=False)
    last_requests: LastRequests = attrs.field(init=False)
    budgets: RetryBudgets = attrs.field(init=False)
    bus: PeerBus = attrs.field(init=False)
    presence: Presence = attrs.field(init=False)
    knowledge: KnowledgeExchange = attrs.field(init=False)
    rollouts: Rollouts = attrs.field(init=False)
    rollout_lead: RolloutLead = attrs.field(init=False)
    peers: PeerExchange = attrs.field(init=False)
    dialer: TargetDialer = attrs.field(init=False)
    tunnel_desk: TunnelDesk = attrs.field(init=False)
    placer: Placer = attrs.field(init=False)
    placement_desk: PlacementDesk = attrs.field(init=False)
    spread: HubSpread = attrs.field(init=False)
    brittle: BrittleWatch = attrs.field(init=False)
    room_desk: RoomDesk = attrs.field(init=False)
    room_asker: RoomAsker = attrs.field(init=False)
    replacements: ReplacementFinder = attrs.field(init=False)
    limits: TargetLimits = attrs.field(init=False)
    words: TargetWords = attrs.field(init=False)
    call_desk: CallDesk = attrs.field(init=False)
    call_places: CallPlaces = attrs.field(init=False)
    client: TargetClient = attrs.field(init=False)
    prober: EngineProber = attrs.field(init=False)
    copier: RunCopier = attrs.field(init=False)
    run_ender: RunEnder = attrs.field(init=False)
    crashes: CrashWatch = attrs.field(init=False)
    version_record: VersionRecord = attrs.field(init=False)
    origin_records: OriginRecords = attrs.field(init=False)
    origin_finder: OriginFinder = attrs.field(init=False)
    follower: StoreFollower = attrs.field(init=False)
    registration: Registration = attrs.field(init=False)
    pace_keeper: PaceKeeper = attrs.field(init=False)
    front: Front = attrs.field(init=False)
    directory: Directory = attrs.field(init=False)
    metrics_page: MetricsPage = attrs.field(init=False)

    @guard.default
    def _make_guard(self) -> ServerGuard:
        account = MemoryAccount.of_machine(self.settings.machine.memory_bytes)
        return ServerGuard(memory=account)

    @shares.default
    def _make_shares(self) -> DescriptorShares:
        allowed = self.settings.machine.descriptors
        return DescriptorShares.of_process(usable_descriptors(allowed))

    @reporter.default
    def _make_reporter(self) -> Reporter:
        return Reporter(timers=self.timers)

    @store.default
    def _make_store(self) -> MetadataStore:
        return MetadataStore(
            address=self.settings.store.address,
            on_call=lambda step: self.reporter.tally.add(PLATFORM_CALLS, step, "sent"),
            on_restored=lambda: self.reporter.tally.add(PLATFORM_RESTORES),
        )

    @beliefs.default
    def _make_beliefs(self) -> Beliefs:
        return Beliefs(
            fellows=PeerTable(own=self.life),
            book=EngineScheduler(
                rng=self.rng,
                data_center=self.settings.data_center,
                keep_s=self.settings.bounds.cache_s,
            ),
            targets=TargetRegistry(
                lapse_s=HEARTBEATS_TO_LAPSE * self.settings.heartbeat_s,
                rolls_out=self.settings.rolls_out,
            ),
        )

    @learner.default
    def _make_learner(self) -> Learner:
        return Learner(beliefs=self.beliefs, timers=self.timers)

    @last_requests.default
    def _make_last_requests(self) -> LastRequests:
        return LastRequests(beliefs=self.beliefs, timers=self.timers, rng=self.rng)

    @budgets.default
    def _make_budgets(self) -> RetryBudgets:
        return RetryBudgets(bounds=self.settings.retry_budget)

    @bus.default
    def _make_bus(self) -> PeerBus:
        return PeerBus(own=self.life, listen=self.settings.bus)

    @presence.default
    def _make_presence(self) -> Presence:
        return Presence(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            own_state=self.own_state,
            seeds=self.settings.seeds,
        )

    @knowledge.default
    def _make_knowledge(self) -> KnowledgeExchange:
        return KnowledgeExchange(
            bus=self.bus,
            beliefs=self.beliefs,
            learner=self.learner,
            timers=self.timers,
            roles=self.presence.roles,
            own_bus=self.settings.bus,
        )

    @rollouts.default
    def _make_rollouts(self) -> Rollouts:
        return Rollouts(
            bus=self.bus,
            beliefs=self.beliefs,
            knowledge=self.knowledge,
            timers=self.timers,
            rng=self.rng,
        )

    @rollout_lead.default
    def _make_rollout_lead(self) -> RolloutLead:
        return RolloutLead(
            bus=self.bus,
            beliefs=self.beliefs,
            rollouts=self.rollouts,
            knowledge=self.knowledge,
            store=self.store,
            timers=self.timers,
            roles=self.presence.roles,
            own=self.life,
            bounds=self.settings.exposure,
        )

    @peers.default
    def _make_peers(self) -> PeerExchange:
        peers = PeerExchange(
            bus=self.bus,
            beliefs=self.beliefs,
            learner=self.learner,
            timers=self.timers,
            budgets=self.budgets,
            roles=self.presence.roles,
            vm=self.settings.name,
        )
        self.presence.on_greeting(peers.greet)
        self.presence.on_loss(peers.vm_lost)
        return peers

    @dialer.default
    def _make_dialer(self) -> TargetDialer:
        return TargetDialer(
            own=self.life,
            tunnel_port=self.settings.tunnel.port if self.settings.tunnel else None,
            timers=self.timers,
            fellows=self.beliefs.fellows,
            targets=self.beliefs.targets,
            tally=self.reporter.tally,
            peers=TunnelPeers(rng=self.rng),
            open_direct=self.open_target,
        )

    @tunnel_desk.default
    def _make_tunnel_desk(self) -> TunnelDesk:
        return TunnelDesk(
            beliefs=self.beliefs,
            timers=self.timers,
            dialer=self.dialer,
            most_tunnels=self.shares.tunnels,
        )

    @placer.default
    def _make_placer(self) -> Placer:
        return Placer(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            budgets=self.budgets,
            roles=self.presence.roles,
            vm=self.settings.name,
            locator=CacheLocator(opener=self.dialer.open),
        )

    @placement_desk.default
    def _make_placement_desk(self) -> PlacementDesk:
        return PlacementDesk(
            bus=self.bus, beliefs=self.beliefs, timers=self.timers, placer=self.placer
        )

    @room_desk.default
    def _make_room_desk(self) -> RoomDesk:
        return RoomDesk(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            placer=self.placer,
            tally=self.reporter.tally,
            brittle=self.brittle,
        )

    @room_asker.default
    def _make_room_asker(self) -> RoomAsker:
        return RoomAsker(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            roles=self.presence.roles,
            vm=self.settings.name,
            leaving=self.stopping,
            desk=self.room_desk,
            brittle=self.brittle,
        )

    @replacements.default
    def _make_replacements(self) -> ReplacementFinder:
        return ReplacementFinder(
            bus=self.bus,
            beliefs=self.beliefs,
            learner=self.learner,
            timers=self.timers,
            reuse_s=lambda: self.settings.bounds.address_reuse_s,
            opener=self.dialer.open,
        )

    @copier.default
    def _make_copier(self) -> RunCopier:
        copier = RunCopier(opener=self.dialer.open)
        self.dialer.on_change(copier.forget)
        return copier

    @run_ender.default
    def _make_run_ender(self) -> RunEnder:
        return RunEnder(
            copier=self.copier,
            prober=self.prober,
            beliefs=self.beliefs,
            timers=self.timers,
        )

    @spread.default
    def _make_spread(self) -> HubSpread:
        return HubSpread(
            bus=self.bus,
            beliefs=self.beliefs,
            roles=self.presence.roles,
            own=self.settings.name,
        )

    @limits.default
    def _make_limits(self) -> TargetLimits:
        named = ReportedLimits()
        permits = PermitExchange(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            roles=self.presence.roles,
            vm=self.settings.name,
            leaving=self.stopping,
            named=named,
        )
        limits = TargetLimits(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            tally=self.reporter.tally,
            rng=self.rng,
            named=named,
            permits=permits,
            spread=self.spread,
        )
        self.presence.on_greeting(limits.greet)
        self.presence.on_meeting(limits.greet)
        self.learner.on_started_again(limits.started_again)
        return limits

    @brittle.default
    def _make_brittle(self) -> BrittleWatch:
        brittle = BrittleWatch(
            bus=self.bus, beliefs=self.beliefs, timers=self.timers, spread=self.spread
        )
        self.presence.on_greeting(brittle.greet)
        self.presence.on_meeting(brittle.greet)
        self.learner.on_started_again(brittle.started_again)
        return brittle

    @words.default
    def _make_words(self) -> TargetWords:
        words = TargetWords(
            bus=self.bus,
            beliefs=self.beliefs,
            learner=self.learner,
            timers=self.timers,
            spread=self.spread,
            limits=self.limits,
            brittle=self.brittle,
            rng=self.rng,
        )
        self.learner.on_started_again(words.started_again)
        self.presence.on_greeting(words.greet)
        self.presence.on_meeting(words.greet)
        return words

    @call_desk.default
    def _make_call_desk(self) -> CallDesk:
        desk = CallDesk(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            tally=self.reporter.tally,
            rests=self.words.rests,
            brittle=self.brittle,
        )
        self.learner.on_started_again(desk.started_again)
        return desk

    @call_places.default
    def _make_call_places(self) -> CallPlaces:
        return CallPlaces(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            tally=self.reporter.tally,
            desk=self.call_desk,
            brittle=self.brittle,
            data_center=self.settings.data_center,
            leaving=self.stopping,
        )

    @client.default
    def _make_client(self) -> TargetClient:
        client = TargetClient(
            words=self.words,
            dialer=self.dialer,
            tally=self.reporter.tally,
            max_held_bytes=self.settings.machine.memory_bytes // HELD_MEMORY_PART,
        )
        self.dialer.on_change(client.forget)
        return client

    @prober.default
    def _make_prober(self) -> EngineProber:
        prober = EngineProber(opener=self.dialer.open)
        self.dialer.on_change(prober.forget)
        return prober

    @crashes.default
    def _make_crashes(self) -> CrashWatch:
        crashes = CrashWatch(
            own=self.life.name,
            store=self.store,
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            roles=self.presence.roles,
            spread=self.spread,
            client=self.client,
            prober=self.prober,
            dialer=self.dialer,
            tunnel_desk=self.tunnel_desk,
            tally=self.reporter.tally,
            rng=self.rng,
            hears_runs=self.peers.holds_book,
        )
        self.peers.on_run_begun(crashes.learn_begun)
        self.peers.on_whole_run(crashes.learn_sound)
        self.presence.on_greeting(crashes.greet)
        self.presence.on_meeting(crashes.greet)
        return crashes

    @version_record.default
    def _make_version_record(self) -> VersionRecord:
        record = VersionRecord(
            store=self.store,
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            roles=self.presence.roles,
            spread=self.spread,
            rng=self.rng,
        )
        self.presence.on_greeting(record.greet)
        self.presence.on_meeting(record.greet)
        return record

    @origin_records.default
    def _make_origin_records(self) -> OriginRecords:
        records = OriginRecords(
            store=self.store,
            beliefs=self.beliefs,
            timers=self.timers,
            rng=self.rng,
            vm=str(self.life),
            writes_per_s=self.settings.store.writes_per_s,
        )
        self.peers.on_stream(begun=records.begin, completed=records.end)
        self.version_record.on_change(records.versions_changed)
        return records

    @origin_finder.default
    def _make_origin_finder(self) -> OriginFinder:
        return OriginFinder(
            bus=self.bus,
            beliefs=self.beliefs,
            timers=self.timers,
            roles=self.presence.roles,
            vm=self.settings.name,
            versions=self.version_record,
            records=self.origin_records,
        )

    @follower.default
    def _make_follower(self) -> StoreFollower:
        return StoreFollower(
            store=self.store,
            beliefs=self.beliefs,
            learner=self.learner,
            knowledge=self.knowledge,
            roles=self.presence.roles,
            timers=self.timers,
            rng=self.rng,
            rollouts=self.rollouts if self.settings.rolls_out else None,
        )

    @registration.default
    def _make_registration(self) -> Registration:
        return Registration(
            store=self.store,
            register=Register(fellows=self.beliefs.fellows, timers=self.timers),
            beliefs=self.beliefs,
            roles=self.presence.roles,
            timers=self.timers,
            own=self.own_state(),
            rng=self.rng,
        )

    @pace_keeper.default
    def _make_pace_keeper(self) -> PaceKeeper:
        return PaceKeeper(
            store=self.store,
            beliefs=self.beliefs,
            roles=self.presence.roles,
            timers=self.timers,
            rng=self.rng,
        )

    @front.default
    def _make_front(self) -> Front:
        return make_front(self)

    @directory.default
    def _make_directory(self) -> Directory:
        return Directory(
            beliefs=self.beliefs,
            timers=self.timers,
            rng=self.rng,
            own=self.settings.listen,
            ready=self.ready,
            is_cut_off=lambda: self.dialer.paths.is_cut_off,
        )

    @metrics_page.default
    def _make_metrics_page(self) -> MetricsPage:
        return MetricsPage(
            tally=self.reporter.tally,
            beliefs=self.beliefs,
            timers=self.timers,
            open_requests=self.open_requests,
            dialer=self.dialer,
            tunnel_desk=self.tunnel_desk,
            client_memory=self.guard.memory,
        )

    def runnable(self) -> dict[str, Run]:
        """Return what runs for the life of the daemon, by name."""
        return {
            "timers": self.timers.run,
            "bus": self.bus.run,
            "presence": self.presence.run,
            "knowledge": self.knowledge.run,
            "peers": self.peers.run,
            **(self._rollout_parts() if self.settings.rolls_out else {}),
            "dialer": self.dialer.run,
            "placer": self.placer.run,
            "placement desk": self.placement_desk.run,
            "room desk": self.room_desk.run,
            "room asker": self.room_asker.run,
            "replacements": self.replacements.run,
            "run ender": self.run_ender.run,
            "crashes": self.crashes.run,
            "version record": self.version_record.run,
            "origin records": self.origin_records.run,
            "origin finder": self.origin_finder.run,
            "target limits": self.limits.run,
            "target words": self.words.run,
            "brittle targets": self.brittle.run,
            "call desk": self.call_desk.run,
            "call places": self.call_places.run,
            "store follower": self.follower.run,
            "registration": self.registration.run,
            "pace keeper": self.pace_keeper.run,
        }

    def _rollout_parts(self) -> dict[str, Run]:
        return {"roll-outs": self.rollouts.run, "roll-out lead": self.rollout_lead.run}

    def reload(self, settings: GatewaySettings) -> None:
        """Put changed settings in force; what this VM listens on stays until its next start."""
        self.settings = settings
        self.guard.memory.capacity_bytes = clients_bytes(settings.machine.memory_bytes)
        self.store.move_to(settings.store.address)
        self.presence.reseed(settings.seeds)
        self.budgets.rebound(settings.retry_budget)

    def ready(self) -> bool:
        """Check whether this VM takes callers."""
        return self.beliefs.known.is_set() and not self.stopping()

    def own_state(self) -> PeerState:
        """Return what this VM says of itself."""
        return PeerState(
            life=self.life,
            data_center=self.settings.data_center,
            callers=self.settings.listen,
            bus=self.settings.bus,
            takes_callers=self.ready(),
            leaving=self.stopping(),
            configuration=self.beliefs.version,
            list_revision=self.beliefs.targets.changed_at,
            store_away=self.store.is_away,
            link_mbps=self.settings.machine.link_mbps,
            cut_off=self.dialer.paths.is_cut_off,
        )

    def server_limits(self) -> ServerLimits:
        """Return the limits of callers' connections by the configuration in force."""
        configuration = self.beliefs.configuration.value
        limits = configuration.limits if configuration else ClientLimits()
        return ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            connections=self.shares.callers,
        )

    def question_limits(self) -> ServerLimits:
        """Return the limits of connections that ask for readiness, addresses or metrics."""
        return ServerLimits(body_bytes=QUESTION_BODY_BYTES, connections=self.shares.questions)
