"""One attempt of a call at one target, and what became of it."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.rollouts.totals import Lane
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.limit_permits import Denied, required_permits
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_view import SentTicket
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.call_places import CallPlace, CallPlaces, PlaceOutcome
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.last_requests import MESSAGE, LastRequests
from lagoonlever.gateway.messages import AnswerHead, Hop
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.reporter import Ending, Reporter
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.gateway.target_client import (
    Answered,
    AttemptResult,
    Held,
    Lost,
    NotSent,
    Refused,
    TargetClient,
)
from lagoonlever.gateway.target_words import TargetWords
from lagoonlever.outcomes import NOT_RUN_STATUSES, Failed, NotRun, Reason, Unknown
from lagoonlever.platform.headers import to_caller
from lagoonlever.timers import TimerService

_RESULT_NAMES = {
    Answered: "answered",
    Held: "held",
    Lost: "lost",
    NotSent: "not-sent",
    Refused: "refused",
}
SERVER_ERROR = 500
COME_BACK_S = 0.1
GATEWAY_TIMEOUT = 504
BAD_GATEWAY = 502


@attrs.define(kw_only=True)
class CallRecord:
    """What was tried for one call; an attempt may have run until its target denies it."""

    accepted: Accepted
    sent: int = 0
    """Targets that the request was written to; a refusal of a target counts too."""
    target: str | None = None
    via: str | None = None
    """The VM by way of which the last attempt went, if this one has lost its path."""
    detail: str = ""
    failure: Answered | None = None
    """A target's own failure, to be passed on if nothing better comes."""
    no_room: RejectedWithRetryAfter | None = None
    """Set where no runner could begin it in time."""
    _possible_runs: int = 0
    """Attempts that were written and not refused; two of them may be at one target."""

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run it: then nothing says "not run"."""
        return self._possible_runs > 0

    def written(self, target: str) -> None:
        """Record that the request is being written to a target."""
        self.sent += 1
        self.target = target
        self._possible_runs += 1

    def denied(self) -> None:
        """Record that the target of one attempt says that it has not run the request."""
        self._possible_runs -= 1


@attrs.define(kw_only=True)
class _Attempt:
    """What is known of an attempt while it goes on."""

    sent_at: float
    lane: Lane | None = None
    """What its answer counts for, while a version is rolled out."""


@attrs.define(kw_only=True, eq=False)
class CallExchange:
    """Sends attempts, and gives callers their final answers."""

    beliefs: Beliefs
    peers: PeerExchange
    timers: TimerService
    client: TargetClient
    reporter: Reporter
    crashes: CrashWatch
    rollouts: Rollouts
    words: TargetWords
    places: CallPlaces
    dialer: TargetDialer
    last: LastRequests

    async def attempt(
        self,
        call: CallRecord,
        target: ListedTarget,
        *,
        rested_at_most_s: float,
        place: CallPlace | None = None,
    ) -> AttemptResult:
        """Send a call to one target, and note whether it has served it or ended under it."""
        began_at = self.timers.now
        attempt = _Attempt(sent_at=began_at)
        evidence: AttemptResult | None = None
        try:
            result = await self._attempt(call, target, attempt, rested_at_most_s=rested_at_most_s)
            if isinstance(result, Answered):
                self.crashes.served(call.accepted)
            elif isinstance(result, Lost):
                await self.crashes.lost_call(call.accepted, target, sent_at=began_at)
            evidence = None if self._is_path_fault(target, result) else result
        finally:
            now = self.timers.now
            if place is not None:
                self.places.ended(place, evidence, seconds=now - began_at)
            self._count(target, attempt.lane, evidence, now - attempt.sent_at)
        return result

    def _is_path_fault(self, target: ListedTarget, result: AttemptResult) -> bool:
        """Check whether an attempt failed by this VM's path, which says nothing of its target."""
        return isinstance(result, NotSent | Lost) and self.dialer.is_cut(target.address)

    async def _attempt(
        self,
        call: CallRecord,
        target: ListedTarget,
        attempt: _Attempt,
        *,
        rested_at_most_s: float,
    ) -> AttemptResult:
        """Send a call to one target; nothing awaits between the last check and the write."""
        accepted = call.accepted
        permit = await self.words.permit(target.id, need=self.need(call))
        if isinstance(permit, Denied):
            return Held(target=target.id)
        connection = await self.client.connect(
            target, rested_at_most_s=rested_at_most_s, apart_from=call.via
        )
        if isinstance(connection, NotSent):
            return connection
        if not self.words.covers(target.id, permit):
            await self.client.keep(connection)
            return Held(target=target.id)
        head: AnswerHead | None = None
        result: AttemptResult | None = None
        ticket: SentTicket | None = None
        attempt.sent_at = self.timers.now
        try:
            left_s = accepted.left_s(self.timers.now)
            if left_s <= 0 or not self.beliefs.targets.takes_work(target.id):
                result = NotSent(detail="the target leaves, or the time is over")
                return result
            if not self.last.can_answer(accepted):
                result = NotSent(detail=MESSAGE)
                return result
            hop = Hop(target_id=target.id, deadline_s=left_s, organisation=accepted.organisation)
            call.written(target.id)
            call.via = connection.via
            ticket = self.words.sent(target.id, first=call.sent == 1)
            attempt.lane = self.rollouts.sent(target, accepted.route.name)
            opened = await self.client.open(
                connection, accepted.request, hop, request_id=accepted.request_id
            )
            if isinstance(opened, Lost):
                result = opened
                return result
            if isinstance(opened, Refused):
                head = opened.head
                call.denied()
                self._note_replaced(target, opened)
                result = opened
                return result
            result = await self.client.read_whole(opened, accepted.exchange)
            if isinstance(result, Answered):
                head = result.head
            return result
        finally:
            if ticket is not None:
                self.words.ended(ticket)
            self.reporter.attempt_ended(accepted, result_name(result))
            await self.client.release(connection, head)

    def _count(
        self, target: ListedTarget, lane: Lane | None, result: AttemptResult | None, seconds: float
    ) -> None:
        """Count what a version has answered; no answer says nothing where its target ended."""
        if isinstance(result, Answered) and result.response.status < SERVER_ERROR:
            self.rollouts.answered(target.service, lane, seconds)
        elif isinstance(result, Answered | Lost):
            self.rollouts.failed(target.service, lane)

    async def finish(self, call: CallRecord, answered: Answered | None) -> None:
        """Pass a target's answer on to the caller, or tell why there is none.

        A target may run a request and answer it with a status that promises the opposite. A
        caller would send a bid again then, so it is told that the bid has failed.
        """
        outcome: NotRun | Unknown | Failed | None = None
        if answered is None:
            outcome = self._outcome(call)
        elif not call.accepted.route.repeatable and answered.response.status in NOT_RUN_STATUSES:
            message = f"the target ran it and answered {answered.response.status}"
            outcome = Failed(reason=Reason.TARGET_FAILED, message=message)
        if outcome is not None:
            status, tag = int(outcome.status), outcome.tag.value
            self._ended(call, status, tag, outcome.message, reason=outcome.reason)
            await tell(call.accepted.exchange, outcome)
            return
        assert answered is not None
        response = answered.response
        self._ended(call, response.status, "done", call.detail)
        await call.accepted.exchange.respond(
            status=response.status, headers=to_caller(response.headers), body=response.body
        )

    def open_to(
        self, call: CallRecord, targets: tuple[ListedTarget, ...]
    ) -> tuple[ListedTarget, ...]:
        """Return the targets that a call was not held back from just now."""
        return self.words.open(targets, need=self.need(call))

    def closed_to(self, call: CallRecord) -> frozenset[str]:
        """Return the targets of its service that a call was held back from just now."""
        serving = self.beliefs.targets.serving(call.accepted.service)
        able = {target.id for target in self.open_to(call, serving)}
        return frozenset(target.id for target in serving if target.id not in able)

    async def place(self, call: CallRecord, *, tried: Collection[str] = ()) -> PlaceOutcome:
        """Get a place for an attempt; None where this VM is to choose by itself."""
        accepted = call.accepted
        on_trial = accepted.on_trial and not tried
        if on_trial or not self.places.serves(accepted.service):
            return None
        outcome = await self.places.take(accepted, avoid={*tried, *self.closed_to(call)})
        if outcome is None and self.places.only_by_places(accepted.service):
            return RejectedWithRetryAfter(
                detail="no room is given out at runners that are brittle", retry_after_s=COME_BACK_S
            )
        return outcome

    def need(self, call: CallRecord) -> float:
        """Return the permits that must be saved at a target in need before it gets a call."""
        first = call.sent == 0
        return required_permits(priority=call.accepted.priority, begun=False, first=first)

    def is_gone(self, call: CallRecord) -> bool:
        """Record that a caller left; return False where its answer was on its way already."""
        if call.accepted.exchange.responded:
            return False
        self._ended(call, 0, "caller-gone", call.detail)
        return True

    @MECHANISMS.register(
        "near-first",
        does="calls go to a runner of the same data centre while it is hardly busier",
        without="they go to the less busy of two",
        plain=gives(frozenset()),
    )
    def near(self, targets: tuple[ListedTarget, ...], data_center: str) -> frozenset[str]:
        """Return the targets of a data centre."""
        return frozenset(target.id for target in targets if target.data_center == data_center)

    def _note_replaced(self, target: ListedTarget, refused: Refused) -> None:
        answering = refused.head.target_id
        if answering is not None and answering != target.id:
            self.peers.engine_replaced(target, by=answering)

    def _outcome(self, call: CallRecord) -> NotRun | Unknown:
        late = call.accepted.left_s(self.timers.now) <= 0
        if call.may_have_run:
            return Unknown(
                reason=Reason.DEADLINE if late else Reason.CONNECTION_LOST,
                message=call.detail or "no whole answer came",
                status=GATEWAY_TIMEOUT if late else BAD_GATEWAY,
            )
        if call.no_room is not None and not late:
            return NotRun(
                reason=Reason.OVERLOADED,
                message=call.no_room.detail,
                retry_after_s=call.no_room.retry_after_s,
            )
        return NotRun(
            reason=Reason.DEADLINE if late else Reason.NO_TARGET,
            message=call.detail or "no target can take it now",
            retry_after_s=self.words.come_back_s(call.accepted.service) or COME_BACK_S,
        )

    def _ended(
        self,
        call: CallRecord,
        status: int,
        outcome: str,
        detail: str,
        *,
        reason: Reason | None = None,
    ) -> None:
        if call.via is not None:
            detail = f"{detail}, by way of {call.via}"
        ending = Ending(status=status, outcome=outcome, detail=detail, reason=reason)
        self.reporter.call_ended(call.accepted, ending, attempts=call.sent, target=call.target)


def result_name(result: AttemptResult | None) -> str:
    """Return the label of a result; None is an attempt that was cut short."""
    return "cut-short" if result is None else _RESULT_NAMES[type(result)]


def describe(result: AttemptResult) -> str:
    """Return a few words on what became of an attempt."""
    if isinstance(result, Answered):
        return f"answered {result.response.status}"
    if isinstance(result, Refused):
        return f"refused with {result.head.status} {result.evidence}"
    if isinstance(result, Held):
        return f"{result.target} takes no more for now"
    return result.detail
