"""Counts the targets that end under a request, over all VMs, and bars it after the third.

Each end is told to every VM at once and written to the store: by the one a caller that returns
to another VM is refused there, by the other a VM that was cut off, or starts anew, knows too.
"""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections.abc import Callable, Collection, Container, Iterator

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.answer_stages import STARTED, CrashWeights
from lagoonlever.decisions.engines.crash_suspects import Block, CrashSuspects
from lagoonlever.decisions.engines.part_blocks import OpenTrial
from lagoonlever.decisions.engines.part_causes import PartSet, SoundParts
from lagoonlever.decisions.engines.suspect_placement import choose_suspect_engine
from lagoonlever.decisions.engines.suspects import Suspects, part_name, part_suspects
from lagoonlever.decisions.engines.target_crashes import Crash, process_name
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.crash_news import CrashNews
from lagoonlever.gateway.crash_records import CrashRecords
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.doubt_waits import DoubtWaits
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.left_engines import LeftEngines
from lagoonlever.gateway.lost_engines import Loss, LostEngines
from lagoonlever.gateway.open_works import OpenWork, OpenWorks
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.target_client import TargetClient
from lagoonlever.gateway.trial_admission import TrialAdmission
from lagoonlever.gateway.tunnel_desk import TunnelDesk
from lagoonlever.http.exchange import CallerGone
from lagoonlever.http.messages import Address
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_crashes import EndTold, RequestServed, TargetsEnded
from lagoonlever.published import Published
from lagoonlever.store.port import RecordStore
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

RECALL_S = 1.0
"""From the start of a VM until it takes requests at the latest, though the store is away."""
LOOK_PERIOD_S = 0.9
"""How often a VM that hears no other one reads the record: well within the time in which
others are told by messages. A multiple of the time between its own words, for one wake-up."""


@attrs.define(kw_only=True, eq=False)
class CrashWatch:
    """What those who serve requests tell, and ask, of requests that end targets."""

    _own: str
    """This VM's name."""
    _store: RecordStore
    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _spread: HubSpread
    _client: TargetClient
    _prober: EngineProber
    _dialer: TargetDialer
    _tunnel_desk: TunnelDesk
    _tally: Tally
    _rng: random.Random
    _hears_runs: Callable[[], bool]
    """Whether this VM hears of all runs, and not only of crashes, from its hubs."""
    _suspects: CrashSuspects = attrs.field(factory=lambda: CrashSuspects(answers_known=False))
    _sound: SoundParts = attrs.field(factory=SoundParts)
    _trials: TrialAdmission = attrs.field(init=False)
    _records: CrashRecords = attrs.field(init=False)
    _news: CrashNews = attrs.field(init=False)
    _open: OpenWorks = attrs.field(factory=OpenWorks)
    _doubt_waits: DoubtWaits = attrs.field(factory=DoubtWaits)
    _barred: frozenset[str] = frozenset()
    """The requests that were logged as barred."""
    _barred_parts: frozenset[PartSet] = frozenset()
    """The same for parts; those that can't be told apart as one set."""
    _lost_engines: LostEngines = attrs.field(init=False)
    _started: float = attrs.field(factory=trio.current_time)
    _left_engines: LeftEngines = attrs.field(init=False)
    _leaving_changes: int = 0
    """As of which change of the targets that leave their ends are left out."""

    @_lost_engines.default
    def _make_lost_engines(self) -> LostEngines:
        return LostEngines(
            prober=self._prober,
            dialer=self._dialer,
            is_down=self._tunnel_desk.is_down,
            beliefs=self._beliefs,
            suspects=self._suspects,
            timers=self._timers,
            crashed=self._record_crash,
        )

    @_left_engines.default
    def _make_left_engines(self) -> LeftEngines:
        return LeftEngines(
            lost_engines=self._lost_engines,
            beliefs=self._beliefs,
            dialer=self._dialer,
            timers=self._timers,
            has_ends=self._has_ends,
        )

    @_records.default
    def _make_records(self) -> CrashRecords:
        return CrashRecords(
            store=self._store,
            suspects=self._suspects,
            now=lambda: self._timers.now,
            unix_now=time.time,
            rng=self._rng,
            learnt=self._take_news,
        )

    @_trials.default
    def _make_trials(self) -> TrialAdmission:
        return TrialAdmission(
            own=self._own,
            bus=self._bus,
            beliefs=self._beliefs,
            timers=self._timers,
            spread=self._spread,
            given_way=self._take_news,
        )

    @_news.default
    def _make_news(self) -> CrashNews:
        return CrashNews(
            bus=self._bus,
            timers=self._timers,
            spread=self._spread,
            suspects=self._suspects,
            sound=self._sound,
            learnt=self._take_news,
            crashed=lambda crashes: self._left_engines.take_crashes(crashes),
            served=lambda fingerprint: self._records.take_out(fingerprint),
        )

    async def run(self) -> None:
        """Keep the record and take what other VMs tell, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._records.run)
            nursery.start_soon(self._lost_engines.run)
            nursery.start_soon(self._news.receive_ends)
            nursery.start_soon(self._news.receive_served)
            nursery.start_soon(self._trials.run)
            with self._timers.subscribed(self._look, period_s=LOOK_PERIOD_S):
                await trio.sleep_forever()

    async def until_recalled(self) -> None:
        """Wait until this VM knows what all VMs knew before it started, if it has just started."""
        if not self._records.recalled.is_set():
            with trio.move_on_at(self._started + RECALL_S):
                await self._records.recalled.wait()

    async def until_decided(self, accepted: Accepted) -> None:
        """Wait while it is in doubt whether a part of a prompt ends engines.

        One request of the fleet goes on meanwhile. Raises ``CallerGone`` where the caller of this
        one has left: it may not take the one trial that there is, nor be sent after the wait.
        """
        has_waited = False
        with self._doubt_waits.waiting() as wait:
            while self._suspects.crashes:
                self._note_answers()
                doubt = self._suspects.find_doubt(accepted.suspects, self._timers.now)
                if doubt is None or self._would_bar(accepted):
                    break
                if doubt.over_s >= 0 and self._may_try(accepted, doubt):
                    self._trials.admit(accepted, doubt, at_once=True)
                    return
                if not has_waited and not self._doubt_waits.has_any(doubt):
                    self._log_doubted(accepted, doubt)
                has_waited = True
                await wait.until_look(doubt)
        if has_waited and not accepted.exchange.caller_present():
            raise CallerGone

    def _may_try(self, accepted: Accepted, doubt: OpenTrial) -> bool:
        """Check whether a request is the one that may try; raises ``CallerGone``."""
        if self._trials.find_block(accepted, doubt, at_once=True) is not None:
            return False
        if not accepted.exchange.caller_present():
            raise CallerGone
        return True

    def _log_doubted(self, accepted: Accepted, doubt: OpenTrial) -> None:
        events.PART_DOUBTED.log(
            log,
            request=accepted.request_id,
            doubted_part=", ".join(sorted(part_name(part) for part in doubt.parts)),
            ended=doubt.crash_count,
        )

    def is_barred(self, accepted: Accepted) -> bool:
        """Check whether a request may not run now."""
        return self._find_block(accepted) is not None

    def refusal(self, accepted: Accepted) -> NotRun | None:
        """Return what the caller of a barred request is told, or None where it may run."""
        bar = self._find_block(accepted)
        if bar is None:
            return None
        self._tally.add(metrics.BARRED, accepted.route.kind.value)
        cause = f"this request ({accepted.fingerprint})"
        if bar.parts:
            names = ", ".join(sorted(part_name(part) for part in bar.parts))
            cause = f"prompts with the part {names}"
            events.PART_REFUSED.log(log, request=accepted.request_id, barred_part=names)
        return NotRun(
            reason=Reason.ENDS_TARGETS,
            message=f"{bar.crash_count} targets ended under {cause}",
            retry_after_s=bar.remaining_s,
        )

    def ended(self, accepted: Accepted, *, answered: bool) -> None:
        """Record that the work on a request is over, so that another one may try.

        ``answered`` tells that its caller was given an outcome, and has not left.
        """
        self._trials.ended(accepted, answered=answered)

    def is_suspect(self, accepted: Accepted) -> bool:
        """Check whether a target has ended under a request, or several under parts of it."""
        return bool(self._suspects.crashes) and self._suspects.is_suspect(accepted.suspects)

    def gathering_place(
        self, accepted: Accepted, *, avoid: Container[str] = (), version: str | None = None
    ) -> str | None:
        """Return the engine for all that a request is kept together with, or None for any.

        These are its own returns, or all requests that share a part under which targets ended.
        """
        if not self._suspects.crashes:
            return None
        self._note_answers()
        avoidance, now = self._beliefs.book.avoidance, self._timers.now
        gathering = self._suspects.find_gathering(accepted.suspects, now)
        if gathering is None:
            return None
        able = {
            engine.id: process_name(engine.id, engine.started_ms)
            for engine in self._beliefs.targets.serving(accepted.service, version=version)
            if engine.id not in avoid and not avoidance.is_avoided(engine.id, now)
        }
        return choose_suspect_engine(gathering.key, able, crashed=gathering.crashed)

    @contextlib.contextmanager
    def until_barred(self, accepted: Accepted, *, leaves: str | None = None) -> Iterator[None]:
        """Cancel the block once its request is barred, before a queue lets it end one more.

        Also once all its returns go to another engine than the one that it ``leaves`` for that.
        """
        with trio.CancelScope() as scope:
            work = OpenWork(accepted=accepted, scope=scope, leaves=leaves)
            with self._open.holding(work):
                if self._must_end(work):
                    # The news came between the last look and this block.
                    scope.cancel()
                yield

    async def ended_under(
        self,
        accepted: Accepted,
        target: ListedTarget,
        *,
        weights: CrashWeights,
        sent_at: float,
        at: float | None = None,
    ) -> None:
        """Record that a target crashed under a request, and report it to the other VMs.

        One that had ended before the request was sent there is no work of it. ``at`` is when it
        was lost, if that was earlier.

        Waits a moment for the record: a VM that does not hear others learns what they saw
        before it sends the request to the next target.
        """
        process = process_name(target.id, target.started_ms)
        if self._suspects.has_crashed(process, sent_at):
            return
        if not self._note(accepted, target, weights, at=self._timers.now if at is None else at):
            return
        if not self._suspects.has_crashed(process, math.inf):
            return
        barred, barred_parts = self._barred, self._barred_parts
        await self._records.exchange()
        # Nobody told this VM, so those that it hears may not have been told either.
        if accepted.fingerprint in self._barred - barred:
            self._news.tell_kept(accepted.fingerprint)
        for parts in self._barred_parts - barred_parts:
            for part in parts.intersection(accepted.suspects.parts):
                self._news.tell_kept(part)

    async def lost_unproven(
        self,
        accepted: Accepted,
        engine: ListedTarget,
        *,
        weights: CrashWeights,
        sent_at: float,
        waits: bool,
    ) -> None:
        """Record the loss of an engine that may have crashed, or may only be out of reach.

        ``waits`` for a moment until it is known.
        """
        now = self._timers.now
        loss = Loss(accepted=accepted, engine=engine, weights=weights, sent_at=sent_at, at=now)
        if waits:
            await self._lost_engines.wait_judged(loss)
        else:
            self._lost_engines.judge(loss)

    def left(
        self,
        accepted: Accepted,
        engine: ListedTarget,
        *,
        weights: CrashWeights,
        sent_at: float,
        broke_at: float | None,
    ) -> None:
        """Record that an attempt was left, after it had broken or before.

        Its engine may end, or have ended, under it.
        """
        at = self._timers.now if broke_at is None else broke_at
        loss = Loss(accepted=accepted, engine=engine, weights=weights, sent_at=sent_at, at=at)
        self._left_engines.left(loss, is_broken=broke_at is not None)

    def _has_ends(self, accepted: Accepted) -> bool:
        """Check whether a target has ended under a request, or a part that may be the cause."""
        if not self._suspects.crashes:
            return False
        if self._suspects.count_crashes(accepted.fingerprint):
            return True
        unproven = self._sound.unproven(accepted.suspects.parts, self._timers.now)
        return bool(self._suspects.suspected(unproven))

    async def _record_crash(self, loss: Loss) -> None:
        await self.ended_under(
            loss.accepted, loss.engine, weights=loss.weights, sent_at=loss.sent_at, at=loss.at
        )

    async def lost_call(self, accepted: Accepted, target: ListedTarget, *, sent_at: float) -> None:
        """Look whether a target has ended under a call: one that has takes no connection.

        Of any VM that was asked: of this one alone it may be the path that is lost.
        """
        if not await self._client.reaches(target):
            await self.ended_under(accepted, target, weights=STARTED, sent_at=sent_at)

    def served(self, accepted: Accepted) -> None:
        """Record that a target has answered a request whole: it ends no target."""
        self.begun(accepted)
        self._clear(accepted.fingerprint, accepted)

    def begun(self, accepted: Accepted) -> None:
        """Record that an answer flows: neither the request nor the parts it shares end targets."""
        parts = accepted.suspects.parts
        self._sound.record_begin(parts, self._timers.now)
        self._note_answers()
        for suspect in self._suspects.suspected((accepted.fingerprint, *parts)):
            self._clear(suspect, accepted)
        self._trials.ended(accepted, answered=True)

    def learn_begun(self, run: EngineRun) -> None:
        """Record that an answer at another VM has begun, if this VM knows of none yet.

        It counts once its engine has lived on for a while, and later on only whole answers do.
        """
        if not self._suspects.answers_known:
            process = process_name(run.engine, run.engine_started_ms)
            self._sound.record_first_event(process, self._parts_of(run), self._timers.now)

    def learn_sound(self, run: EngineRun) -> None:
        """Record that a run of any VM was answered whole, and so the parts that it shares."""
        self._learn_sound(self._parts_of(run))

    def _learn_sound(self, parts: tuple[str, ...]) -> None:
        now = self._timers.now
        self._sound.record_begin(parts, now)
        self._note_answers()
        for part in self._suspects.suspected(parts):
            # Every VM that hears of runs finds this by itself.
            self._suspects.record_answer(part, now, is_own=False)

    def _parts_of(self, run: EngineRun) -> tuple[str, ...]:
        return part_suspects(service=run.service, model=run.model, shared=run.shared)

    def _clear(self, suspect: str, accepted: Accepted) -> None:
        if not self._suspects.record_answer(suspect, self._timers.now, is_own=True):
            return
        events.REQUEST_CLEARED.log(log, fingerprint=suspect, request=accepted.request_id)
        self._news.tell(RequestServed(fingerprint=suspect))
        self._records.take_out(suspect)

    def greet(self, newcomer: Address) -> None:
        """Report the suspects that matter to a VM that was met."""
        self._news.greet(newcomer)

    def _find_block(self, accepted: Accepted) -> Block | None:
        if not self._suspects.crashes:
            return None
        self._note_answers()
        now = self._timers.now
        block = self._suspects.find_any_block(accepted.suspects, now)
        if block is not None:
            return block
        trial = self._suspects.find_open_trial(accepted.suspects, now)
        return None if trial is None else self._trials.admit(accepted, trial)

    def _would_bar(self, accepted: Accepted) -> bool:
        """Check whether a request may not run now, without beginning what it may try."""
        now = self._timers.now
        if self._suspects.find_any_block(accepted.suspects, now) is not None:
            return True
        trial = self._suspects.find_open_trial(accepted.suspects, now)
        return trial is not None and self._trials.find_block(accepted, trial) is not None

    def _note_leaving(self) -> None:
        """Have the ends of processes that said that they leave count for nothing."""
        leaving = self._beliefs.targets.leaving
        if leaving.changes == self._leaving_changes:
            return
        self._leaving_changes = leaving.changes
        self._suspects.set_leaving(
            {process_name(p.target, p.started_ms): since for p, since in leaving.since.items()}
        )
        self._records.take_out_excused()

    def _note_answers(self) -> None:
        """Update the registry with whether this VM knows sound parts.

        One that does not hear of all runs is told of crashes by hubs, which leave sound parts out.
        """
        self._note_leaving()
        for parts in self._sound.take_lived_on(self._timers.now):
            self._learn_sound(parts)
        known = self._sound.knows_any(self._timers.now) or not self._hears_runs()
        self._suspects.set_answers_known(known)

    def _note(
        self, accepted: Accepted, target: ListedTarget, weights: CrashWeights, *, at: float
    ) -> bool:
        """Count an end that this VM saw; return whether it is news."""
        self._note_leaving()
        fingerprint, now = accepted.fingerprint, self._timers.now
        process = process_name(target.id, target.started_ms)
        self._sound.withdraw(process)
        ends: dict[str, Crash] = {}
        if weights.request:
            ends[fingerprint] = Crash(at=at, weight=weights.request)
        for part in self._sound.unproven(accepted.suspects.parts, now):
            ends[part] = Crash(at=at, weight=weights.parts, requests=(fingerprint,))
        news = [
            suspect
            for suspect, end in ends.items()
            if self._suspects.record_crash(suspect, process, end)
        ]
        if not news:
            return False
        if not all(self._suspects.is_excused(suspect, process) for suspect in news):
            self._log_end(accepted, target, weights, unproven=ends.keys() - {fingerprint})
        self._left_engines.take_crashes({process: at})
        told = tuple(
            EndTold(
                fingerprint=suspect,
                process=process,
                age_s=now - at,
                weight=ends[suspect].weight,
                requests=ends[suspect].requests,
                tested=self._suspects.answers_known,
            )
            for suspect in news
        )
        self._news.tell(TargetsEnded(ends=told))
        self._take_news()
        return True

    def _log_end(
        self,
        accepted: Accepted,
        target: ListedTarget,
        weights: CrashWeights,
        *,
        unproven: Collection[str],
    ) -> None:
        events.TARGET_ENDED_UNDER.log(
            log,
            request=accepted.request_id,
            fingerprint=accepted.fingerprint,
            target=target.id,
            organisation=accepted.organisation,
            route=accepted.route.name,
            shared=",".join(accepted.shared_parts),
            unproven=",".join(sorted(part_name(part) for part in unproven)),
            ended=self._suspects.count_crashes(accepted.fingerprint),
            weight=weights.request,
            parts_weight=weights.parts,
        )
        self._tally.add(metrics.TARGETS_ENDED, accepted.route.kind.value)

    def _take_news(self) -> None:
        """End what may not go on after ends were recorded or told."""
        self._note_answers()
        self._note_barred()
        self._open.cancel_where(self._must_end)

    def _must_end(self, work: OpenWork) -> bool:
        """Check whether a request is barred, or all its returns are at another engine."""
        if self.is_barred(work.accepted):
            return True
        if work.leaves is None:
            return False
        return self.gathering_place(work.accepted) not in (None, work.leaves)

    def _note_barred(self) -> None:
        """Log which requests and parts are barred from now on."""
        new, self._barred = self._suspects.blocked - self._barred, self._suspects.blocked
        for fingerprint in new:
            bar = self._suspects.find_block(fingerprint, self._timers.now)
            if bar is not None:
                events.REQUEST_BARRED.log(
                    log, fingerprint=fingerprint, ended=bar.crash_count, for_s=bar.remaining_s
                )
        causes = self._suspects.part_causes(self._timers.now)
        new_parts, self._barred_parts = causes - self._barred_parts, causes
        for parts in new_parts:
            asked = Suspects(request="", parts=tuple(parts))
            bar = self._suspects.find_part_block(asked, self._timers.now)
            if bar is not None:
                events.PART_BARRED.log(
                    log,
                    barred_part=", ".join(sorted(part_name(part) for part in parts)),
                    ended=bar.crash_count,
                    for_s=bar.remaining_s,
                )

    def _look(self, tick: Tick) -> None:
        """Forget what is old, and read the record where no other VM is heard.

        One that reads the store for others does so too where the store has come back from an
        older copy: what that lacks of the record is written again.
        """
        self._suspects.expire(tick.now)
        self._sound.expire(tick.now)
        self._trials.expire(tick.now)
        self._left_engines.look()
        self._note_answers()
        if self._suspects.part_causes(tick.now) - self._barred_parts:
            # Nothing has cleared a part in the time that it was given.
            self._take_news()
        fellows, roles = self._beliefs.fellows, self._roles.value
        is_alone = bool(fellows.states) and not fellows.present(tick.now)
        is_reader = roles is not None and roles.reads_store
        is_former = self._records.revision.era < self._beliefs.targets.as_of.era
        if is_alone or (is_reader and is_former):
            self._records.read_again()
