"""One attempt of a stream: writes the request to an engine and passes its events on."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.answer_stages import (
    BEGUN_S,
)
from lagoonlever.decisions.engines.engine_rank import rank_at_engine
from lagoonlever.decisions.engines.engine_reports import is_preempted
from lagoonlever.decisions.streams.answer_ends import AnswerEnd, judge_end
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.silence import (
    DEFAULT_MAX_PAUSE_S,
    QueryEngine,
    RunStatus,
    SilenceDetector,
    WaitUntil,
    first_query_delay_s,
)
from lagoonlever.decisions.streams.silence import AttemptLost as SilenceLost
from lagoonlever.decisions.streams.stream_lifecycle import EventVerdict, StreamLifecycle
from lagoonlever.decisions.streams.stream_origins import UNKNOWN, StreamOrigin, Writer
from lagoonlever.decisions.targets.limit_permits import Denied
from lagoonlever.decisions.targets.replacements import LivenessSigns
from lagoonlever.exceptions import BadResponse, ConnectionBroken
from lagoonlever.gateway import events, events_streams, metrics
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answer_state import AnswerState
from lagoonlever.gateway.attempt_crashes import AttemptCrashes
from lagoonlever.gateway.attempt_planner import stream_need
from lagoonlever.gateway.attempt_tools import AttemptPlan, AttemptTools
from lagoonlever.gateway.copy_keeper import CopyKeeper
from lagoonlever.gateway.lost_engines import is_other_process
from lagoonlever.gateway.messages import AnswerHead, EngineReport, Hop, RunReport
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.report_uses import is_stuck, ranks_differ, take_report
from lagoonlever.gateway.stream_counts import StreamCounts
from lagoonlever.gateway.target_client import SPOILT, NotSent, log_foreign
from lagoonlever.gateway.writer_finder import WriterFinder
from lagoonlever.http.client import ClientConnection, Response
from lagoonlever.http.parsing_turns import TURN_PIECES, take_answer_turn
from lagoonlever.http.sse import RawEvent
from lagoonlever.nurseries import open_work_nursery
from lagoonlever.platform.headers import read_answer, to_caller, to_target

log = logbook.Logger(__name__)

OK = 200
KEPT_REST_S = 4.0
"""A stream whose kept connection turns out closed is sent again, as nothing was answered."""
LOOK_MARGIN_S = 0.005
"""Beyond the time in which other VMs' placements are heard, before the second look."""
MOVES_PART = 0.5
"""Of the allowed repeats: moves only save time, and leave the rest to streams that broke."""
ALIVE_CHECK_S = 0.05
"""Between looks at whether an engine has shown life."""
DOUBTED_S = 0.2
"""Silence of an engine that was writing, after which its connection may carry nothing any more."""
PAUSE_TOLD_S = 0.3
"""Pauses between events that are worth a word in the log."""


class _Ended(Exception):
    """The attempt ended before its answer was whole; the message says why."""

    def __init__(self, message: str, *, unanswered: bool = False) -> None:
        super().__init__(message)
        self.unanswered = unanswered
        """The engine was asked and did not answer."""


class _Moved(Exception):
    """The attempt is left before its first event: another engine is sooner ready for it."""


class _CalledBack(Exception):
    """The attempt is left before its engine has begun: the request ends engines."""


@attrs.define(kw_only=True, eq=False)
class StreamAttempt:
    """Runs once; what became of it is told to the life of the stream."""

    _accepted: Accepted
    _life: StreamLifecycle
    _plan: AttemptPlan
    _tools: AttemptTools
    _peers: PeerExchange
    _placer: Placer
    _answer: AnswerState = attrs.field(factory=AnswerState)
    _signs: LivenessSigns = attrs.field(factory=LivenessSigns)
    _crashes: AttemptCrashes = attrs.field(init=False)
    _copies: CopyKeeper = attrs.field(init=False)
    _counts: StreamCounts = attrs.field(init=False)
    _writers: WriterFinder = attrs.field(init=False)

    @_crashes.default
    def _make_crashes(self) -> AttemptCrashes:
        return AttemptCrashes(
            accepted=self._accepted,
            life=self._life,
            engine=self._plan.engine,
            tools=self._tools,
            answer=self._answer,
        )

    @_writers.default
    def _make_writers(self) -> WriterFinder:
        prober, take = self._tools.prober, self._take_report
        return WriterFinder(plan=self._plan, prober=prober, take_report=take)

    @_counts.default
    def _make_counts(self) -> StreamCounts:
        return StreamCounts(
            rollouts=self._tools.rollouts,
            engine=self._plan.engine,
            route=self._accepted.route.name,
        )

    @_copies.default
    def _make_copies(self) -> CopyKeeper:
        tools, plan = self._tools, self._plan
        return CopyKeeper(
            request=self._accepted.request_id,
            run=plan.run,
            engine=plan.engine,
            limits=plan.limits,
            beliefs=tools.beliefs,
            timers=tools.timers,
            reporter=tools.reporter,
            copier=tools.copier,
            placer=self._placer,
            on_copied=self._copied,
        )

    async def run(self) -> None:
        """Send the request and relay the answer, until its end or its loss."""
        engine = self._plan.engine
        self._answer.started = self._now
        permit = await self._tools.words.permit(engine.id, need=self._need)
        if isinstance(permit, Denied):
            self._life.record_engine_busy(engine.id)
            return
        connection = await self._tools.client.connect(engine, rested_at_most_s=KEPT_REST_S)
        if isinstance(connection, NotSent):
            self._count("not-sent")
            self._life.record_unreachable(engine.id, connection.detail)
            self._peers.engine_lost(engine.id, confirmed=self._crashes.is_down)
            self._log_end(connection.detail)
            return
        if not self._tools.words.covers(engine.id, permit):
            await self._tools.client.keep(connection)
            self._life.record_engine_busy(engine.id)
            return
        self._answer.connected = self._now
        try:
            await self._run_on(connection)
        except BaseException:
            # A cancellation may come as a group, out of the nursery of a question.
            self._log_end("given up: its caller has left, its time is over, or this VM stops")
            self._crashes.record_left()
            if self._may_work_on:
                self._end_run_later()
            raise

    async def _run_on(self, connection: ClientConnection) -> None:
        engine = self._plan.engine
        head: AnswerHead | None = None
        try:
            await self._tools.ender.settle(self._plan.run)
            await self._confirm_process()
            if not self._may_write():
                self._life.record_unreachable(
                    engine.id, "it leaves, the time is over, or it is barred"
                )
                return
            head = await self._exchange(connection)
        except _Ended as ended:
            await self._lost(ended)
        except _Moved:
            self._count("moved")
            self._life.record_move()
            self._log_end("left for a better place")
            self._crashes.record_left()
        except _CalledBack:
            self._count("called-back")
            self._log_end("called back: the request ends engines")
            self._crashes.record_left()
        finally:
            await self._tools.client.release(connection, head)

    @property
    def _now(self) -> float:
        return self._tools.timers.now

    @property
    def _may_work_on(self) -> bool:
        """Whether the close of the connection may not reach the engine."""
        silent_s = self._now - self._answer.last_event_at
        is_silent = self._answer.is_flowing and silent_s > DOUBTED_S
        return self._is_cut or self._answer.via is not None or is_silent

    @property
    def _own_run(self) -> EngineRun:
        """The run of this attempt, as its engine has it."""
        return attrs.evolve(self._plan.run, flowing=self._answer.is_flowing)

    @property
    def _need(self) -> float:
        """The permits that must be saved at an engine in need before it gets the request."""
        return stream_need(self._accepted, self._life)

    @property
    def _is_cut(self) -> bool:
        """Whether other VMs reach the engine by paths that this one does not have."""
        return self._tools.dialer.is_cut(self._plan.engine.address)

    @property
    def _version(self) -> str | None:
        """The version at which the stream must go on, or None while it may begin anywhere."""
        return self._life.origin.version if self._life.origin is not None else None

    def _count(self, result: str) -> None:
        self._tools.reporter.attempt_ended(self._accepted, result)

    async def _confirm_process(self) -> None:
        """Ask an engine that was lost which process it is, if the stream has begun elsewhere."""
        engine = self._plan.engine
        if self._version is None or not self._tools.beliefs.targets.is_in_doubt(engine.id):
            return
        report = await self._tools.prober.ask(engine, since=self._now)
        self._take_report(report)
        if report is not None and report.started_ms is None:
            self._tools.beliefs.targets.record_no_start(engine.id)

    def _may_write(self) -> bool:
        """Look once more at what may have changed while the connection was made."""
        in_time = self._accepted.left_s(self._now) > 0
        if not in_time or self._tools.crashes.is_barred(self._accepted):
            return False
        targets, engine = self._tools.beliefs.targets, self._plan.engine
        if not targets.takes_work(engine.id, version=self._version):
            return False
        if self._version is not None and targets.is_in_doubt(engine.id):
            return False
        found = targets.find(engine.id)
        return found is not None and not found.has_restarted_since(engine.started_ms)

    async def _exchange(self, connection: ClientConnection) -> AnswerHead | None:
        """Write and relay; gives the head if the connection may be kept."""
        plan = self._plan
        self._life.record_sent(copy=plan.run.copy)
        self._answer.connection = connection
        ticket = self._tools.words.sent(plan.engine.id, first=self._life.sent_attempts == 1)
        self._peers.begin(plan.run)
        self._log_sent(connection.via)
        self._counts.sent(whole_answer=plan.copy_from is None and not self._life.position)
        silence = self._new_silence()
        watched = self._tools.watched.setdefault(plan.engine.id, set())
        watched.add(silence)
        try:
            async with open_work_nursery() as nursery:
                if plan.limits.moves and self._accepted.route.repeatable:
                    nursery.start_soon(self._copies.run)
                if not plan.by_line and self._may_look_again():
                    nursery.start_soon(self._look_again)
                return await self._relay(connection, silence, nursery)
        finally:
            self._tools.words.ended(ticket)
            watched.discard(silence)
            if not watched:
                self._tools.watched.pop(plan.engine.id, None)

    def _may_look_again(self) -> bool:
        """Check whether the attempt may be left for a better place.

        Not one of a request that may end its engines: left as the engine begins, it would end
        that one unseen, and the next one too.
        """
        if self._plan.copy_from is not None or not self._life.may_move:
            return False
        return self._peers.holds_book() and not self._tools.crashes.is_suspect(self._accepted)

    def _new_silence(self) -> SilenceDetector:
        route, service = self._accepted.route, self._accepted.service
        usual_s = self._tools.beliefs.book.timings.usual_prefill_s(service)
        return SilenceDetector(
            sent_at=self._now,
            first_query_s=first_query_delay_s(
                usual_reading_s=usual_s, objective_s=route.objective_s
            ),
            max_pause_s=route.pause_objective_s or DEFAULT_MAX_PAUSE_S,
        )

    async def _relay(
        self, connection: ClientConnection, silence: SilenceDetector, nursery: trio.Nursery
    ) -> AnswerHead | None:
        request = self._accepted.request
        try:
            await connection.start(
                method=request.method,
                path=request.target,
                headers=to_target(request.headers, self._hop()),
                body=request.body,
                step="forward",
            )
            response = await self._wait_head(connection, silence)
            head = read_answer(response.status, response.headers)
            if not await self._accept_head(response, head, first=not connection.served_before):
                return None
            while (piece := await self._next(connection, silence, head=False)) is not None:
                assert isinstance(piece, bytes)
                await self._pass_on(self._answer.splitter.feed(piece), silence, nursery)
        except (ConnectionBroken, BadResponse) as error:
            raise _Ended(error.message) from error
        except ValueError as error:
            raise _Ended(str(error)) from error
        if self._answer.splitter.partial:
            raise _Ended("ended within an event")
        if not connection.tells_length:
            await self._confirm_end()
        self._answer.is_judged = True
        await self._accepted.exchange.finish()
        self._count("answered")
        self._counts.whole(self._now)
        self._life.complete = True
        self._tools.beliefs.book.avoidance.record_success(self._plan.engine.id)
        self._tools.crashes.served(self._accepted)
        await self._copies.free()
        return head

    async def _confirm_end(self) -> None:
        """Ask the engine about an answer whose end only its connection's end has told."""
        if not (self._answer.has_event or self._life.position):
            raise _Ended("ended before its first event, with neither a length nor chunks")
        if self._tools.ender.has_ordered(self._plan.run, since=self._answer.started):
            raise _Ended("ended as its engine was told to end the run before it")
        engine = self._plan.engine
        report = await self._tools.prober.ask(engine, since=self._now)
        self._take_report(report)
        run = report.run(self._accepted.request_id) if report is not None else None
        end = judge_end(
            answers=report is not None,
            is_same=not is_other_process(engine, report),
            events_made=run.events if run is not None else None,
            position=self._life.position,
        )
        if end is not AnswerEnd.WHOLE:
            raise _Ended(
                f"ended after a whole event, with neither a length nor chunks: {end.value}"
            )

    async def _wait_head(self, connection: ClientConnection, silence: SilenceDetector) -> Response:
        """Wait until the engine begins, unless the request is barred first, or goes elsewhere.

        Only that long: a cancellation later could cut the answer to the caller in a write.
        """
        response: Response | bytes | None = None
        plan = self._plan
        may_leave = not plan.gathered and plan.copy_from is None and self._life.may_repeat
        leaves = plan.engine.id if may_leave else None
        with self._tools.crashes.until_barred(self._accepted, leaves=leaves):
            response = await self._next(connection, silence, head=True)
        if not isinstance(response, Response):
            raise _CalledBack
        return response

    async def _next(
        self, connection: ClientConnection, silence: SilenceDetector, *, head: bool
    ) -> Response | bytes | None:
        """Wait for the next bytes, and ask the engine when they are late."""
        while True:
            step = silence.next_step(self._now)
            if isinstance(step, SilenceLost):
                raise _Ended(step.reason, unanswered=step.unanswered)
            if isinstance(step, QueryEngine):
                await self._ask(connection, silence)
                continue
            assert isinstance(step, WaitUntil)
            began = self._tools.timers.elapsed
            if self._signs.is_check_due(began):
                self._signs.record_wait(began, nothing_there=connection.quiet)
            with trio.move_on_at(step.at):
                read = await (connection.read_head() if head else connection.next_piece())
                self._signs.record_arrival(self._tools.timers.elapsed)
                return read

    async def _ask(self, connection: ClientConnection, silence: SilenceDetector) -> None:
        report = await self._tools.prober.ask(self._plan.engine)
        if not connection.quiet:
            # Something has arrived meanwhile: that says more than any report.
            silence.record_status(RunStatus.RUNNING, self._now)
            return
        self._take_report(report)
        run = report.run(self._accepted.request_id) if report else None
        answer = _answer_of(report, run, flowing=self._answer.is_flowing)
        if run is None and self._answer.is_flowing and self._has_started_again():
            answer = RunStatus.ENGINE_RESTARTED
        elif report is not None and self._is_preempted(report, silence):
            answer = RunStatus.PREEMPTED
        self._answer.reported = answer
        ahead = run.events - (self._life.position or 0) if run else 0
        events.ENGINE_ASKED.log(
            log,
            request=self._accepted.request_id,
            target=self._plan.engine.id,
            silent_s=silence.silence_s(self._now),
            answer=answer.value,
            report=str(report),
        )
        self._tools.reporter.tally.add(metrics.ENGINE_QUESTIONS, answer.value)
        is_own = connection.via is None
        silence.record_status(
            answer, self._now, events_ahead=ahead, path_cut=is_own and self._is_cut
        )
        if answer is RunStatus.QUEUED and report is not None and not self._answer.has_head:
            self._leave_stuck_queue(report)

    def _take_report(self, report: EngineReport | None) -> None:
        """Record what a report tells of its engine, whatever becomes of the run."""
        if report is None:
            return
        if report.leaves_in_s is not None:
            self._copies.engine_leaves(self._now + report.leaves_in_s)
        take_report(report, self._plan, self._tools)

    def _is_preempted(self, report: EngineReport, silence: SilenceDetector) -> bool:
        return ranks_differ(self._plan, self._tools) and is_preempted(
            flowing=self._answer.is_flowing,
            listed=report.run(self._accepted.request_id) is not None,
            waiting=report.waiting,
            silent_s=silence.silence_s(self._now),
            has_copy=self._life.may_resume,
        )

    def _leave_stuck_queue(self, report: EngineReport) -> None:
        """Leave an engine whose queue waits for memory, if another one has room."""
        window = self._tools.budgets.of_runs(self._accepted.service)
        if not self._may_look_again() or not window.allows(self._now, vms=1, share=MOVES_PART):
            return
        if is_stuck(report, self._plan, self._tools, version=self._version):
            raise _Moved

    def _has_started_again(self) -> bool:
        """Check whether the engine is another process than the one that the run was sent to."""
        engine = self._tools.beliefs.targets.find(self._plan.engine.id)
        return engine is not None and engine.has_restarted_since(self._plan.run.engine_started_ms)

    async def _accept_head(self, response: Response, head: AnswerHead, *, first: bool) -> bool:
        """Judge the head of an answer; begins the caller's answer with a first good one.

        ``first`` tells that its connection has carried no other request.
        """
        engine = self._plan.engine
        self._tools.client.record_refusal(engine.address, head)
        if not head.is_for(self._accepted.request_id, first=first):
            log_foreign(head, request_id=self._accepted.request_id, target=engine.id)
            raise _Ended(f"the answer is for request {head.request_id}")
        self._tools.words.heard(engine.id, head, sent_at=self._answer.started)
        if head.refused:
            self._count("refused")
            detail = f"refused with {head.status}"
            self._life.record_refusal(engine.id, detail)
            if head.target_id is not None and head.target_id != engine.id:
                self._peers.engine_replaced(engine, by=head.target_id)
                self._tools.replacements.answered(engine.id, head.target_id)
            self._log_end(detail)
            return False
        if not head.is_own:
            raise _Ended(f"answered {head.status}{SPOILT}")
        if head.status != OK:
            raise _Ended(f"answered {head.status}")
        self._answer.has_head = True
        if not self._life.response_started:
            self._life.response_started = True
            await self._accepted.exchange.start_stream(
                status=head.status, headers=to_caller(response.headers)
            )
        return True

    async def _pass_on(
        self, arrived: list[RawEvent], silence: SilenceDetector, nursery: trio.Nursery
    ) -> None:
        for place, event in enumerate(arrived):
            if place % TURN_PIECES == TURN_PIECES - 1:
                await take_answer_turn()
            if self._answer.is_blank(event):
                continue
            self._answer.has_event = True
            writer: Writer | None = None
            if not self._answer.is_flowing:
                writer = await self._writers.find(since=self._answer.connected) or UNKNOWN
            if writer is not None and not writer.proven and self._life.origin is not None:
                raise _Ended("another process may have answered than one of the stream's version")
            if writer is not None and (not writer.proven or self._plan.run.version is None):
                await self._tools.versions.until_marked(self._accepted.service)
            # From here on the event counts as the caller's, so nothing is waited for.
            verdict = self._life.check_event(event.id)
            if verdict is EventVerdict.OUT_OF_ORDER:
                raise _Ended(f"event {event.id} came after {self._life.position}")
            if writer is not None:
                # Others know before the caller does: this VM may die right after.
                self._tell_begun(writer if writer.proven else UNKNOWN)
                if not writer.proven:
                    nursery.start_soon(self._bind_later, writer)
            if verdict is EventVerdict.FORWARD:
                self._life.timing.record_event(self._now)
                self._counts.event()
                await self._accepted.exchange.write(event.data)
            self._note_event(silence)

    async def _bind_later(self, told: Writer) -> None:
        """Bind the stream once it is known which process writes it.

        A process with another start than the listed one may have come after the first event, if
        this VM was suspended or the connection has gone silent. It is the one that writes if the
        connection shows life after it has told its start.
        """
        request, run = self._accepted.request_id, self._plan.run
        writer = told
        if writer is UNKNOWN:
            events_streams.WRITER_UNKNOWN.log(log, request=request, target=run.engine)
            writer = await self._writers.find_later(since=self._answer.connected)
        if not writer.proven:
            await self._until_alive_after(self._tools.timers.elapsed)
        self._life.origin = StreamOrigin.of_run(run, writer)
        self._peers.flows(request, writer)

    async def _until_alive_after(self, elapsed: float) -> None:
        """Wait until the connection has certainly shown life after a time."""
        while True:
            await trio.sleep(ALIVE_CHECK_S)
            alive_at = self._signs.alive_at
            if alive_at is not None and alive_at > elapsed:
                return

    def _tell_begun(self, writer: Writer) -> None:
        """Bind the stream to the version that writes its first event, and tell the other VMs."""
        if self._life.origin is None:
            self._life.origin = StreamOrigin.of_run(self._plan.run, writer)
        self._peers.flows(self._accepted.request_id, writer)

    def _note_event(self, silence: SilenceDetector) -> None:
        now = self._now
        if not self._answer.is_flowing:
            self._answer.first_event_at = now
            self._copies.flowing = True
            self._counts.first_event(now, sent_at=self._answer.started)
            self._life.record_first_event()
            events.FIRST_EVENT.log(
                log,
                request=self._accepted.request_id,
                target=self._plan.engine.id,
                version=self._plan.engine.version,
                seconds=now - self._answer.started,
                position=self._life.position,
            )
        elif silence.silence_s(now) > PAUSE_TOLD_S:
            events.PAUSE.log(
                log,
                request=self._accepted.request_id,
                target=self._plan.engine.id,
                seconds=silence.silence_s(now),
                position=self._life.position,
            )
        silence.record_event(now)
        self._answer.last_event_at = now
        assert self._answer.first_event_at is not None
        if not self._answer.is_sound and now - self._answer.first_event_at >= BEGUN_S:
            self._answer.is_sound = self._life.has_flowed = True
            self._tools.crashes.begun(self._accepted)

    async def _lost(self, ended: _Ended) -> None:
        """Ask the engine whether it lives: one that only lost an answer is not left by all."""
        engine, broke_at = self._plan.engine, self._now
        self._answer.broke_at = broke_at
        alive = False
        if not ended.unanswered:
            # A report from just before the break would say that an engine lives which has ended.
            report = await self._tools.prober.ask(engine, since=broke_at)
            alive = report is not None and not is_other_process(engine, report)
            self._take_report(report)
            if alive and report is not None:
                await self._end_run(report)
        self._answer.is_judged = alive
        self._count("lost" if alive else "target-gone")
        if alive and not self._is_cut:
            self._counts.failed()
        self._life.record_loss(engine.id, str(ended), alive=alive, read=self._has_read)
        if alive:
            self._tools.beliefs.book.avoidance.record_broken_answer(engine.id, self._now)
        else:
            self._end_run_later()
            self._peers.engine_lost(engine.id, confirmed=self._crashes.is_down)
            if self._signs.alive_at is not None:
                self._tools.replacements.lost(engine.id, alive_at=self._signs.alive_at)
        self._log_end(f"{ended}; the engine {'lives' if alive else 'does not answer'}")
        if not alive:
            await self._crashes.record_lost(is_silent=ended.unanswered)

    def _end_run_later(self) -> None:
        events = self._life.position or 0
        self._tools.ender.end_later(self._own_run, self._plan.engine, events=events)

    async def _end_run(self, report: EngineReport) -> None:
        """Have an engine that lives end the run, and go on from what it has made.

        The close of a connection that carries nothing may never reach the engine. It would work on,
        beside the engine at which the stream goes on.
        """
        if not (self._plan.limits.moves and self._accepted.route.repeatable):
            return
        run, engine = self._own_run, self._plan.engine
        if report.run(run.request) is None:
            self._end_run_later()
            return
        copy = await self._tools.ender.end(run, engine)
        if copy is not None:
            self._copied(copy)

    @property
    def _has_read(self) -> bool:
        """Whether the engine has read the prompt, or need not."""
        return self._answer.is_flowing or self._plan.copy_from is not None

    async def _look_again(self) -> None:
        """Leave an engine that other VMs chose at the same moment, if another is better."""
        await trio.sleep(self._tools.beliefs.book.news_s + LOOK_MARGIN_S)
        if self._answer.has_event:
            return
        window = self._tools.budgets.of_runs(self._accepted.service)
        if not window.allows(self._now, vms=1, share=MOVES_PART):
            return
        targets = self._tools.beliefs.targets
        serving = targets.serving(self._accepted.service, version=self._version)
        serving = self._tools.words.unlimited(serving)
        request, limits = self._accepted.request_id, self._plan.limits
        book = self._tools.beliefs.book
        if book.should_move(request, serving, limits=limits, now=self._now):
            raise _Moved

    def _copied(self, copy: RunCopy) -> None:
        self._life.record_copy(copy)
        self._peers.copied(self._accepted.request_id, copy)

    def _hop(self) -> Hop:
        accepted, plan = self._accepted, self._plan
        return Hop(
            target_id=plan.engine.id,
            deadline_s=accepted.left_s(self._now),
            organisation=accepted.organisation,
            priority=self._rank,
            last_event_id=self._life.position,
            copy_to=plan.copy_to.address if plan.copy_to else None,
            copy_from=plan.copy_from,
        )

    @property
    def _rank(self) -> int | None:
        return rank_at_engine(
            self._tools.beliefs.configuration.value,
            self._accepted.service,
            priority=self._accepted.priority,
            objective_s=self._accepted.route.objective_s,
            begun=self._life.position is not None,
        )

    def _log_sent(self, via: str | None) -> None:
        plan = self._plan
        reason = plan.reason if via is None else f"{plan.reason}; by way of {via}"
        events.ATTEMPT_SENT.log(
            log,
            request=self._accepted.request_id,
            part=plan.run.part,
            shared=",".join(self._accepted.shared_parts),
            target=plan.engine.id,
            version=plan.engine.version,
            attempt=self._life.sent_attempts,
            position=self._life.position,
            copy=plan.run.copy_holder,
            rank=self._rank,
            reason=reason,
        )

    def _log_end(self, detail: str) -> None:
        events.ATTEMPT_ENDED.log(
            log,
            request=self._accepted.request_id,
            target=self._plan.engine.id,
            seconds=self._now - self._answer.started,
            position=self._life.position,
            outcome=detail,
            fingerprint=self._accepted.fingerprint,
            stage=self._answer.stage.value,
            via=self._answer.via,
            reported=self._answer.reported.value if self._answer.reported is not None else None,
        )


def _answer_of(report: EngineReport | None, run: RunReport | None, *, flowing: bool) -> RunStatus:
    """Read a report; an engine lists a run by name only once it has made a token."""
    if report is None:
        return RunStatus.NO_REPORT
    if run is not None:
        return RunStatus.RUNNING
    unnamed = report.waiting + max(0, report.running - len(report.runs))
    if report.waiting or (unnamed and not flowing):
        return RunStatus.QUEUED
    return RunStatus.NOT_LISTED
