"""Roll-outs on one VM: orders, what is allowed now, and the counts of what versions answer.

Permission to use a version on trial comes with the words of the VM that leads the roll-out, and
lapses: a VM that hears none for a second sends it nothing more.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs
import logbook

from lagoonlever.decisions.rollouts.totals import Lane
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.knowledge import KnowledgeExchange
from lagoonlever.gateway.rollout_tally import RolloutTally
from lagoonlever.gateway.standstills import Standstills
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_rollouts import RolloutWord
from lagoonlever.revisions import Revision
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

WORD_S = 0.2
"""Between two words of who leads, and two counts of a VM."""
FRESH_S = 1.0
"""How long a word holds: four may be lost."""
MAX_ENTRIES = 16
"""Entries of earlier orders that are remembered of a service; a copy holds one of the last."""


@attrs.frozen(kw_only=True)
class _Heard:
    word: RolloutWord
    at: float


@attrs.frozen(kw_only=True)
class OrderEntry:
    """An order as it was written once; a copy of the store has it by the same number."""

    order: RolloutOrder
    number: int


@attrs.define(kw_only=True, eq=False)
class Rollout:
    """One order, as this VM knows it; times are seconds of the monotonic clock."""

    tally: RolloutTally
    began_at: float | None
    """When it was ordered; None where this VM can't know."""
    shares: dict[str, float] = attrs.field(factory=dict)
    former: tuple[OrderEntry, ...] = ()
    """The entries of earlier orders of the service, which an older copy of the store may list."""
    _numbers: set[int] = attrs.field(factory=set)
    """The numbers of the revisions before the present one, by which the order was known."""
    _heard: dict[str, _Heard] = attrs.field(factory=dict)

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self.tally.order

    @property
    def entries(self) -> tuple[OrderEntry, ...]:
        """The entries of earlier orders and of this one, the last ones only."""
        numbers = sorted({*self._numbers, self.tally.ordered_at.number})
        own = tuple(OrderEntry(order=self.order, number=number) for number in numbers)
        return (*self.former, *own)[-MAX_ENTRIES:]

    def follow(self, ordered_at: Revision) -> None:
        """Record a later revision of the order, which was written again."""
        self._numbers.add(self.tally.ordered_at.number)
        self.tally.ordered_at = max(self.tally.ordered_at, ordered_at)

    def is_former(self, order: RolloutOrder, ordered_at: Revision) -> bool:
        """Check whether an order is an earlier one, which an older copy of the store lists."""
        if ordered_at.era <= self.tally.ordered_at.era:
            return False
        return OrderEntry(order=order, number=ordered_at.number) in self.former

    def hear(self, word: RolloutWord, source: str, now: float) -> None:
        """Record the word of a VM that leads."""
        self._heard[source] = _Heard(word=word, at=now)
        began_at = now - word.elapsed_s
        self.began_at = began_at if self.began_at is None else min(self.began_at, began_at)

    def leader(self, now: float) -> tuple[str, RolloutWord] | None:
        """Return whose word holds: of those that were heard of late, the first by name."""
        fresh = [name for name, heard in self._heard.items() if now - heard.at <= FRESH_S]
        if not fresh:
            return None
        return min(fresh), self._heard[min(fresh)].word


@attrs.define(kw_only=True, eq=False)
class Rollouts:
    """What those who serve requests ask, and tell, of versions that are being rolled out."""

    _bus: Bus
    _beliefs: Beliefs
    _knowledge: KnowledgeExchange
    _timers: TimerService
    _rng: random.Random
    _known: dict[str, Rollout] = attrs.field(factory=dict)
    """By service."""
    _shut_out: set[str] = attrs.field(factory=set)
    """Services none of whose targets may be used, though some would take work."""
    _standstills: Standstills = attrs.field(init=False)

    @_standstills.default
    def _make_standstills(self) -> Standstills:
        return Standstills(timers=self._timers)

    @property
    def known(self) -> tuple[Rollout, ...]:
        """The last order of each service."""
        return tuple(self._known.values())

    def find(self, service: str) -> Rollout | None:
        """Return the last order of a service, or None."""
        return self._known.get(service)

    def state_of(self, rollout: Rollout) -> RolloutState:
        """Return what became of a roll-out."""
        return self._beliefs.targets.versions_of(rollout.order.service).state

    def phase_of(self, rollout: Rollout) -> RolloutPhase:
        """Return what a new version gets at this VM now."""
        return self._phase(rollout.order.service)

    async def run(self) -> None:
        """Receive words until cancelled."""
        ticks = self._timers.subscribed(self._on_tick, period_s=WORD_S)
        with self._standstills.watched(), ticks:
            async for received in self._bus.subscribe(RolloutWord):
                word, source = received.message, received.sender.name
                self.take_word(word, source)
                self._correct(word, source)
                self._knowledge.pass_on(word, source)

    def take_order(self, order: RolloutOrder, ordered_at: Revision, *, witnessed: bool) -> None:
        """Record an order from the store; ``witnessed`` tells that it was given just now.

        One that is written again after the store has come back from an older copy, in the same
        words, is none. Neither is one that was given before the known one, and that the copy has.
        """
        known = self._known.get(order.service)
        if known is not None and known.is_former(order, ordered_at):
            return
        if known is not None:
            same_words = known.order == order and known.tally.ordered_at.era < ordered_at.era
            if same_words or ordered_at <= known.tally.ordered_at:
                known.follow(ordered_at)
                return
        self._begin(order, ordered_at, self._timers.now if witnessed else None)

    def take_word(self, word: RolloutWord, source: str) -> None:
        """Record the word of a VM that leads, also of an order that this VM hasn't read."""
        now = self._timers.now
        known = self._known.get(word.service)
        order = RolloutOrder(service=word.service, version=word.version, duration_s=word.duration_s)
        if known is not None and known.is_former(order, word.ordered_at):
            return
        if known is None or (known.order != order and known.tally.ordered_at < word.ordered_at):
            known = self._begin(order, word.ordered_at, now - word.elapsed_s)
        elif known.order != order or word.ordered_at < known.tally.ordered_at:
            return
        elif known.tally.ordered_at.era < word.ordered_at.era:
            known.follow(word.ordered_at)
        elif known.tally.ordered_at < word.ordered_at:
            known = self._begin(order, word.ordered_at, now - word.elapsed_s)
        if word.state.is_final:
            self.decided(known, word.state, source=source)
            return
        known.hear(word, source, now)
        self._apply(known, now)

    def tell_known(self, rollout: Rollout, to: str) -> None:
        """Report what is known of an order to a VM: when it was given, or how it has ended."""
        fellow, state = self._beliefs.fellows.find(to), self.state_of(rollout)
        if fellow is not None and (state.is_final or rollout.began_at is not None):
            self._bus.send(fellow.bus, self.word(rollout, state=state))

    def word(
        self,
        rollout: Rollout,
        *,
        state: RolloutState,
        phase: RolloutPhase = RolloutPhase.HELD,
        shares: dict[str, float] | None = None,
    ) -> RolloutWord:
        """Return a word on an order."""
        now = self._timers.now
        return RolloutWord(
            service=rollout.order.service,
            version=rollout.order.version,
            duration_s=rollout.order.duration_s,
            ordered_at=rollout.tally.ordered_at,
            elapsed_s=now - (rollout.began_at or now),
            phase=phase,
            state=state,
            shares=shares or {},
        )

    def decided(self, rollout: Rollout, state: RolloutState, *, source: str) -> None:
        """Act on a final status."""
        versions = self._beliefs.targets.versions_of(rollout.order.service)
        if not state.is_final or versions.state.is_final or versions.order != rollout.order:
            return
        versions.apply_state(state)
        events.ROLLOUT_DECIDED.log(
            log,
            service=rollout.order.service,
            version=rollout.order.version,
            state=state.value,
            source=source,
        )

    def arrives(self, service: str, route: str) -> bool:
        """Count a request; return whether it goes to a version on trial."""
        rollout = self._open(service)
        if rollout is None:
            return False
        rollout.tally.arrived(route)
        if self._phase(service) is not RolloutPhase.TRIAL:
            return False
        return self._rng.random() < rollout.shares.get(route, 0.0)

    def sent(self, target: ListedTarget, kind: str) -> Lane | None:
        """Count an attempt; gives under which lane its answer is to be counted."""
        rollout = self._open(target.service)
        if rollout is None:
            return None
        if target.version != rollout.order.version:
            return (kind, None)
        rollout.tally.sent_to_new()
        return (kind, self._phase(target.service))

    def answered(self, service: str, lane: Lane | None, seconds: float, *, pieces: int = 1) -> None:
        """Count a good answer of a target, which came just now in so many pieces.

        The time in which this process itself stood still says nothing of the target. While all
        work goes to a new version, no answers of the former one would show that delay.
        """
        rollout = self._open(service)
        if rollout is None or lane is None:
            return
        still_s = self._standstills.seconds_since(self._timers.now - seconds)
        rollout.tally.answered(lane, max(0.0, seconds - still_s) / pieces)

    def failed(self, service: str, lane: Lane | None) -> None:
        """Count a failure of a target that lives."""
        rollout = self._open(service)
        if rollout is not None and lane is not None:
            rollout.tally.failed(lane)

    def _correct(self, word: RolloutWord, source: str) -> None:
        """Report to a VM that leads what it lacks, as it has just started and read the order."""
        rollout = self._known.get(word.service)
        if rollout is None or word.state.is_final or rollout.order.version != word.version:
            return
        led_from = self._timers.now - word.elapsed_s
        knows_earlier = rollout.began_at is not None and rollout.began_at + FRESH_S < led_from
        if knows_earlier or self.state_of(rollout).is_final:
            self.tell_known(rollout, source)

    def _begin(self, order: RolloutOrder, ordered_at: Revision, began_at: float | None) -> Rollout:
        known = self._known.get(order.service)
        rollout = Rollout(
            tally=RolloutTally(order=order, ordered_at=ordered_at),
            began_at=began_at,
            former=known.entries if known is not None else (),
        )
        self._known[order.service] = rollout
        self._beliefs.targets.apply_order(order)
        events.ROLLOUT_ORDERED.log(
            log,
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            revision=ordered_at,
        )
        return rollout

    def _open(self, service: str) -> Rollout | None:
        """Return the undecided roll-out of a service, if there is one."""
        rollout = self._known.get(service)
        if rollout is None or self.state_of(rollout).is_final:
            return None
        return rollout

    def _phase(self, service: str) -> RolloutPhase:
        return self._beliefs.targets.versions_of(service).phase

    def _on_tick(self, tick: Tick) -> None:
        for rollout in self._undecided():
            self._apply(rollout, tick.now)
            self._tell_counts(rollout, tick.now)
        for rollout in self.known:
            self._note_shut_out(rollout.order)

    def _note_shut_out(self, order: RolloutOrder) -> None:
        """Log that a service has come to be served by nobody because of a verdict, or is again."""
        targets = self._beliefs.targets.count_blocked_by_version(order.service)
        if bool(targets) == (order.service in self._shut_out):
            return
        if targets:
            self._shut_out.add(order.service)
            events.SERVICE_SHUT_OUT.log(
                log, service=order.service, version=order.version, targets=targets
            )
            return
        self._shut_out.discard(order.service)
        events.SERVICE_SERVED_AGAIN.log(log, service=order.service)

    def _undecided(self) -> Iterable[Rollout]:
        return [rollout for rollout in self.known if not self.state_of(rollout).is_final]

    def _apply(self, rollout: Rollout, now: float) -> None:
        """Do what the word that holds says; without one the new version gets nothing."""
        leader = rollout.leader(now)
        versions = self._beliefs.targets.versions_of(rollout.order.service)
        former = versions.phase
        versions.phase = leader[1].phase if leader is not None else RolloutPhase.HELD
        rollout.shares = leader[1].shares if leader is not None else {}
        if versions.phase is not former:
            events.ROLLOUT_PHASE.log(
                log,
                service=rollout.order.service,
                version=rollout.order.version,
                phase=versions.phase.value,
                source=leader[0] if leader is not None else None,
            )

    def _tell_counts(self, rollout: Rollout, now: float) -> None:
        """Report to who leads what was counted here."""
        leader = rollout.leader(now)
        if leader is None:
            return
        name, _ = leader
        state = self._beliefs.fellows.find(name)
        if state is None:
            return
        news = rollout.tally.news(name, now)
        if news is not None:
            self._bus.send(state.bus, news)
