"""Passes on the configuration and the list of targets between gateways.

Those that read the store push what changes to the others, in a very large fleet through
the hubs of the other data centres. Nothing that must be in force hangs on a hub: a VM
that sees another say that it knows more asks it, after the time in which a push or the
store would have told.
"""

from __future__ import annotations

import attrs
import logbook
import msgspec
import trio

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import forward_recipients, push_recipients
from lagoonlever.decisions.targets.listed_target import ListedTarget, TargetChange
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.compression import UnreadablePack, pack, unpack
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_gateway import (
    ConfigurationNews,
    FellowDigests,
    Knowledge,
    KnowledgeAsk,
    TargetListNews,
    TargetNews,
)
from lagoonlever.published import Published
from lagoonlever.revisions import Revision
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

BEHIND_S = 0.25
"""A push or the store tells a change this soon; only then a VM asks another."""
ASK_EVERY_S = 0.3


@attrs.define(kw_only=True, eq=False)
class KnowledgeExchange:
    """Pushes, asks and answers."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _roles: Published[Roles | None]
    _own_bus: Address
    _behind_since: float | None = None
    _asked_at: float = float("-inf")

    async def run(self) -> None:
        """Exchange what is known until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_states)
            nursery.start_soon(self._receive_digests)
            nursery.start_soon(self._receive_configurations)
            nursery.start_soon(self._receive_targets)
            nursery.start_soon(self._receive_lists)
            nursery.start_soon(self._receive_asks)
            nursery.start_soon(self._receive_knowledge)

    def push_configuration(self) -> None:
        """Tell the others of the configuration that was just read."""
        value = self._beliefs.configuration_value
        if value is not None:
            news = ConfigurationNews(version=self._beliefs.version, value=pack(value))
            self.push(news)

    def push_targets(self, changes: tuple[TargetChange, ...], *, after: Revision) -> None:
        """Tell the others what changed in the list since a revision."""
        as_of = self._beliefs.targets.as_of
        self.push(TargetNews(changes=changes, after=after, as_of=as_of))

    def push_list(self) -> None:
        """Tell the others the whole list, as the store has come back from an older copy.

        What changed tells too little: they may know of targets of the lost seconds that this
        VM has never heard of. And each would ask for the whole list otherwise.
        """
        self.push(self._list_news())

    def _list_news(self) -> TargetListNews:
        targets = self._beliefs.targets
        value = pack(msgspec.msgpack.encode(targets.targets))
        return TargetListNews(value=value, as_of=targets.as_of)

    def ask(self, address: Address) -> None:
        """Ask a VM for what it knows better."""
        ask = KnowledgeAsk(
            reply_to=self._own_bus,
            configuration=self._beliefs.version,
            list_revision=self._beliefs.targets.as_of,
        )
        self._bus.send(address, ask)

    def push(self, news: object) -> None:
        """Tell the others what this VM has read, itself or through hubs elsewhere."""
        roles = self._roles.value
        receivers = push_recipients(
            self._beliefs.fellows.states,
            data_center=self._data_center,
            far_hubs=roles.other_hubs if roles is not None else (),
        )
        self._bus.send_to_all((fellow.bus for fellow in receivers), news)

    def pass_on(self, news: object, source: str) -> None:
        """Tell the VMs nearby what another VM told and was new here, where that is a hub's part."""
        roles = self._roles.value
        receivers = forward_recipients(
            self._beliefs.fellows.states,
            data_center=self._data_center,
            source=source,
            is_hub=roles is not None and roles.is_hub,
        )
        if receivers:
            self._bus.send_to_all((fellow.bus for fellow in receivers), news)

    @property
    def _data_center(self) -> str:
        return self._beliefs.book.data_center

    async def _receive_states(self) -> None:
        async for received in self._bus.subscribe(PeerState):
            self._compare(received.message)

    async def _receive_digests(self) -> None:
        async for received in self._bus.subscribe(FellowDigests):
            for digest in received.message.digests:
                for state in digest.news:
                    self._compare(state)

    def _compare(self, state: PeerState) -> None:
        """Ask a VM that knows more, once a push had time to tell."""
        now = self._timers.now
        targets = self._beliefs.targets
        if state.configuration <= self._beliefs.version and state.list_revision <= targets.as_of:
            if self._behind_since is not None and now - self._behind_since > 2 * BEHIND_S:
                self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if self._beliefs.version and now - self._behind_since < BEHIND_S:
            return
        if now - self._asked_at < ASK_EVERY_S:
            return
        self._asked_at = now
        self.ask(state.bus)

    async def _receive_configurations(self) -> None:
        async for received in self._bus.subscribe(ConfigurationNews):
            news, source = received.message, received.sender.name
            if news.version > self._beliefs.version and self._take_configuration(
                news.value, source
            ):
                self.pass_on(news, source)

    async def _receive_targets(self) -> None:
        async for received in self._bus.subscribe(TargetNews):
            self._take_targets(received)

    def _take_targets(self, received: Received[TargetNews]) -> None:
        """Apply changes that follow what is known; ask for the whole list after a gap."""
        news, targets = received.message, self._beliefs.targets
        if news.after > targets.as_of:
            address = self._address_of(received.sender)
            if address is not None:
                self.ask(address)
            return
        counting = [change for change in news.changes if self._learner.take_change(change)]
        targets.advance_to(news.as_of)
        if counting:
            self.pass_on(news, received.sender.name)

    async def _receive_lists(self) -> None:
        async for received in self._bus.subscribe(TargetListNews):
            self._take_list(received)

    def _take_list(self, received: Received[TargetListNews]) -> None:
        """Take a whole list that is newer, and pass it on."""
        news, source = received.message, received.sender.name
        if news.as_of <= self._beliefs.targets.as_of:
            return
        try:
            targets = msgspec.msgpack.decode(unpack(news.value), type=tuple[ListedTarget, ...])
        except (UnreadablePack, msgspec.MsgspecError, RecursionError) as error:
            events.TARGETS_UNREADABLE.log(log, error=f"from {source}: {error}")
            return
        self._learner.take_list(targets, revision=news.as_of, source=source)
        self.pass_on(news, source)

    async def _receive_asks(self) -> None:
        async for received in self._bus.subscribe(KnowledgeAsk):
            self._answer(received.message)

    def _answer(self, ask: KnowledgeAsk) -> None:
        beliefs = self._beliefs
        newer = beliefs.version > ask.configuration
        newer_list = beliefs.targets.as_of > ask.list_revision
        if not newer and not newer_list:
            return
        answer = Knowledge(
            configuration=pack(beliefs.configuration_value or b"") if newer else None,
            targets=beliefs.targets.targets if newer_list else None,
            list_revision=beliefs.targets.as_of,
        )
        self._bus.send(ask.reply_to, answer)

    async def _receive_knowledge(self) -> None:
        async for received in self._bus.subscribe(Knowledge):
            known, source = received.message, received.sender.name
            if known.configuration is not None:
                self._take_configuration(known.configuration, source)
            if known.targets is not None:
                self._learner.take_list(known.targets, revision=known.list_revision, source=source)

    def _take_configuration(self, packed: bytes, source: str) -> bool:
        """Put a configuration that a VM told in force if it is newer; return whether it did."""
        try:
            value = unpack(packed)
        except UnreadablePack as error:
            events.CONFIGURATION_UNREADABLE.log(log, error=f"from {source}: {error}")
            return False
        return self._learner.take_configuration(value, source=source)

    def _address_of(self, life: Incarnation) -> Address | None:
        state = self._beliefs.fellows.find(life.name)
        return state.bus if state is not None and state.life == life else None
