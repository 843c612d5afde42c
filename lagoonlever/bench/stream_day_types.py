"""What a modelled day of streams is made of: its plan, the policy, one stream, the figures."""

from __future__ import annotations

import attrs

from lagoonlever.bench.engine_model import EngineFigures, ModelEngine, ModelRun
from lagoonlever.config.options import option
from lagoonlever.decisions.engines.engine_scheduler import MAX_COPIES_SHARE
from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.streams.stream_lifecycle import StreamLifecycle

MOST_EVENTS = 190
"""What callers announce as the longest answer."""


@attrs.frozen(kw_only=True)
class DayPlan:
    """What happens on a day; times in seconds, sizes in tokens."""

    engines: int = option(doc="Engines, in turn in three data centres.", default=12, at_least=1)
    engine: EngineFigures = attrs.field(factory=EngineFigures)
    slowness: tuple[float, ...] = option(
        doc="How many times as long the engines take, given in turn.", default=(1.0,)
    )
    arrivals_per_s: float = option(doc="Streams of all callers.", default=3.1, at_least=0.01)
    seconds: float = option(doc="How long callers come.", default=50.0, at_least=1.0)
    prompt_tokens: float = option(doc="Of a prompt, on average.", default=5200.0, at_least=1.0)
    events: float = option(doc="Of an answer, on average.", default=140.0, at_least=1.0)
    crash_every_s: float = option(
        doc="Between crashes of one data centre's engines, every second one silent.",
        default=6.5,
        at_least=0.1,
    )
    crash_share: float = option(doc="Of the engines there.", default=0.92, at_most=1.0)
    back_after_s: float = option(doc="Until engines started anew are listed.", default=2.2)
    all_vms_end_at: float | None = option(doc="When every VM is lost, if at all.", default=None)
    vms_back_after_s: float = option(doc="Until VMs serve again.", default=0.58, at_least=0.0)
    caller_returns: int = option(doc="Times that a refused caller comes back.", default=1)
    deadline_s: float = option(doc="How long callers wait in all.", default=25.0, at_least=0.1)
    first_objective_s: float = option(doc="Until the first event.", default=4.5, at_least=0.1)
    pause_objective_s: float = option(doc="Between two events.", default=0.7, at_least=0.01)


@attrs.frozen(kw_only=True)
class DayPolicy:
    """What is compared: whether runs are copied, and how full an engine may be that takes one."""

    name: str
    copies: bool = True
    copies_most: float = MAX_COPIES_SHARE
    admission: bool = True
    """Prompts are refused while engines read so much that answers can't end in time."""


@attrs.frozen(kw_only=True)
class DayFigures:
    """What callers saw, and what it cost."""

    streams: int
    on_time: int
    late: int
    failed: int
    read_again: int
    """Prompt tokens beyond one reading of each prompt."""
    preempted: int
    refused: int
    """Times that a caller was told to come back."""
    life_s: float
    """From the request to the last event, the median of those that are done."""
    pauses_s: tuple[float, ...]
    """The longest pause of each stream that met a loss."""


@attrs.define(kw_only=True, eq=False)
class ModelStream:
    """One caller's stream: what it asks for, where it runs, and what it has seen."""

    request: str
    asked_at: float
    prompt: int
    events: int
    event_tokens: int
    life: StreamLifecycle
    attempt: int = 0
    run: ModelRun | None = None
    engine: ModelEngine | None = None
    copy: RunCopy | None = None
    last_at: float | None = None
    first_at: float | None = None
    longest_pause_s: float = 0.0
    met_loss: bool = False
    returned: bool = False
    refused: int = 0
    """Times that its caller was told to come back."""
    ended_at: float | None = None

    @property
    def most_memory(self) -> int:
        """What its run needs at its longest, in tokens."""
        return self.prompt + MOST_EVENTS * self.event_tokens

    def is_done(self, plan: DayPlan) -> bool:
        """Tell whether its caller got the whole answer before the deadline."""
        return self.ended_at is not None and self.ended_at - self.asked_at <= plan.deadline_s

    def is_on_time(self, plan: DayPlan) -> bool:
        """Tell whether its first event and every later one came within the objectives."""
        return (
            self.first_at is not None
            and self.first_at - self.asked_at <= plan.first_objective_s
            and self.longest_pause_s <= plan.pause_objective_s
        )
