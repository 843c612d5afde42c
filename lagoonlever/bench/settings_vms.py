"""Settings parts of several VMs in one process, over a local network and a stand-in platform."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs
import trio

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.settings.settings_version import SettingsVersionOptions
from lagoonlever.entry.settings.settings import SettingsPart
from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.fakes.platform import FakePlatform
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.recorder import Recorder
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.identity import Incarnation
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.published import Published
from lagoonlever.revisions import Revision
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.store.port import KeyRead, SwapResult, Watch, WatchBatch
from lagoonlever.timers import TICK_S, TimerService
from lagoonlever.tree.nodes import TreeView, default_tree

DATA_CENTERS = ("dc-a", "dc-b", "dc-c")
HOST = "127.0.0.1"
PEER_PORT = 7000
NEVER_PAUSED_S = 3600.0
BATCH = 25
"""VMs that start at once; one process can't carry the start of hundreds."""


@attrs.define(kw_only=True)
class _CutWatch:
    _watch: Watch
    _line: CutPlatform

    async def next(self) -> WatchBatch:
        """Wait for changes; a cut swallows them without a word."""
        batch = await self._watch.next()
        if self._line.cut:
            await trio.sleep_forever()
        return batch

    async def aclose(self) -> None:
        """Stop watching."""
        await self._watch.aclose()


class CutPlatform(EtcdPlatform):
    """The platform as one VM reaches it; ``cut`` swallows its reads, changes and watches."""

    cut = False

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read one key."""
        self._check()
        return await super().get(key, stale_ok=stale_ok)

    async def compare_and_swap(
        self, key: str, *, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""
        self._check()
        return await super().compare_and_swap(
            key, expected_revision=expected_revision, value=value, lease=lease
        )

    def watch(self, prefix: str, *, after_revision: Revision) -> Watch:
        """Watch the changes after a revision."""
        return _CutWatch(watch=super().watch(prefix, after_revision=after_revision), line=self)

    def _check(self) -> None:
        if self.cut:
            raise PlatformUnavailable("cut off", step="call", peer="platform")


@attrs.define(kw_only=True)
class SettableClock:
    """A VM's monotonic clock; a pause makes it jump as seen by the VM's tasks."""

    ahead_s: float = 0.0

    def __call__(self) -> float:
        """Give the time in seconds."""
        return trio.current_time() + self.ahead_s


@attrs.define(kw_only=True, eq=False)
class SettingsVm:
    """One VM with nothing but its settings part."""

    member: Member
    part: SettingsPart
    bus: LocalBus
    platform: CutPlatform
    clock: SettableClock
    timers: TimerService
    scope: trio.CancelScope

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.member.name

    def pause(self, seconds: float) -> None:
        """Let the VM find that it was paused just now."""
        self.clock.ahead_s += seconds


@attrs.define(kw_only=True, eq=False)
class SettingsVms:
    """Starts, cuts and ends the VMs of one test or benchmark."""

    platform: FakePlatform
    address: Address
    _nursery: trio.Nursery
    _random: random.Random
    options: SettingsVersionOptions = attrs.field(factory=SettingsVersionOptions)
    tick_s: float = TICK_S
    network: LocalNetwork = attrs.field(init=False)
    recorder: Recorder = attrs.field(factory=lambda: Recorder(process="operators"))
    vms: list[SettingsVm] = attrs.field(factory=list, init=False)
    _views: list[Published[MemberView]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        self.network = LocalNetwork(random=self._random)

    @classmethod
    async def open(
        cls,
        nursery: trio.Nursery,
        *,
        count: int,
        seed: int = 1,
        options: SettingsVersionOptions | None = None,
        tick_s: float = TICK_S,
    ) -> SettingsVms:
        """Start a stand-in platform and some VMs that know each other and their settings."""
        platform = FakePlatform()
        listeners = await open_listeners(host=HOST, port=0)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(platform.run, listeners)
        vms = cls(
            platform=platform,
            address=Address(host=HOST, port=port),
            nursery=nursery,
            random=random.Random(seed),
            options=options or SettingsVersionOptions(),
            tick_s=tick_s,
        )
        while len(vms.vms) < count:
            for _ in range(min(BATCH, count - len(vms.vms))):
                vms.start(publish=False)
            vms.publish_members()
            await vms.wait_version(0)
        return vms

    @property
    def history(self) -> Sequence[HistoryEvent]:
        """What was recorded so far."""
        return self.recorder.events

    def start(self, *, publish: bool = True) -> SettingsVm:
        """Start one more VM, known to all at once unless ``publish_members`` follows."""
        index = len(self.vms)
        address = Address(host=f"10.0.{index // 250}.{index % 250 + 1}", port=PEER_PORT)
        incarnation = Incarnation(
            name=f"vm-{index + 1}", started_ms=index, nonce=self._random.getrandbits(32)
        )
        member = Member(
            incarnation=incarnation,
            data_center=DATA_CENTERS[index % len(DATA_CENTERS)],
            http=address,
            peers=address,
            state=MemberState.ALIVE,
        )
        view = Published(MemberView(members=(member,), own=incarnation))
        clock = SettableClock()
        timers = self._timers(clock)
        platform = CutPlatform(addresses=[self.address], timeout_s=1.0)
        bus = LocalBus(own=incarnation, address=address, network=self.network)
        part = SettingsPart(
            platform=platform,
            bus=bus,
            members=view,
            timers=timers,
            random=random.Random(self._random.getrandbits(32)),
            view=Published[TreeView](default_tree()),
            options=self.options,
            recorder=self.recorder,
        )
        vm = SettingsVm(
            member=member,
            part=part,
            bus=bus,
            platform=platform,
            clock=clock,
            timers=timers,
            scope=trio.CancelScope(),
        )
        self.vms.append(vm)
        self._views.append(view)
        if publish:
            self.publish_members()
        self._nursery.start_soon(self._run, vm)
        return vm

    def cut_from_peers(self, vm: SettingsVm) -> None:
        """Lose every message between a VM and the others."""
        for other in self.vms:
            if other is not vm:
                self.network.cut(vm.member.peers, other.member.peers)

    async def wait_version(self, version: int, vms: Sequence[SettingsVm] | None = None) -> None:
        """Wait until all, or the given VMs, have at least a version in force."""
        for vm in self.vms if vms is None else vms:
            while vm.part.version is None or vm.part.version < version:
                await vm.part.view.wait_change()

    def _timers(self, clock: SettableClock) -> TimerService:
        # Many VMs in one process make each other late, which is no pause.
        if self.tick_s == TICK_S:
            return TimerService(clock=clock)
        return TimerService(clock=clock, tick_s=self.tick_s, pause_threshold_s=NEVER_PAUSED_S)

    def publish_members(self) -> None:
        """Let every VM know of all that were started."""
        members = tuple(sorted((vm.member for vm in self.vms), key=lambda each: each.name))
        for view in self._views:
            view.publish(MemberView(members=members, own=view.value.own))

    async def _run(self, vm: SettingsVm) -> None:
        with vm.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(vm.timers.run)
                nursery.start_soon(vm.part.run)
