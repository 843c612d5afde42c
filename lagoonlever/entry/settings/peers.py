"""Exchanges versions of the settings with peers: news when one is new, and asks.

News and asks may be lost: each VM asks one random peer every few seconds, and
whoever of the two is behind takes the tree from the other.
"""

from __future__ import annotations

import random

import attrs
import trio

from lagoonlever.codec import UnknownMessage
from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.settings.settings_version import SettingsVersionOptions
from lagoonlever.entry.settings.state import SettingsState
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_settings import SettingsAnswer, SettingsAsk, SettingsNews
from lagoonlever.published import Published
from lagoonlever.tree.head import unpack_tree

ROUND_ASK_PERIOD_S = 0.25
"""How soon a VM that starts or wakes asks its peers again; doubles up to the usual period."""
ROUND_PEERS = 8
FETCH_S = 0.25
"""How long one peer is given to send a version before another is asked for it."""
ASKS_KEPT = 512


@attrs.define(kw_only=True, eq=False)
class SettingsPeers:
    """Tells peers of the versions that come through ``new``, and asks them for theirs."""

    _bus: Bus
    _state: SettingsState
    _members: Published[MemberView]
    _options: SettingsVersionOptions
    _random: random.Random
    _new: trio.MemoryReceiveChannel[int]
    _asks: dict[int, float] = attrs.field(factory=dict, init=False)
    _fetched_version: int = attrs.field(default=-1, init=False)
    _fetch_until: float = attrs.field(default=0.0, init=False)
    _last_ask: int = attrs.field(default=0, init=False)

    def others(self) -> list[Member]:
        """Give all members but this VM, also those that seem dead."""
        own = self._bus.own.name
        return [member for member in self._members.value.members if member.name != own]

    def survey(self, version: int) -> None:
        """Ask every reachable peer that has not told to have a version."""
        for member in self._reachable():
            if not self._state.table.has(member.incarnation, version):
                self._ask(member.peers)

    async def run(self) -> None:
        """Ask and answer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._take_news, self._bus.subscribe(SettingsNews))
            nursery.start_soon(self._take_asks, self._bus.subscribe(SettingsAsk))
            nursery.start_soon(self._take_answers, self._bus.subscribe(SettingsAnswer))
            nursery.start_soon(self._tell_new)
            nursery.start_soon(self._ask_in_turn)

    async def _tell_new(self) -> None:
        async for version in self._new:
            self._tell(version)

    async def _ask_in_turn(self) -> None:
        usual_s = self._options.ask_period_s
        round_s = ROUND_ASK_PERIOD_S
        while True:
            in_round = self._state.in_round
            for member in self._sample(ROUND_PEERS if in_round else 1):
                self._ask(member.peers)
            await self._state.sleep(
                self._random.uniform(0.8, 1.2) * (round_s if in_round else usual_s)
            )
            # A whole fleet that starts in an outage must not drown in its asks.
            round_s = min(2 * round_s, usual_s) if in_round else ROUND_ASK_PERIOD_S

    async def _take_news(self, news: trio.MemoryReceiveChannel[Received[SettingsNews]]) -> None:
        async for received in news:
            message = received.message
            self._state.table.note(received.sender, message.version)
            self._fetch(message.version, message.reply_to)

    async def _take_asks(self, asks: trio.MemoryReceiveChannel[Received[SettingsAsk]]) -> None:
        async for received in asks:
            ask = received.message
            self._state.table.note(received.sender, ask.version)
            self._bus.send(ask.reply_to, self._answer_to(ask), expected=received.sender)
            if ask.version is not None:
                self._fetch(ask.version, ask.reply_to)

    async def _take_answers(
        self, answers: trio.MemoryReceiveChannel[Received[SettingsAnswer]]
    ) -> None:
        async for received in answers:
            self._take_answer(received)

    def _answer_to(self, ask: SettingsAsk) -> SettingsAnswer:
        version = self._state.version
        ahead = version is not None and (ask.version is None or version > ask.version)
        return SettingsAnswer(
            number=ask.number,
            version=version,
            age_s=self._state.age_s,
            tree=self._state.packed_tree if ahead else None,
        )

    def _take_answer(self, received: Received[SettingsAnswer]) -> None:
        answer = received.message
        asked_at = self._asks.pop(answer.number, None)
        if asked_at is None:
            return
        self._state.table.note(received.sender, answer.version)
        if answer.version is not None and answer.tree is not None:
            self._take_tree(answer.version, answer.tree, source=received.sender.name)
        self._state.decision.on_peer_answer(
            version=answer.version,
            age_s=answer.age_s,
            asked_at=asked_at,
            now=self._state.now,
        )

    def _take_tree(self, version: int, packed: bytes, *, source: str) -> None:
        try:
            tree = unpack_tree(packed)
        except UnknownMessage as error:
            self._state.tell_unreadable(version, source, str(error))
            return
        if self._state.adopt(version, tree, source=source):
            self._tell(version)

    def _tell(self, version: int) -> None:
        self._state.table.forget_all_but(self._members.value)
        news = SettingsNews(version=version, reply_to=self._bus.address)
        for member in self._sample(self._options.fanout):
            self._bus.send(member.peers, news)

    def _fetch(self, version: int, to: Address) -> None:
        """Ask a peer for a version that is new here, unless that was just asked for.

        News of one change come from many peers at once, and each answer holds
        the whole tree.
        """
        if not self._state.decision.is_newer(version):
            return
        if version <= self._fetched_version and self._state.now < self._fetch_until:
            return
        self._fetched_version = version
        self._fetch_until = self._state.now + FETCH_S
        self._ask(to)

    def _ask(self, to: Address) -> None:
        self._last_ask += 1
        self._asks[self._last_ask] = self._state.now
        while len(self._asks) > ASKS_KEPT:
            del self._asks[next(iter(self._asks))]
        version, own = self._state.version, self._bus.address
        self._bus.send(to, SettingsAsk(number=self._last_ask, version=version, reply_to=own))

    def _reachable(self) -> list[Member]:
        own = self._bus.own.name
        return [member for member in self._members.value.reachable if member.name != own]

    def _sample(self, count: int) -> list[Member]:
        peers = self._reachable() or self.others()
        return self._random.sample(peers, min(count, len(peers)))
