"""Asks the VM that counts the requests to a target, and answers for targets counted here."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.targets.limit_permits import (
    MAX_MISSES,
    MIN_RATE_PER_S,
    STAND_IN_SHARE,
    Denied,
    Granted,
    PermitBuckets,
    PermitOutcome,
    SilentVms,
    limit_coordinators,
)
from lagoonlever.decisions.targets.reported_limits import LimitReport, ReportedLimits
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.questions import Questions
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_limits import PermitAsk, PermitTold, WordTold
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ANSWER_S = 0.05
"""Another VM answers within some milliseconds; one that takes longer is starting, busy or gone."""
UNSURE_S = 0.1
"""Until a VM that got no permit, as views differ or an answer is missing, asks again."""
PROBE_NEED = 1e6
"""More than is ever saved: a question that takes no permit."""
PROBE_EVERY_S = 0.3
"""Between two probes of the VM that counts, by the one that may have to stand in."""


@attrs.define(kw_only=True, eq=False)
class PermitExchange:
    """Permits are soft: one that is lost on its way is a request that is not sent."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _vm: str
    """This VM's name."""
    _leaving: Callable[[], bool]
    _named: ReportedLimits
    _book: PermitBuckets = attrs.field(factory=PermitBuckets)
    _silent: SilentVms = attrs.field(factory=SilentVms)
    _probed_at: dict[str, float] = attrs.field(factory=dict)
    """When this VM last asked whether another one answers."""
    _questions: Questions = attrs.field(init=False)

    @_questions.default
    def _make_questions(self) -> Questions:
        return Questions(bus=self._bus)

    async def run(self) -> None:
        """Answer other VMs, and take their answers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_asks, nursery)
            nursery.start_soon(self._questions.receive, PermitTold)

    async def ask(self, target: str, word: LimitReport, *, need: float) -> PermitOutcome:
        """Return whether one request may be sent to a target that names a limit."""
        counter, stand_in = self._counters(target)
        if counter is None:
            return Denied(wait_s=UNSURE_S)
        if counter == self._vm:
            return self._decide(target, need)
        outcome = await self._ask_vm(counter, target, word, need)
        if outcome is not None:
            return outcome
        if stand_in == self._vm:
            return self._stand_in(counter, target, need)
        if stand_in is not None:
            outcome = await self._ask_vm(stand_in, target, word, need)
        return outcome or Denied(wait_s=UNSURE_S)

    async def _ask_vm(
        self, vm: str, target: str, word: LimitReport, need: float
    ) -> PermitOutcome | None:
        """Return what another VM decides; None where it doesn't answer."""
        state = self._beliefs.fellows.find(vm)
        if state is None:
            return None

        def question(number: int) -> PermitAsk:
            told = self.told(target, word)
            return PermitAsk(number=number, reply_to=self._bus.address, word=told, need=need)

        answer = await self._questions.ask(state.bus, question, PermitTold, timeout_s=ANSWER_S)
        if answer is None:
            self._silent.record_miss(vm, self._timers.now)
            events.COUNTER_SILENT.log(log, vm=vm, target=target, seconds=ANSWER_S)
            return None
        self._silent.record_answer(vm)
        if answer.word is not None:
            self.learn(answer.word)
        return answer.outcome

    def counter(self, target: str) -> str | None:
        """Return the VM that counts for a target; None while this one hardly knows the others."""
        return self._counters(target)[0]

    def _counters(self, target: str) -> tuple[str | None, str | None]:
        """Return the VM that counts for a target, and the one that stands in if it is silent."""
        if self._roles.value is None:
            return None, None
        present = self._beliefs.fellows.present(self._timers.now)
        names = [fellow.life.name for fellow in present if not fellow.leaving]
        if not names or not self._leaving():
            names.append(self._vm)
        counter, *others = limit_coordinators(target, names)
        return counter, others[0] if others else None

    def learn(self, told: WordTold) -> bool:
        """Apply what another VM tells of a target; return whether the limit changes."""
        target = self._beliefs.targets.find(told.target)
        if target is None or target.is_later_than(told.started_ms):
            return False
        return self._named.update(told.target, told.word(self._timers.now))

    def told(self, target: str, word: LimitReport) -> WordTold:
        """Return the message of a word that this VM has."""
        started_ms = self._beliefs.targets.process_start(target)
        return WordTold.of(target, word, started_ms=started_ms, now=self._timers.now)

    def begin(self, target: str) -> None:
        """Begin to save permits for a target."""
        self._book.begin(target, self._timers.now)

    def forget(self, target: str) -> None:
        """Drop the count of a target whose limit has ended, or whose process is another one."""
        self._book.forget(target)

    def retain(self) -> None:
        """Drop the counts of targets that name no limit."""
        self._book.retain(self._named.in_force)
        present = self._beliefs.fellows.present(self._timers.now)
        names = frozenset(fellow.life.name for fellow in present)
        self._silent.retain(names)
        self._probed_at = {vm: at for vm, at in self._probed_at.items() if vm in names}

    def _decide(self, target: str, need: float) -> PermitOutcome:
        word = self._named.current(target)
        if word is None or word.per_s is None:
            return Granted(counted=False)
        return self._book.acquire(target, per_s=word.per_s, need=need, now=self._timers.now)

    def _stand_in(self, counter: str, target: str, need: float) -> PermitOutcome:
        """Decide for a VM that is silent here, too, and may count on for itself and others."""
        if not self._silent.is_silent(counter, self._timers.now):
            return Denied(wait_s=UNSURE_S)
        word = self._named.current(target)
        if word is None or word.per_s is None:
            return Granted(counted=False)
        per_s = STAND_IN_SHARE * word.per_s
        if per_s < MIN_RATE_PER_S:
            return Denied(wait_s=UNSURE_S)
        return self._book.acquire(target, per_s=per_s, need=need, now=self._timers.now)

    async def _probe(self, counter: str, target: str) -> None:
        """Ask the VM that counts for no permit, until it answers or is known to be silent."""
        for _ in range(MAX_MISSES):
            word = self._named.latest(target)
            if word is None or await self._ask_vm(counter, target, word, PROBE_NEED) is not None:
                return

    async def _receive_asks(self, nursery: trio.Nursery) -> None:
        async for received in self._bus.subscribe(PermitAsk):
            self._answer(received.message, nursery)

    def _answer(self, asked: PermitAsk, nursery: trio.Nursery) -> None:
        """Decide for another VM, unless this one takes a third to count.

        As the one that stands in it first finds by itself that the third is silent.
        """
        target = asked.word.target
        self.learn(asked.word)
        outcome: PermitOutcome = Denied(wait_s=UNSURE_S)
        now = self._timers.now
        counter, stand_in = self._counters(target)
        if counter == self._vm:
            outcome = self._decide(target, asked.need)
        elif counter is not None and stand_in == self._vm:
            outcome = self._stand_in(counter, target, asked.need)
            if now - self._probed_at.get(counter, float("-inf")) >= PROBE_EVERY_S:
                self._probed_at[counter] = now
                nursery.start_soon(self._probe, counter, target)
        word = self._named.latest(target)
        told = self.told(target, word) if word is not None else None
        self._bus.send(asked.reply_to, PermitTold.of(asked.number, outcome, told))
