"""What a VM reports: its requests in the metrics, and the views of its parts in the status."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberState, MemberView
from lagoonlever.decisions.shares.meter import OrganisationStanding
from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.decisions.streams.generation_messages import (
    Decision,
    Dispatch,
    Finish,
    GenerationSpec,
    Release,
)
from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetKind,
    TargetLoad,
    TargetView,
)
from lagoonlever.entry.admin.reporting import Reporting
from lagoonlever.entry.callers.request_metrics import DecisionObserver, RequestMetrics
from lagoonlever.entry.generations.admission import AdmissionState, PoolState
from lagoonlever.http.messages import Address
from lagoonlever.identity import EventId, Incarnation
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import (
    CONTROL_BYTES,
    EXTRA_WORK,
    FIRST_TOKEN_LATENCY,
    LOOKUP_LATENCY,
    MEMBERS,
    OBJECTIVE_EVENTS,
    OPEN_STREAMS,
    PAUSES,
    QUEUE_DEPTH,
    QUEUE_WAIT,
    REQUESTS,
    RESUME_LATENCY,
    SHARE_ENTITLED,
    SHARE_USED,
    TOKENS_RELAYED,
)
from lagoonlever.outcomes import Done, NotRun, Reason
from lagoonlever.peers.traffic import Traffic
from lagoonlever.published import Published
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.report.objectives import ObjectiveSettings
from lagoonlever.report.status import VmStatus
from lagoonlever.timers import Tick, TimerService
from lagoonlever.tree.nodes import ROOT, Node, Override, TreeView

SPEC = GenerationSpec(
    request_id="r", organisation="/motus/desk", model="m", prompt="p", max_tokens=9
)
MOTUS = "/motus"


@attrs.define(kw_only=True)
class _Clock:
    now: float = 100.0

    def __call__(self) -> float:
        return self.now


def _release(attempt: int, start: int, tokens: int) -> Release:
    event_id = EventId(
        request_id="r",
        generation=1,
        attempt=attempt,
        offset=start + tokens,
        digest=0,
        target="engine-1",
        vm="e1",
    )
    piece = ReleasedPiece.ending_at(event_id, token_ids=(7,) * tokens, text="")
    return Release(pieces=(piece,))


def _resume_dispatch(attempt: int) -> Dispatch:
    return Dispatch(
        attempt=attempt,
        generation=1,
        prefix=(7, 7),
        prompt_token_ids=(1, 2, 3),
        max_tokens=7,
        seed=1,
        model_version="v",
        avoid=frozenset(),
        resume=True,
    )


def _observer(metrics: Metrics, clock: _Clock, *, continues: bool = False) -> DecisionObserver:
    objectives = ObjectiveRecorder(metrics=metrics, settings=ObjectiveSettings())
    requests = RequestMetrics(metrics=metrics, objectives=objectives, clock=clock)
    return requests.observer_of(SPEC, continues=continues)


def _follow(observer: DecisionObserver, clock: _Clock, story: list[tuple[float, Decision]]) -> None:
    for at, decision in story:
        clock.now = 100.0 + at
        observer(decision)


def test_a_resume_is_counted_from_the_last_token_to_the_next() -> None:
    """An engine dies after two tokens; the caller waits 2 s more for the third.

    The latency runs from the second token, the extra work is the prompt and the
    two tokens, which another engine prefills.
    """
    metrics, clock = Metrics(), _Clock()
    story = [
        (0.5, _release(1, 0, 2)),
        (2.0, _resume_dispatch(2)),
        (2.5, _release(2, 2, 1)),
        (2.6, _release(2, 3, 1)),
        (2.7, Finish(outcome=Done())),
    ]
    _follow(_observer(metrics, clock), clock, story)
    assert metrics.recent(FIRST_TOKEN_LATENCY, MOTUS) == (0.5,)
    assert metrics.recent(RESUME_LATENCY, MOTUS) == (2.0,)
    assert metrics.value(EXTRA_WORK, MOTUS, "resume") == 5
    assert metrics.value(TOKENS_RELAYED, MOTUS) == 4
    assert metrics.value(REQUESTS, MOTUS, "done", "") == 1
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "resume-latency", "good") == 1
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "whole-answers", "good") == 1


def test_a_caller_from_a_lost_vm_counts_as_a_resume_from_its_arrival() -> None:
    metrics, clock = Metrics(), _Clock()
    _follow(_observer(metrics, clock, continues=True), clock, [(6.0, _release(2, 2, 1))])
    assert metrics.recent(FIRST_TOKEN_LATENCY, MOTUS) == ()
    assert metrics.recent(RESUME_LATENCY, MOTUS) == (6.0,)
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "resume-latency", "bad") == 1


def test_an_overload_counts_against_whole_answers_and_a_wrong_request_does_not() -> None:
    metrics, clock = Metrics(), _Clock()
    for reason in (Reason.OVERLOADED, Reason.BAD_REQUEST):
        outcome = NotRun(reason=reason, message="")
        _follow(_observer(metrics, clock), clock, [(0.0, Finish(outcome=outcome))])
    assert metrics.value(REQUESTS, MOTUS, "not-run", "overloaded") == 1
    assert metrics.value(REQUESTS, MOTUS, "not-run", "bad-request") == 1
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "whole-answers", "bad") == 1


def test_a_lookup_counts_towards_its_objective_and_a_bid_does_not() -> None:
    metrics = Metrics()
    objectives = ObjectiveRecorder(metrics=metrics, settings=ObjectiveSettings())
    requests = RequestMetrics(metrics=metrics, objectives=objectives, clock=_Clock())
    requests.service_ended(MOTUS, Done(), latency_s=0.2, idempotent=True)
    requests.service_ended(MOTUS, Done(), latency_s=9.0, idempotent=False)
    assert metrics.recent(LOOKUP_LATENCY, MOTUS) == (0.2,)
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "lookup-latency", "good") == 1
    assert metrics.value(REQUESTS, MOTUS, "done", "") == 2


def _reporting(metrics: Metrics, traffic: Traffic) -> Reporting:
    address = Address(host="10.0.0.1", port=1)
    own = Incarnation(name="e1", started_ms=1, nonce=2)
    member = Member(
        incarnation=own,
        data_center="dc-a",
        http=address,
        peers=address,
        state=MemberState.ALIVE,
        load=0.5,
    )
    target = Target(
        name="engine-1",
        address=address,
        kind=TargetKind.ENGINE,
        models=(ModelKey(name="m", version="v1"),),
        load=TargetLoad(running=1, waiting=2, slots=8),
    )
    standing = OrganisationStanding(path=MOTUS, lag_s=0.0, used=0.4, entitled=0.5, waiting_here=3)
    pool = PoolState(
        pool="m",
        slots=8,
        quota=4.0,
        running_here=1,
        waiting_here=3,
        peers_heard=0,
        organisations=(standing,),
    )
    weight = Override(option="weight", value=2.0)
    tree = TreeView(version=7, nodes=(Node(path=ROOT), Node(path=MOTUS, overrides=(weight,))))
    vm = VmStatus(
        name="e1",
        incarnation=str(own),
        data_center="dc-a",
        address=str(address),
        phase="serving",
        uptime_s=1.0,
        settings_version=7,
        platform_reachable=True,
    )
    return Reporting(
        vm=lambda: vm,
        members=Published(MemberView(members=(member,), own=own)),
        targets=Published(TargetView(targets=(target,))),
        tree=Published(tree),
        admission=Published(AdmissionState(pools=(pool,))),
        traffic=traffic,
        open_streams=lambda: [MOTUS, "/motus/desk"],
        timers=TimerService(clock=lambda: 100.0),
        metrics=metrics,
        objectives=ObjectiveRecorder(metrics=metrics, settings=ObjectiveSettings()),
    )


def test_the_status_shows_what_the_parts_have_published() -> None:
    metrics = Metrics()
    metrics.set(SHARE_USED, 0.4, MOTUS)
    metrics.set(SHARE_ENTITLED, 0.5, MOTUS)
    metrics.set(QUEUE_DEPTH, 3, MOTUS)
    for wait_s in (0.1, 0.2, 0.3):
        metrics.record(QUEUE_WAIT, wait_s, MOTUS)
    report = _reporting(metrics, Traffic()).status()
    assert [member.state for member in report.members] == ["alive"]
    assert report.targets[0].models == ("m@v1",)
    assert report.targets[0].load_age_s == 100.0
    assert report.pools[0].quota == 4.0
    (share,), (queue,) = report.shares, report.queues
    assert (share.path, share.weight, share.used, share.entitled) == (MOTUS, 2.0, 0.4, 0.5)
    assert (queue.waiting, queue.bound, queue.wait_p50_s) == (3, 1000, 0.2)


def test_the_gauges_follow_and_a_waiting_organisation_is_held_to_its_share() -> None:
    metrics, traffic = Metrics(), Traffic()
    metrics.set(SHARE_USED, 0.4, MOTUS)
    metrics.set(SHARE_ENTITLED, 0.5, MOTUS)
    metrics.set(QUEUE_DEPTH, 3, MOTUS)
    traffic.count_sent("ping", 40)
    reporting = _reporting(metrics, traffic)
    reporting.on_tick(Tick(now=100.0, paused_s=3.0))
    reporting.on_tick(Tick(now=101.0))
    assert metrics.value(MEMBERS, "alive") == 1
    assert metrics.value(OPEN_STREAMS, MOTUS) == 2
    assert metrics.value(CONTROL_BYTES, "sent", "ping") == 40
    assert metrics.value(PAUSES) == 1
    assert metrics.value(OBJECTIVE_EVENTS, MOTUS, "share", "bad") == 1
