"""The model of a day of streams, and the load patterns that placement answers, replayed on it."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from lagoonlever.bench.deployments import (
    deployment_names,
    draw_deployment,
    load_deployment,
    shipped_deployment,
)
from lagoonlever.bench.engine_model import EngineFigures, ModelEngine, ModelRun
from lagoonlever.bench.stream_day import slowed
from lagoonlever.bench.stream_day_model import StreamDay
from lagoonlever.bench.stream_day_types import DayFigures, DayPlan, DayPolicy
from lagoonlever.exceptions import FaultsError

FIGURES = EngineFigures()
COPIES = DayPolicy(name="copies")
ANYWHERE = DayPolicy(name="copies wherever there is room", copies_most=1.0)
EVERY_PROMPT = DayPolicy(name="every prompt admitted", admission=False)
NO_COPIES = DayPolicy(name="no copies", copies=False)
CALM = DayPlan(crash_every_s=1_000.0, seconds=20.0)
CRASHES = DayPlan(seconds=30.0)
SEEDS = range(1, 5)


def run_of(prompt: int, to_make: int, times: list[float]) -> ModelRun:
    return ModelRun(
        request=f"r{prompt}",
        prompt=prompt,
        to_read=prompt,
        to_make=to_make,
        on_tokens=lambda at, _: times.append(at),
    )


def play_engine(engine: ModelEngine) -> float:
    now = 0.0
    while engine.busy:
        now = engine.advance(now)
    return now


def days(plan: DayPlan, policy: DayPolicy) -> list[DayFigures]:
    return [StreamDay(plan=plan, policy=policy, seed=seed).run() for seed in SEEDS]


def total(figures: list[DayFigures], field: str) -> int:
    return sum(getattr(each, field) for each in figures)


def test_a_run_alone_takes_its_reading_and_a_step_for_each_token() -> None:
    engine, times = ModelEngine(id="e", data_center="a"), []
    engine.take(run_of(5_000, 100, times))
    ended = play_engine(engine)
    assert ended == pytest.approx(
        5_000 / FIGURES.prompt_tokens_per_s + 140 * FIGURES.step_s, rel=0.01
    )
    assert len(times) == 100


def test_a_prompt_slows_the_runs_beside_it() -> None:
    """A long prompt arrives beside a stream: its tokens come at an eighth of their pace."""
    engine, times = ModelEngine(id="e", data_center="a"), []
    engine.take(run_of(125, 400, times))
    now = engine.advance(0.0)
    for _ in range(100):
        now = engine.advance(now)
    engine.take(run_of(5_000, 1, []))
    for _ in range(30):
        now = engine.advance(now)
    usual, beside = times[60] - times[40], times[125] - times[105]
    assert beside > 7 * usual


def test_an_engine_that_is_outgrown_preempts_the_newest_and_reads_it_again() -> None:
    engine = ModelEngine(
        id="e", data_center="a", figures=attrs.evolve(FIGURES, memory_tokens=1_000)
    )
    engine.take(run_of(450, 200, []))
    engine.take(run_of(451, 200, []))
    play_engine(engine)
    assert engine.preempted == 1
    assert engine.read_tokens > 450 + 451


def test_a_calm_day_is_on_time_and_reads_each_prompt_once() -> None:
    figures = days(CALM, COPIES)
    assert total(figures, "on_time") == total(figures, "streams")
    assert total(figures, "read_again") == 0


def test_the_same_seed_gives_the_same_day() -> None:
    assert days(CRASHES, COPIES) == days(CRASHES, COPIES)


def test_copies_keep_streams_on_time_through_crashes() -> None:
    """All engines of a data centre crash together, again and again.

    A stream without a copy has its prompt read again, a second in which its caller hears
    nothing. Copies in another data centre spare most of that.
    """
    with_copies, without = days(CRASHES, COPIES), days(CRASHES, NO_COPIES)
    assert total(with_copies, "on_time") > 1.05 * total(without, "on_time")
    assert total(with_copies, "read_again") < 0.6 * total(without, "read_again")


def test_copies_leave_room_for_runs() -> None:
    """Where a third of the engines has left, copies fill what is left.

    Engines then preempt runs, whose prompts are read again, and the runs of the next crash
    find no room. Copies that stop short of a full engine spare most of these.
    """
    plan = attrs.evolve(CRASHES, engines=10, seconds=50.0)
    bounded, anywhere = days(plan, COPIES), days(plan, ANYWHERE)
    assert total(bounded, "preempted") < 0.6 * total(anywhere, "preempted")
    assert total(bounded, "on_time") > total(anywhere, "on_time")


def test_callers_that_come_back_after_a_loss_of_all_vms_are_served() -> None:
    """All VMs end, and some twenty callers come back within a quarter of a second."""
    plan = attrs.evolve(CRASHES, crash_every_s=1_000.0, all_vms_end_at=15.0)
    figures = days(plan, COPIES)
    assert total(figures, "failed") == 0
    assert total(figures, "late") < 0.35 * total(figures, "streams")


def test_prompts_that_engines_cannot_bear_are_refused_so_that_others_end_in_time() -> None:
    """All engines are 1.9 times as slow as usual, and are given prompts all the time.

    With every prompt admitted each stream makes its tokens between the chunks of others'
    prompts, and most callers' time is over before their answers end.
    """
    plan = slowed(shipped_deployment("catering"), 1.9)
    admitted, all_in = days(plan, COPIES), days(plan, EVERY_PROMPT)
    assert total(admitted, "on_time") > 1.5 * total(all_in, "on_time")
    assert total(admitted, "failed") < total(all_in, "failed")


def test_where_engines_can_bear_the_load_hardly_any_prompt_is_refused() -> None:
    for name in deployment_names():
        plan = attrs.evolve(shipped_deployment(name), seconds=30.0)
        admitted = days(plan, COPIES)
        assert total(admitted, "refused") <= 0.01 * total(admitted, "streams")


@pytest.mark.parametrize("seed", range(6))
def test_admission_harms_no_drawn_deployment(seed: int) -> None:
    plan = attrs.evolve(draw_deployment(seed), seconds=30.0)
    admitted = StreamDay(plan=plan, policy=COPIES, seed=seed).run()
    all_in = StreamDay(plan=plan, policy=EVERY_PROMPT, seed=seed).run()
    assert admitted.on_time >= 0.97 * all_in.on_time


def test_a_deployment_with_faults_tells_them_all(tmp_path: Path) -> None:
    file = tmp_path / "odd.jsonc"
    file.write_text('{"engines": 0, "engine": {"step_s": "slow"}, "arivals_per_s": 1}')
    with pytest.raises(FaultsError) as caught:
        load_deployment(file)
    told = [str(fault) for fault in caught.value.faults]
    assert len(told) == 3 and any("arrivals_per_s" in fault for fault in told)
