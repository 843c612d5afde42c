"""What one attempt of a stream makes of its engine's report, beside the silence of its run."""

from __future__ import annotations

from lagoonlever.decisions.engines.engine_reports import leaves_before_run_ends, should_leave_queue
from lagoonlever.decisions.settings.configuration import RouteKind
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.gateway.attempt_tools import AttemptPlan, AttemptTools
from lagoonlever.gateway.messages import EngineReport


def take_report(report: EngineReport, plan: AttemptPlan, tools: AttemptTools) -> None:
    """Take what a report tells of its engine's process and of its leaving."""
    engine = plan.engine
    if report.started_ms is not None:
        tools.learner.take_start(engine.id, report.started_ms)
    paces = tools.beliefs.book.timings
    too_soon = leaves_before_run_ends(
        report.leaves_in_s,
        prefill_s=paces.usual_prefill_s(engine.service),
        decode_s=paces.usual_decode_s(engine.service) or 0.0,
    )
    if report.leaves or too_soon:
        tools.words.reports_leaving(engine.id, report.started_ms)


def ranks_differ(plan: AttemptPlan, tools: AttemptTools) -> bool:
    """Check whether routes to the engine's service differ in rank, so that it preempts by them."""
    configuration = tools.beliefs.configuration.value
    return has_ranks(configuration, plan.engine.service, RouteKind.STREAM)


def is_stuck(
    report: EngineReport, plan: AttemptPlan, tools: AttemptTools, *, version: str | None
) -> bool:
    """Check whether a run waits for memory at its engine while another engine has room.

    ``version`` is that of the software at which the run has to go on, if it has begun. Only where
    routes of the service differ in rank, as there an engine's queue does not move on in the order
    of its arrivals.
    """
    beliefs, service = tools.beliefs, plan.engine.service
    if not ranks_differ(plan, tools):
        return False
    place = beliefs.book.choose_engine(
        tools.words.unlimited(beliefs.targets.serving(service, version=version)),
        limits=plan.limits,
        prompt_tokens=plan.run.prompt_tokens,
        memory_tokens=plan.run.memory_tokens,
        now=tools.timers.now,
        avoid=frozenset({plan.engine.id}),
    )
    return should_leave_queue(
        first_waiting=report.first_waiting,
        memory_used=report.memory_used,
        memory_total=report.memory_total,
        elsewhere_s=place.expected_s if place is not None else None,
        usual_prefill_s=beliefs.book.timings.usual_prefill_s(service),
    )
