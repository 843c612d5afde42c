"""Roll-outs of sound and bad versions in virtual time: what a bad one gets, and what is decided.

The rates are those of one deployment's services and of a small one; a bad version spoils 40 in
100 of its answers. All VMs act on one word, and what they have seen is known 0.3 s later.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.rollout_model import (
    STOPS_AFTER_S,
    Conduct,
    RolloutCase,
    RolloutModel,
    RolloutRun,
)
from lagoonlever.bench.statistics import quantile
from lagoonlever.decisions.rollouts.versions import RolloutState

RUNS = 20
QUICK_RUNS = 4
DURATIONS_S = (6.0, 12.0, 40.0)
SERVICES = {
    "engines, 18 streams a second": RolloutCase(
        rates={"rare": 1.7, "often": 16.0},
        answer_s=1.2,
        duration_s=0.0,
        conduct=Conduct.SOUND,
    ),
    "runners, 125 calls a second": RolloutCase(
        rates={"bid": 74.0, "look": 51.0},
        answer_s=0.06,
        duration_s=0.0,
        conduct=Conduct.SOUND,
        old_fails=0.14,
    ),
    "engines, 3 streams a second": RolloutCase(
        rates={"rare": 0.4, "often": 2.75},
        answer_s=1.2,
        duration_s=0.0,
        conduct=Conduct.SOUND,
    ),
}


@attrs.frozen(kw_only=True)
class RolloutRow:
    """What came of the roll-outs of one conduct and duration."""

    version: str = column("version")
    duration_s: float = column("to be decided within s", digits=0)
    completed: float = column("completed %", digits=1)
    over: float = column("got more than allowed %", digits=1)
    most: float = column("most that one got, of what is allowed", digits=2)
    late: float = column("sent to later than 5 s after its 50th bad answer %", digits=1)
    decided_s: float = column("decided after s, median", digits=1)


@benchmark("roll-outs", summary="new versions, sound and bad: what they get and what is decided")
def run(options: BenchOptions) -> BenchResult:
    """Play each service, duration and conduct."""
    runs = QUICK_RUNS if options.quick else RUNS
    seeds = range(options.seed, options.seed + runs)
    tables = {
        title: tuple(
            _row(attrs.evolve(case, duration_s=duration_s, conduct=conduct), seeds)
            for conduct in Conduct
            for duration_s in DURATIONS_S
        )
        for title, case in SERVICES.items()
    }
    bad = [row for rows in tables.values() for row in rows if row.version != Conduct.SOUND.value]
    return BenchResult(
        name="roll-outs",
        tables=tuple(
            Rows(title=f"{title}, {runs} roll-outs a row", rows=rows)
            for title, rows in tables.items()
        ),
        aims=(
            Aim(
                text="bad versions that got more than allowed",
                measured=max(row.over for row in bad) / 100.0,
                bound=0.0,
                unit="of all, worst row",
            ),
            Aim(
                text="bad versions that were completed",
                measured=sum(row.completed for row in bad) / len(bad) / 100.0,
                bound=0.001,
                unit="of all",
            ),
        ),
        notes=("virtual time; one word reaches all VMs at once",),
    )


def _row(case: RolloutCase, seeds: Sequence[int]) -> RolloutRow:
    runs = [RolloutModel(case=case, rng=random.Random(seed)).run() for seed in seeds]
    return RolloutRow(
        version=case.conduct.value,
        duration_s=case.duration_s,
        completed=_percent(runs, [run.state is RolloutState.COMPLETED for run in runs]),
        over=_percent(runs, [run.exposed > run.allowed for run in runs]),
        most=max(run.exposed / run.allowed for run in runs),
        late=_percent(runs, [run.after_stop_s > STOPS_AFTER_S for run in runs]),
        decided_s=quantile([run.decided_s for run in runs], 0.5) or 0.0,
    )


def _percent(runs: Sequence[RolloutRun], met: Sequence[bool]) -> float:
    return 100.0 * sum(met) / len(runs)
