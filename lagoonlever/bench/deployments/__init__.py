"""Deployments for models of load: three that are served, and drawn ones that nobody has seen."""

from __future__ import annotations

import random
from pathlib import Path

from lagoonlever.bench.engine_model import EngineFigures
from lagoonlever.bench.stream_day_types import DayPlan
from lagoonlever.config.files import load_file

FOLDER = Path(__file__).parent
SUFFIX = ".jsonc"
MOST_BUSY = 0.55
"""Of the engines' time, the part that reading may take on a drawn deployment."""


def deployment_names() -> tuple[str, ...]:
    """Give the names of the deployments that are shipped."""
    return tuple(sorted(file.stem for file in FOLDER.glob(f"*{SUFFIX}")))


def load_deployment(file: Path) -> DayPlan:
    """Read a deployment; raises ``FaultsError`` with every fault."""
    return load_file(DayPlan, file)


def shipped_deployment(name: str) -> DayPlan:
    """Give a deployment that is shipped."""
    return load_deployment(FOLDER / f"{name}{SUFFIX}")


def draw_deployment(seed: int) -> DayPlan:
    """Draw a deployment: engines of any speed and size, and as much load as they may carry."""
    rng = random.Random(f"deployment-{seed}")
    figures = EngineFigures(
        step_s=rng.uniform(0.002, 0.012),
        step_each_s=rng.uniform(0.0, 0.0001),
        step_context_s=rng.uniform(0.0, 0.00001),
        chunk_tokens=rng.choice((64, 128, 256, 512)),
        prompt_tokens_per_s=rng.uniform(2_000.0, 12_000.0),
        slots=rng.choice((8, 12, 24)),
        memory_tokens=rng.randrange(40_000, 120_000),
        event_tokens=rng.randint(4, 10),
    )
    engines = rng.choice((6, 9, 12, 18, 24))
    prompt_tokens = rng.uniform(2_000.0, 9_000.0)
    reading_s = prompt_tokens / figures.prompt_tokens_per_s
    events = rng.uniform(60.0, 180.0)
    return DayPlan(
        engines=engines,
        engine=figures,
        slowness=rng.choice(((1.0,), (1.0, 1.0, 1.3), (1.0, 2.0))),
        arrivals_per_s=min(8.0, rng.uniform(0.15, MOST_BUSY) * engines / reading_s),
        prompt_tokens=prompt_tokens,
        events=events,
        crash_every_s=rng.uniform(4.0, 15.0),
        crash_share=rng.uniform(0.3, 1.0),
        back_after_s=rng.uniform(1.2, 4.0),
    )
