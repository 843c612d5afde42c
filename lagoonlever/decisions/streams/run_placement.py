"""Placement of a run: the engine for it, the engine for its KV-cache copy, or a refusal.

Each of hundreds of VMs places a stream every few seconds, and each placement needs to know the
runs of all VMs. If every run is announced to every VM, a run costs some five messages to every
VM, and a VM spends more on them than on its own callers: 16.6 messages a second at 195 VMs with 19
streams a second, which took 12.7 ms of the 29 ms of CPU time that each VM used per second. So in a
very large fleet a few VMs keep the register of runs and the others send one of them a placement
request for each attempt.

The VM that answers reserves the placement at once, for a short time. Otherwise VMs that send
their requests at the same moment, as after a crash of engines, would get the same engine.
"""

from __future__ import annotations

from dataclasses import dataclass

import attrs

from lagoonlever.decisions.admission.prompt_admission import admits_prompt, max_prefill_share
from lagoonlever.decisions.admission.prompt_queue import max_prefills_per_s
from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.engines.uneven_engines import UnevenChoice
from lagoonlever.decisions.engines.version_load import engines_to_spare
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.streams.versions_in_use import VersionsInUse
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.registry import TargetRegistry

BEGINS_WITHIN_S = 0.3
"""Maximum seconds of prefill work left at an engine that counts as ready.

The next prompt then arrives before the engine runs out of work.
"""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """Request to place one attempt of a stream; sizes are in tokens."""

    request: str
    """The id of the caller's request."""
    service: str
    prompt_tokens: int
    """Size of the prompt, which an engine has to prefill unless it has the prompt cached."""
    memory_tokens: int
    """KV-cache size of the run at its longest."""
    part: str | None = None
    """The id of the prompt's own segment."""
    avoid: tuple[str, ...] = ()
    """Engines that must not be chosen."""
    prefer: str | None = None
    """An engine that has the prompt in its cache."""
    crowd: bool = False
    """Whether other requests choose at the same moment, as after a crash; the choice is then
    spread at random."""
    settled: str | None = None
    """The engine that is already decided on: it holds the run's copy, or runs it now."""
    attempt: bool = True
    """False for a run that continues and only needs another engine for its copy."""
    repeat: bool = False
    """Whether the request was sent before, so that it needs a share of the retry budget."""
    copies: bool = True
    """Whether its KV cache is copied to another engine, incrementally or on demand."""
    on_trial: bool = False
    """Whether it goes to the version that is on trial, if there is one."""
    version: str | None = None
    """The version of the software that has begun the stream; only its engines may go on with it.
    None for a stream of which the caller has nothing yet."""
    allowed_s: float | None = None
    """For a new prompt the time in seconds that its callers usually allow; None for a retry."""


@dataclass(frozen=True, kw_only=True)
class Placed:
    """Outcome: the run goes to ``engine``, and its first event is expected in ``expected_s``."""

    engine: str
    copy_to: str | None = None
    """The engine that is to hold the KV-cache copy; None for no copy."""
    expected_s: float = 0.0
    choice: UnevenChoice | None = None
    """Set if another engine would have been chosen if all engines were equally fast."""
    by_line: bool = False
    """Whether the placement came from the queue of all VMs, which grants a capacity only once."""


@dataclass(frozen=True, kw_only=True)
class NoEngine:
    """Outcome: no engine can be chosen."""


@dataclass(frozen=True, kw_only=True)
class RetryBudgetExhausted:
    """Outcome: the retry budget, which all VMs share, is used up for now."""


@dataclass(frozen=True, kw_only=True)
class Overloaded:
    """Outcome: the engines prefill for too much of their time to accept a new prompt.

    ``share`` is the share of their time in which they prefill, ``most`` the highest share with
    which answers still finish in time.
    """

    share: float
    most: float


@dataclass(frozen=True, kw_only=True)
class NoCapacity:
    """Outcome: there are engines, but none of them has the capacity to start the run now."""


RunOutcome = Placed | NoEngine | RetryBudgetExhausted | Overloaded


@attrs.frozen(kw_only=True)
class PlacementContext:
    """State of this VM that a placement is decided on."""

    book: EngineScheduler
    retry_window: RetryWindow
    """The retry budget."""
    targets: TargetRegistry
    limits: EngineLimits
    versions: VersionsInUse = attrs.field(factory=VersionsInUse)
    vm_count: int = 1
    """Number of VMs that share the slack of `retry_window`; 1 if it counts the runs of all VMs."""
    deciders: int = 1
    """Number of VMs that permit retries by the count of all runs, this one among them."""
    spared: frozenset[str] = frozenset()
    """Brittle engines that get nothing for now; a prompt waits for them in line."""
    ranks_differ: bool = False
    """Whether streams of the service differ in rank."""


def place_run(request: PlacementRequest, context: PlacementContext, now: float) -> RunOutcome:
    """Place one attempt, or return why it cannot be placed.

    ``now`` is in seconds of the monotonic clock.
    """
    if not _may_retry(request, context, now):
        return RetryBudgetExhausted()
    overloaded = _check_overload(request, context, now)
    if overloaded is not None:
        return overloaded
    if request.settled is not None:
        outcome = _place_at_settled_engine(request, request.settled, context, now)
    else:
        outcome = _place(request, context, now) or NoEngine()
    _count_retry(request, outcome, context, now)
    return outcome


def place_on_ready_engine(
    request: PlacementRequest, context: PlacementContext, now: float
) -> RunOutcome | NoCapacity:
    """Place a queued attempt on an engine that starts it soon.

    Return `NoCapacity` while every engine has more prefill work left than `BEGINS_WITHIN_S`.
    """
    if not _may_retry(request, context, now):
        return RetryBudgetExhausted()
    serving = _engines_for(request, context)
    if all(engine.id in request.avoid for engine in serving):
        return NoEngine()
    placed = _place(request, context, now, begins_within_s=BEGINS_WITHIN_S)
    if placed is None:
        return NoCapacity()
    _count_retry(request, placed, context, now)
    return placed


def _may_retry(request: PlacementRequest, context: PlacementContext, now: float) -> bool:
    """Check whether the retry budget has room for an attempt; a first one needs none."""
    if not request.repeat:
        return True
    return context.retry_window.allows(
        now, vms=context.vm_count, deciders=context.deciders, request=request.request
    )


def _count_retry(
    request: PlacementRequest, outcome: RunOutcome, context: PlacementContext, now: float
) -> None:
    """Count a retry as soon as it is placed: others are placed before it is sent."""
    if request.repeat and isinstance(outcome, Placed):
        context.retry_window.permit(request.request, now)


def prefills_per_s(service: str, context: PlacementContext, now: float) -> float:
    """Return the number of prompts per second that a service's engines can prefill.

    Engines that are avoided at ``now`` are not counted.
    """
    avoidance = context.book.avoidance
    usable = [e for e in context.targets.serving(service) if not avoidance.is_avoided(e.id, now)]
    return max_prefills_per_s(len(usable), context.book.timings.usual_prefill_s(service))


def reserved_run(request: PlacementRequest, placed: Placed, *, vm: str) -> EngineRun:
    """Return the run to reserve a placement for until its VM reports that it was sent."""
    return EngineRun(
        request=request.request,
        vm=vm,
        engine=placed.engine,
        service=request.service,
        prompt_tokens=0 if request.settled else request.prompt_tokens,
        memory_tokens=request.memory_tokens,
        part=request.part,
    )


def _place(
    request: PlacementRequest,
    context: PlacementContext,
    now: float,
    *,
    begins_within_s: float | None = None,
) -> Placed | None:
    """Choose an engine and the holder of the copy, or return None if no engine qualifies."""
    engines = _engines_for(request, context)
    placement = context.book.choose_engine(
        engines,
        limits=context.limits,
        prompt_tokens=request.prompt_tokens,
        memory_tokens=request.memory_tokens,
        now=now,
        avoid=context.spared.union(request.avoid),
        prefer=request.prefer,
        add_jitter=request.crowd,
        begins_within_s=begins_within_s,
        spare=_engines_to_spare(request, engines, context),
    )
    if placement is None:
        return None
    return Placed(
        engine=placement.engine.id,
        copy_to=_choose_copy_holder(request, placement.engine, context, now),
        expected_s=placement.expected_s,
        choice=placement.choice,
    )


def _engines_for(request: PlacementRequest, context: PlacementContext) -> tuple[ListedTarget, ...]:
    """Return the engines that may be given an attempt, whatever their load."""
    if request.version is not None:
        return context.targets.serving(request.service, version=request.version)
    serving = context.targets.serving(request.service, on_trial=request.on_trial)
    return context.versions.prefer_recorded(serving)


def _engines_to_spare(
    request: PlacementRequest, engines: tuple[ListedTarget, ...], context: PlacementContext
) -> frozenset[str]:
    """Return the engines that a new stream should leave to streams of their version."""
    if request.version is not None or len({engine.version for engine in engines}) < 2:
        return frozenset()
    return engines_to_spare(
        engines,
        context.book.load_by_version(request.service),
        limits=context.limits,
        memory_tokens=request.memory_tokens,
    )


def _place_at_settled_engine(
    request: PlacementRequest, engine_id: str, context: PlacementContext, now: float
) -> RunOutcome:
    """Place a run at the engine that is already decided on, unless that engine is unusable."""
    engine = context.targets.find(engine_id)
    if engine is None or request.version not in (None, engine.version):
        return NoEngine()
    if request.attempt and context.book.avoidance.is_avoided(engine_id, now):
        return NoEngine()
    return Placed(engine=engine_id, copy_to=_choose_copy_holder(request, engine, context, now))


def _choose_copy_holder(
    request: PlacementRequest, engine: ListedTarget, context: PlacementContext, now: float
) -> str | None:
    """Return the id of an engine to hold the copy of a run at ``engine``, or None.

    It is of the same version: the run could not go on at another one.
    """
    if not request.copies or engine.version is None:
        return None
    holder = context.book.choose_copy_holder(
        context.targets.serving(request.service, version=engine.version),
        limits=context.limits,
        run_engine=engine,
        memory_tokens=request.memory_tokens,
        now=now,
        by_losses=context.ranks_differ,
    )
    return holder.id if holder is not None else None


def _check_overload(
    request: PlacementRequest, context: PlacementContext, now: float
) -> Overloaded | None:
    """Refuse a new prompt while engines prefill so much that answers cannot finish in time.

    The limit follows the time that callers usually allow. When it followed the time left to
    this caller, callers that reconnected after a loss with five seconds left were refused
    while engines prefilled for only a quarter of their time.
    """
    if request.allowed_s is None:
        return None
    paces = context.book.timings
    decode_s = paces.usual_decode_s(request.service)
    if decode_s is None:
        return None
    max_load_share = max_prefill_share(
        decode_s=decode_s,
        prefill_s=paces.usual_prefill_s(request.service),
        allowed_s=request.allowed_s,
        slowdown=paces.slowdown(request.service),
    )
    engines = len(context.targets.serving(request.service))
    load = context.book.prefill_load(request.service, engines=engines, now=now)
    if admits_prompt(load, max_share=max_load_share):
        return None
    return Overloaded(share=load.share, most=max_load_share)
