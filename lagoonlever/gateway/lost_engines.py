"""Finds out whether engines that were lost have crashed, or are only out of reach."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.answer_stages import CrashWeights
from lagoonlever.decisions.engines.crash_evidence import Fate, LossSigns, judge_loss
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.target_crashes import process_name
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.http.messages import Address
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ASK_AGAIN_S = 0.08
"""Between two questions; each may lead by other VMs than the one before."""
SOUGHT_S = 5.0
"""After which a loss of unknown cause counts against nobody: an engine that crashed is back within
some seconds, and its entry has lapsed."""


EVIDENCE_WAIT_S = 1.0
"""How long a request whose engine may have crashed waits before it goes on."""


@attrs.frozen(kw_only=True, eq=False)
class Loss:
    """An engine that was lost under a request at a time, and may have crashed."""

    accepted: Accepted
    engine: ListedTarget
    weights: CrashWeights
    """How much its crash would count."""
    sent_at: float
    at: float
    judged: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(kw_only=True, eq=False)
class LostEngines:
    """Asks an engine again and again, by whichever VMs reach it.

    Once for each process, however many requests were lost with it.
    """

    _prober: EngineProber
    _dialer: TargetDialer
    _is_down: Callable[[Address], Awaitable[bool]]
    """Checks whether this VM reaches other targets, and not the one at an address."""
    _beliefs: Beliefs
    _suspects: CrashSuspects
    _timers: TimerService
    _crashed: Callable[[Loss], Awaitable[None]]
    """Called with each loss that was a crash."""
    _nursery: trio.Nursery | None = None
    _pending: dict[str, list[Loss]] = attrs.field(factory=dict)
    """The losses that are not judged yet, by the process that was lost."""

    async def run(self) -> None:
        """Judge losses, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def judge(self, loss: Loss, *, after_s: float = 0.0) -> None:
        """Judge a loss beside other work, or in a while."""
        if self._nursery is None:
            return
        if after_s:
            self._nursery.start_soon(self._judge_later, loss, after_s)
            return
        process = process_name(loss.engine.id, loss.engine.started_ms)
        pending = self._pending.get(process)
        if pending is not None:
            pending.append(loss)
            return
        self._pending[process] = [loss]
        self._nursery.start_soon(self._judge, process, loss.engine, self._nursery)

    def record_gone(self, loss: Loss) -> None:
        """Record a loss whose engine is known to have crashed."""
        if self._nursery is not None:
            self._nursery.start_soon(self._tell, loss, Fate.GONE)

    async def wait_judged(self, loss: Loss) -> None:
        """Judge a loss, and wait a moment for that.

        So its request does not go on to the next engine as if nothing had happened. The search for
        evidence goes on without it.
        """
        if self._nursery is None:
            return
        self.judge(loss)
        with trio.move_on_after(EVIDENCE_WAIT_S):
            await loss.judged.wait()

    async def _judge_later(self, loss: Loss, after_s: float) -> None:
        await trio.sleep(after_s)
        self.judge(loss)

    async def _judge(self, process: str, engine: ListedTarget, nursery: trio.Nursery) -> None:
        """Ask for an engine's process until all its losses are judged."""
        closed = 0
        try:
            while self._pending[process]:
                asked_at = self._timers.now
                report = await self._prober.ask(engine, since=asked_at)
                closed = closed + 1 if self._prober.has_broken(engine.id) else 0
                is_down = report is None and await self._is_down(engine.address)
                fate = judge_loss(self._signs(engine, report, closed=closed, is_down=is_down))
                self._settle(process, fate, asked_at=asked_at, nursery=nursery)
                if self._pending[process]:
                    await trio.sleep(ASK_AGAIN_S)
        finally:
            del self._pending[process]

    def _settle(self, process: str, fate: Fate, *, asked_at: float, nursery: trio.Nursery) -> None:
        """Judge the losses that an answer is of use for, and give up those that wait too long."""
        pending, now = self._pending[process], self._timers.now
        for loss in list(pending):
            own_fate = fate
            if fate is Fate.LIVES and loss.at > asked_at:
                # It may have answered before the loss.
                own_fate = Fate.UNKNOWN
            if own_fate is Fate.UNKNOWN and now - loss.at < SOUGHT_S:
                continue
            pending.remove(loss)
            nursery.start_soon(self._tell, loss, own_fate)

    async def _tell(self, loss: Loss, fate: Fate) -> None:
        events.LOSS_JUDGED.log(
            log,
            request=loss.accepted.request_id,
            target=loss.engine.id,
            fate=fate.value,
            seconds=self._timers.now - loss.at,
            weight=loss.weights.request,
            parts_weight=loss.weights.parts,
        )
        try:
            if fate is Fate.GONE:
                await self._crashed(loss)
        finally:
            loss.judged.set()

    def _signs(
        self, engine: ListedTarget, report: EngineReport | None, *, closed: int, is_down: bool
    ) -> LossSigns:
        targets, now = self._beliefs.targets, self._timers.now
        listed = targets.find(engine.id)
        process = process_name(engine.id, engine.started_ms)
        return LossSigns(
            answers=report is not None,
            is_other_process=is_other_process(engine, report)
            or (listed is not None and listed.has_restarted_since(engine.started_ms)),
            takes_no_connection=is_down or self._dialer.is_down(engine.address),
            closed_connections=closed,
            is_replaced=targets.is_address_taken(engine.id),
            is_reported=self._suspects.has_crashed(process, now),
        )


def is_other_process(engine: ListedTarget, report: EngineReport | None) -> bool:
    """Check whether a report is of another process than the one that a request was sent to."""
    if report is None or report.started_ms is None or engine.started_ms is None:
        return False
    return report.started_ms != engine.started_ms
