"""The membership part of a VM: runs the protocol over the bus, and reads the platform's list.

It publishes the member view, and each reading of the list for the parts that
need the targets in it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeVar

import attrs
import logbook
import trio

from lagoonlever.decisions.membership.changes import ChangeKind, changes_between
from lagoonlever.decisions.membership.listing import VmListReading, list_read_interval_s
from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.membership.protocol import MembershipProtocol
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.decisions.targets.listing import TargetListReading
from lagoonlever.events import event
from lagoonlever.exceptions import PlatformError
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_membership import (
    Ack,
    Gossip,
    MembershipMessage,
    Nack,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)
from lagoonlever.published import Published
from lagoonlever.store.port import Platform
from lagoonlever.timers import Tick, TimerService

T = TypeVar("T", bound=MembershipMessage)

log = logbook.Logger(__name__)

TICK_S = 0.1
LOADS_PERIOD_S = 1.0
"""Loads change all the time; a view that differs in them alone waits for this."""

MEMBER_JOINED = event(
    500,
    "member-joined",
    "info",
    "Entry VM {vm} joined from {data_center}.",
    "This VM has heard of another one for the first time. Nothing to do.",
)
MEMBER_REPLACED = event(
    501,
    "member-replaced",
    "notice",
    "Entry VM {vm} runs as a new life, {incarnation}.",
    "The VM restarted or was replaced under its name. Nothing to do if that was meant.",
)
MEMBER_RETURNED = event(
    502,
    "member-returned",
    "notice",
    "Entry VM {vm} is back.",
    "A VM that had been suspected or taken for dead answers again: the end of event 503 or 505.",
)
MEMBER_SUSPECTED = event(
    503,
    "member-suspected",
    "info",
    "Entry VM {vm} does not answer.",
    "It is given a few seconds to answer. Frequent suspicions of one VM point at its network or "
    "at a lack of processor time there.",
)
MEMBER_LEAVING = event(
    504,
    "member-leaving",
    "notice",
    "Entry VM {vm} is leaving; callers are sent elsewhere.",
    "The VM is being stopped, or the platform lists it as leaving. There is no way back for "
    "this life of it.",
)
MEMBER_DEAD = event(
    505,
    "member-dead",
    "warning",
    "Entry VM {vm} has not answered in time and is taken for dead.",
    "The VM died, is paused, or is cut off from here. Many at once point at a cut between data "
    "centres, or around this VM.",
)
VM_SUPERSEDED = event(
    506,
    "vm-superseded",
    "critical",
    "A newer life of this VM's name exists; this process must end.",
    "The VM was replaced while it was paused or cut off, or two VMs have the same name. Where "
    "the newer process is not the one that was meant, compare names and clocks of the two.",
)
VM_LIST_UNREADABLE = event(
    507,
    "vm-list-unreadable",
    "warning",
    "The platform's list of VMs can't be read: {error}.",
    "The platform is down or not reachable from here. The entry VMs go on among themselves.",
)
VM_LIST_READABLE = event(
    508,
    "vm-list-readable",
    "notice",
    "The platform's list of VMs is read again.",
    "The end of event 507.",
)
MEMBER_LEFT = event(
    509,
    "member-left",
    "info",
    "Entry VM {vm} has left.",
    "The end of a planned stop. Nothing to do.",
)
_CHANGE_EVENTS = {
    ChangeKind.JOINED: MEMBER_JOINED,
    ChangeKind.REPLACED: MEMBER_REPLACED,
    ChangeKind.RETURNED: MEMBER_RETURNED,
    ChangeKind.SUSPECTED: MEMBER_SUSPECTED,
    ChangeKind.LEAVING: MEMBER_LEAVING,
    ChangeKind.LEFT: MEMBER_LEFT,
    ChangeKind.DEAD: MEMBER_DEAD,
}


def _no_load() -> float:
    return 0.0


@attrs.define(kw_only=True, eq=False)
class MembershipPart:
    """Owns the protocol's state; the tasks of ``run`` are its only writers."""

    _own: Member
    _bus: Bus
    _platform: Platform
    _timers: TimerService
    _random: Random
    _settings: MembershipSettings = attrs.field(factory=MembershipSettings)
    _seeds: tuple[Address, ...] = ()
    _load: Callable[[], float] = _no_load
    """Gives the share of this VM's capacity that is in use."""
    _protocol: MembershipProtocol = attrs.field(init=False)
    _published_at: float = attrs.field(default=0.0, init=False)
    _list_readable: bool = attrs.field(default=True, init=False)
    members: Published[MemberView] = attrs.field(init=False)
    """The latest view; it has this VM alone at the start."""
    target_list: Published[TargetListReading | None] = attrs.field(init=False)
    """The targets of the latest reading of the platform's list; None until there is one."""

    def __attrs_post_init__(self) -> None:
        self._protocol = MembershipProtocol(
            own=self._own,
            settings=self._settings,
            random=self._random,
            started_at=self._timers.now,
            seeds=self._seeds,
        )
        self.members = Published(self._protocol.take_view(self._timers.now))
        self.target_list = Published(None)

    @property
    def list_readable(self) -> bool:
        """Whether the platform's list could be read the last time."""
        return self._list_readable

    def leave(self) -> None:
        """Tell everyone that this VM takes no new work."""
        self._protocol.leave(self._timers.now)
        self._send_and_publish()

    def depart(self) -> None:
        """Tell everyone that this VM ends now; the bus must run a little longer."""
        self._protocol.depart(self._timers.now)
        self._send_and_publish()

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            for message_class in (Ping, Ack, PingRequest, Nack, Gossip, SyncRequest, SyncReply):
                nursery.start_soon(self._receive, message_class)
            nursery.start_soon(self._read_vm_list)
            with self._timers.subscribed(self._tick, period_s=TICK_S):
                await trio.sleep_forever()

    async def _receive(self, message_class: type[T]) -> None:
        async for received in self._bus.subscribe(message_class):
            self._protocol.receive(received.message, self._timers.now)
            self._send_and_publish()

    def _tick(self, tick: Tick) -> None:
        self._protocol.set_load(self._load())
        self._protocol.tick(tick.now, paused_s=tick.paused_s)
        self._send_and_publish()

    def _send_and_publish(self) -> None:
        """Send what the protocol wants sent, and publish the view where it changed."""
        for send in self._protocol.take_sends():
            self._bus.send(send.to, send.message, expected=send.expected)
        now = self._timers.now
        if self._protocol.changed or now - self._published_at >= LOADS_PERIOD_S:
            self._publish(now)

    def _publish(self, now: float) -> None:
        self._published_at = now
        before = self.members.value
        view = self._protocol.take_view(now)
        if view == before:
            return
        for change in changes_between(before, view):
            member = change.member
            _CHANGE_EVENTS[change.kind].log(
                log,
                vm=member.name,
                data_center=member.data_center,
                incarnation=str(member.incarnation),
            )
        if view.superseded and not before.superseded:
            VM_SUPERSEDED.log(log)
        self.members.publish(view)

    async def _read_vm_list(self) -> None:
        while True:
            await self._read_vm_list_once()
            reachable = len(self.members.value.reachable)
            await trio.sleep(list_read_interval_s(reachable, self._random))

    async def _read_vm_list_once(self) -> None:
        read_at = self._timers.now
        try:
            vms = await self._platform.list_vms()
        except PlatformError as error:
            if self._list_readable:
                VM_LIST_UNREADABLE.log(log, error=str(error))
            self._list_readable = False
            return
        if not self._list_readable:
            VM_LIST_READABLE.log(log)
        self._list_readable = True
        reading = VmListReading(vms=vms, read_at=read_at)
        self._protocol.set_listed(reading.entry_vms, self._timers.now)
        self._send_and_publish()
        self.target_list.publish(reading.targets)
