"""Service-level burn: the windows' arithmetic, when alerts fire, and both of its sources."""

from __future__ import annotations

import json
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.report import app
from lagoonlever.history.recorder import Recorder
from lagoonlever.instruments import Metrics
from lagoonlever.outcomes import OutcomeTag, Reason
from lagoonlever.report.burn import (
    DEFAULT_PERIOD_S,
    Burn,
    Series,
    SeriesKey,
    Severity,
    Tally,
    burn_rate,
    burns,
    series_by_key,
    timeline,
)
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.report.objectives import ObjectiveSettings
from lagoonlever.report.snapshots import Count, Snapshot, append_snapshots, snapshot_of, tallies_of

KEY = SeriesKey(organisation="motus", objective="whole-answers")
GOAL = 0.999
HOUR_S = 3600.0
MINUTE_S = 60.0
DAY_S = 24 * HOUR_S

TALLIES = st.lists(
    st.builds(
        Tally,
        at=st.floats(0, 100),
        key=st.just(KEY),
        good=st.integers(0, 5),
        bad=st.integers(0, 5),
    ),
    max_size=20,
)


def _burn(tallies: list[Tally], *, now: float) -> Burn:
    (burn,) = burns(series_by_key(tallies), goals={KEY.objective: GOAL}, now=now)
    return burn


def _steady(*, start: float, end: float, bad_in_1000: int) -> list[Tally]:
    minutes = int((end - start) / MINUTE_S)
    return [
        Tally(at=start + place * MINUTE_S, key=KEY, good=1000 - bad_in_1000, bad=bad_in_1000)
        for place in range(1, minutes + 1)
    ]


@given(TALLIES, st.floats(0, 100), st.floats(0, 100))
def test_a_window_counts_the_events_after_its_start_up_to_its_end(
    tallies: list[Tally], one: float, other: float
) -> None:
    start, end = min(one, other), max(one, other)
    inside = [tally for tally in tallies if start < tally.at <= end]
    counted = Series(tallies).counts(start=start, end=end)
    assert counted == (sum(tally.good for tally in inside), sum(tally.bad for tally in inside))


def test_a_rate_of_one_spends_the_budget_in_the_period() -> None:
    assert round(burn_rate(good=999, bad=1, goal=GOAL), 9) == 1
    burn = _burn(_steady(start=0, end=DEFAULT_PERIOD_S, bad_in_1000=1), now=DEFAULT_PERIOD_S)
    assert round(burn.budget_spent, 9) == 1


def test_a_fast_loss_pages_and_stops_paging_soon_after_it_is_over() -> None:
    """An outage costs 2 in 100 answers for an hour, then all is well again.

    The operator is paged while it lasts. Minutes after its end the short window
    is clean, so the page ends although the long window still holds the loss.
    """
    before = _steady(start=0, end=DAY_S, bad_in_1000=0)
    outage = _steady(start=DAY_S, end=DAY_S + HOUR_S, bad_in_1000=20)
    after = _steady(start=DAY_S + HOUR_S, end=DAY_S + HOUR_S + 6 * MINUTE_S, bad_in_1000=0)
    during = _burn(before + outage, now=DAY_S + HOUR_S)
    assert during.severity is Severity.PAGE
    over = _burn(before + outage + after, now=DAY_S + HOUR_S + 6 * MINUTE_S)
    assert over.windows[0].long_rate > 14.4
    assert not over.windows[0].fires


def test_a_slow_loss_opens_a_ticket_and_pages_nobody() -> None:
    burn = _burn(_steady(start=0, end=4 * DAY_S, bad_in_1000=2), now=4 * DAY_S)
    assert burn.severity is Severity.TICKET


def test_a_loss_within_the_budget_fires_nothing() -> None:
    steady = _steady(start=0, end=4 * DAY_S, bad_in_1000=0)
    one_lost = Tally(at=4 * DAY_S, key=KEY, good=0, bad=1)
    assert _burn([*steady, one_lost], now=4 * DAY_S).severity is Severity.NONE


def test_no_events_is_no_burn() -> None:
    assert _burn([Tally(at=0, key=KEY)], now=0).severity is Severity.NONE
    points = timeline(Series([]), goal=GOAL, start=0, end=1, window_s=1)
    assert {point.rate for point in points} == {0.0}


def test_a_replaced_vm_counts_from_zero_again() -> None:
    """A VM is replaced between two snapshots, so its counters start again.

    Taken as a plain difference the report would show a negative count.
    """

    def snapshot(at: float, vm: str, good: int, bad: int) -> Snapshot:
        count = Count(organisation="motus", objective=KEY.objective, good=good, bad=bad)
        return Snapshot(at=at, vm=vm, counts=(count,))

    tallies = list(
        tallies_of(
            [
                snapshot(0, "a", 100, 1),
                snapshot(0, "b", 7, 0),
                snapshot(60, "a", 110, 2),
                snapshot(60, "b", 9, 0),
                snapshot(120, "a", 4, 0),
            ]
        )
    )
    assert [(tally.at, tally.good, tally.bad) for tally in tallies] == [
        (60, 10, 1),
        (60, 2, 0),
        (120, 4, 0),
    ]


def _count_some(recorder: ObjectiveRecorder) -> None:
    recorder.request_ended("motus", OutcomeTag.DONE)
    recorder.request_ended("motus", OutcomeTag.UNKNOWN, Reason.CONNECTION_LOST)
    recorder.request_ended("motus", OutcomeTag.NOT_RUN, Reason.BAD_REQUEST)
    recorder.resumed("motus", 4.0)
    recorder.resumed("motus", 6.0)
    recorder.lookup_ended("clerks", 0.1)
    recorder.share_sampled("clerks", used=0.2, entitled=0.25)


def test_events_reach_the_report_by_a_history_and_by_snapshots(tmp_path: Path) -> None:
    history, snapshots = tmp_path / "history.jsonl", tmp_path / "snapshots.jsonl"
    metrics = Metrics()
    recorder = ObjectiveRecorder(
        metrics=metrics,
        settings=ObjectiveSettings(),
        recorder=Recorder(process="e1", path=history),
    )
    first = snapshot_of(metrics.exposition(), vm="e1", at=0.0)
    _count_some(recorder)
    second = snapshot_of(metrics.exposition(), vm="e1", at=60.0)
    append_snapshots(snapshots, [first, second])
    wanted = {
        ("clerks", "lookup-latency"): (1, 0),
        ("clerks", "share"): (0, 1),
        ("motus", "resume-latency"): (1, 1),
        ("motus", "whole-answers"): (1, 1),
    }
    for source in (["--history", str(history)], ["--snapshots", str(snapshots)]):
        result = CliRunner().invoke(app, ["burn", *source, "--json"])
        assert result.exit_code == ExitCode.OK, result.output
        found = {
            (burn["organisation"], burn["objective"]): (burn["good"], burn["bad"])
            for burn in json.loads(result.output)
        }
        assert found == wanted
    plot = tmp_path / "burn.png"
    result = CliRunner().invoke(app, ["burn", "--history", str(history), "--plot", str(plot)])
    assert result.exit_code == ExitCode.OK
    assert "resume-latency" in result.output
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_a_file_of_another_kind_is_a_fault_and_no_crash(tmp_path: Path) -> None:
    wrong = tmp_path / "wrong.jsonl"
    wrong.write_text('{"a": 1}\n')
    for option in ("--history", "--snapshots"):
        result = CliRunner().invoke(app, ["burn", option, str(wrong)])
        assert result.exit_code == ExitCode.FAULTS
