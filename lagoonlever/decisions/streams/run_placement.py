"""Where a run goes, where its copy goes, and whether it may go at all: one answer to one ask.

The load that is answered: of hundreds of VMs each places a stream every few seconds, and
each placement needs to know the runs of all. Told to everyone, a run is some five messages
to every VM, and a VM spends more on hearing of runs than on its own callers: 16.6 messages a
second at 195 VMs with 19 streams a second, 12.7 of 29 ms of processor time a VM and second.
So in a very large fleet a few VMs hold the book of runs, and the others ask one of them:
one question and one answer for each attempt.

The asked VM books the place at once, for a moment, so that those who ask after it, as after
a crash of engines, are not sent to the same engine.
"""

from __future__ import annotations

from dataclasses import dataclass

import attrs

from lagoonlever.decisions.admission.prompt_admission import admits_prompt, max_prefill_share
from lagoonlever.decisions.admission.prompt_queue import max_prefills_per_s
from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.engines.uneven_engines import UnevenChoice
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.booked_runs import BookedRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.registry import TargetRegistry

BEGINS_WITHIN_S = 0.3
"""An engine that reads on for so long is ready: the next prompt is there when it ends."""


@attrs.frozen(kw_only=True)
class RunAsk:
    """What one attempt of a stream needs; sizes in tokens."""

    request: str
    service: str
    prompt_tokens: int
    """What an engine has to read unless it has read the prompt."""
    memory_tokens: int
    """What the run needs at its longest."""
    part: str | None = None
    """The id of the prompt's own part."""
    avoid: tuple[str, ...] = ()
    prefer: str | None = None
    """An engine that has read the prompt."""
    crowd: bool = False
    """Others choose at the same moment, as after a loss."""
    settled: str | None = None
    """The engine where it runs in any case: the one with its copy, or the one that runs it."""
    attempt: bool = True
    """False for a run that goes on, and only needs another place for its copy."""
    repeat: bool = False
    """The request was sent before, so the budget of repeats must bear one more."""
    copies: bool = True
    """Its memory is to be copied to another engine, as it grows or by a call."""
    on_trial: bool = False
    """It goes to a version that is on trial, if there is one."""
    allowed_s: float | None = None
    """Of a new prompt: the time that its callers usually have; None for one that goes on."""


@dataclass(frozen=True, kw_only=True)
class Placed:
    """Where the run goes; ``expected_s`` until its first event."""

    engine: str
    copy_to: str | None = None
    expected_s: float = 0.0
    choice: UnevenChoice | None = None
    """Set where another engine would have been taken, were all alike."""
    by_line: bool = False
    """It waited its turn among all VMs, so nobody else was given the same room."""


@dataclass(frozen=True, kw_only=True)
class NoEngine:
    """No engine can be chosen."""


@dataclass(frozen=True, kw_only=True)
class BudgetSpent:
    """The budget of repeats, which all VMs share, bears no more for a moment."""


@dataclass(frozen=True, kw_only=True)
class Overloaded:
    """Engines read for a ``share`` of their time already, and ``most`` leaves answers time."""

    share: float
    most: float


@dataclass(frozen=True, kw_only=True)
class NoRoom:
    """There are engines, and none of them can begin the run well now."""


RunOutcome = Placed | NoEngine | BudgetSpent | Overloaded


@attrs.frozen(kw_only=True)
class PlacementView:
    """What a decision rests on."""

    book: EngineScheduler
    window: RetryWindow
    targets: TargetRegistry
    limits: EngineLimits
    vms: int = 1
    """Those that share the window's slack; 1 where the window counts the runs of all."""
    ranked: bool = False
    """Streams of the service differ in rank."""


def place_run(ask: RunAsk, view: PlacementView, now: float) -> RunOutcome:
    """Decide on one attempt; ``now`` is in seconds of the monotonic clock."""
    if ask.repeat and not view.window.allows(now, vms=view.vms):
        return BudgetSpent()
    overloaded = _overload(ask, view, now)
    if overloaded is not None:
        return overloaded
    if ask.settled is not None:
        return _settled(ask, ask.settled, view, now)
    return _place(ask, view, now) or NoEngine()


def place_where_ready(ask: RunAsk, view: PlacementView, now: float) -> RunOutcome | NoRoom:
    """Decide on an attempt that can wait in line for an engine that begins it well."""
    if ask.repeat and not view.window.allows(now, vms=view.vms):
        return BudgetSpent()
    serving = view.targets.serving(ask.service, on_trial=ask.on_trial)
    if all(engine.id in ask.avoid for engine in serving):
        return NoEngine()
    return _place(ask, view, now, begins_within_s=BEGINS_WITHIN_S) or NoRoom()


def ready_rate(service: str, view: PlacementView, now: float) -> float:
    """Give the prompts a second that the engines of a service can read that aren't avoided."""
    avoidance = view.book.avoidance
    calm = [e for e in view.targets.serving(service) if not avoidance.is_avoided(e.id, now)]
    return max_prefills_per_s(len(calm), view.book.timings.usual_prefill_s(service))


def reserved_run(ask: RunAsk, placed: Placed, *, vm: str) -> BookedRun:
    """Give the run that a place is kept for until its VM has sent it."""
    return BookedRun(
        request=ask.request,
        vm=vm,
        engine=placed.engine,
        service=ask.service,
        prompt_tokens=0 if ask.settled else ask.prompt_tokens,
        memory_tokens=ask.memory_tokens,
        part=ask.part,
    )


def _place(
    ask: RunAsk, view: PlacementView, now: float, *, begins_within_s: float | None = None
) -> Placed | None:
    placement = view.book.choose_engine(
        view.targets.serving(ask.service, on_trial=ask.on_trial),
        limits=view.limits,
        prompt_tokens=ask.prompt_tokens,
        memory_tokens=ask.memory_tokens,
        now=now,
        avoid=frozenset(ask.avoid),
        prefer=ask.prefer,
        add_jitter=ask.crowd,
        begins_within_s=begins_within_s,
    )
    if placement is None:
        return None
    return Placed(
        engine=placement.engine.id,
        copy_to=_copy_to(ask, placement.engine, view, now),
        expected_s=placement.expected_s,
        choice=placement.choice,
    )


def _settled(ask: RunAsk, engine_id: str, view: PlacementView, now: float) -> RunOutcome:
    engine = view.targets.find(engine_id)
    if engine is None or (ask.attempt and view.book.avoidance.is_avoided(engine_id, now)):
        return NoEngine()
    return Placed(engine=engine_id, copy_to=_copy_to(ask, engine, view, now))


def _copy_to(ask: RunAsk, engine: ListedTarget, view: PlacementView, now: float) -> str | None:
    if not ask.copies:
        return None
    holder = view.book.choose_copy_holder(
        view.targets.serving(ask.service),
        limits=view.limits,
        run_engine=engine,
        memory_tokens=ask.memory_tokens,
        now=now,
        by_losses=view.ranked,
    )
    return holder.id if holder is not None else None


def _overload(ask: RunAsk, view: PlacementView, now: float) -> Overloaded | None:
    """Refuse a new prompt while engines read so much that answers can't end in time.

    By the time that usual callers have. By what is left to this one, callers that came
    back after a loss with five seconds were refused while engines read for a quarter of
    their time.
    """
    if ask.allowed_s is None:
        return None
    paces = view.book.timings
    making_s = paces.usual_decode_s(ask.service)
    if making_s is None:
        return None
    most = max_prefill_share(
        decode_s=making_s,
        prefill_s=paces.usual_prefill_s(ask.service),
        allowed_s=ask.allowed_s,
        slowdown=paces.slowdown(ask.service),
    )
    engines = len(view.targets.serving(ask.service))
    load = view.book.prefill_load(ask.service, engines=engines, now=now)
    if admits_prompt(load, max_share=most):
        return None
    return Overloaded(share=load.share, most=most)
