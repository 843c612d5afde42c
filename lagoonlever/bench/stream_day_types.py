"""What a modelled day of streams is made of: its plan, the policy, one stream, the figures."""

from __future__ import annotations

import attrs

from lagoonlever.bench.engine_model import ModelEngine, ModelRun
from lagoonlever.decisions.engine_book import COPIES_MOST, RunCopy
from lagoonlever.decisions.stream_life import StreamLife

EVENT_TOKENS = 8
MOST_EVENTS = 190
"""What callers announce as the longest answer."""


@attrs.frozen(kw_only=True)
class DayPlan:
    """What happens on a day; times in seconds, sizes in tokens."""

    engines: int = 12
    arrivals_per_s: float = 3.1
    seconds: float = 50.0
    prompt_tokens: float = 5200.0
    events: float = 140.0
    crash_every_s: float = 6.5
    """The engines of one data centre crash, every second time silently."""
    crash_share: float = 0.92
    back_after_s: float = 2.2
    """Until engines started anew are listed."""
    all_vms_end_at: float | None = None
    vms_back_after_s: float = 0.58
    deadline_s: float = 25.0
    first_objective_s: float = 4.5
    pause_objective_s: float = 0.7


@attrs.frozen(kw_only=True)
class DayPolicy:
    """What is compared: whether runs are copied, and how full an engine may be that takes one."""

    name: str
    copies: bool = True
    copies_most: float = COPIES_MOST


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
    pauses_s: tuple[float, ...]
    """The longest pause of each stream that met a loss."""


@attrs.define(kw_only=True, eq=False)
class ModelStream:
    """One caller's stream: what it asks for, where it runs, and what it has seen."""

    request: str
    asked_at: float
    prompt: int
    events: int
    life: StreamLife
    attempt: int = 0
    run: ModelRun | None = None
    engine: ModelEngine | None = None
    copy: RunCopy | None = None
    last_at: float | None = None
    first_at: float | None = None
    longest_pause_s: float = 0.0
    met_loss: bool = False
    returned: bool = False
    ended_at: float | None = None

    @property
    def most_memory(self) -> int:
        """What its run needs at its longest, in tokens."""
        return self.prompt + MOST_EVENTS * EVENT_TOKENS

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
